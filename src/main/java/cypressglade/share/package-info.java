/**
 * What a fleet of schedulers shares of limits and verdicts: each member's part of what all may
 * send, which adds up to no more than the whole whatever the links do, and operators' verdicts that
 * all come to agree on. Decides only: what was heard and the time come in as arguments; nothing
 * here does I/O. Bounds and reasons: {@code docs/fleet-limits.md}.
 */
package cypressglade.share;
