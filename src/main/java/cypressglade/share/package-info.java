/**
 * Sharing of limits and verdicts among the schedulers of a fleet: each member's share of each limit
 * (a volume's limit, a cold node's capacity), where the shares never add up to more than the whole
 * limit whatever the network does; and operators' verdicts, on which all members come to agree.
 * Contains decisions only: received messages and the time are passed in as arguments, and nothing
 * here does I/O, reads a clock or starts threads. Bounds and reasons: {@code docs/fleet-limits.md}.
 */
package cypressglade.share;
