/**
 * Group membership: which instances of the scheduler run. Implements SWIM (Das, Gupta, Motivala,
 * "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002)
 * with its suspicion mechanism and incarnation numbers, and the extensions of Lifeguard (Dadgar,
 * Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
 *
 * <p>Contains protocol logic only: time and randomness are arguments, and messages are values. It
 * must not depend on clocks, sockets, files, or other packages of this program.
 */
package cypressglade.member;
