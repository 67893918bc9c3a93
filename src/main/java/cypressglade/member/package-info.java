/**
 * Which instances there are, after SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", DSN 2002), with its suspicion and
 * incarnations. Decides only: time and chance come in as arguments, messages come in and go out as
 * values.
 */
package cypressglade.member;
