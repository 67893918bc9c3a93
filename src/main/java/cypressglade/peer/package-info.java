/**
 * Communication with the other instances of the scheduler: datagrams for membership and sharing,
 * and TCP transfers of observations, members and verdicts, all signed and versioned. The protocol
 * logic is in packages {@code member}, {@code learn} and {@code share}, which must not depend on
 * this one; this one must not depend on the fronts, on the operator port or on the command line.
 */
package cypressglade.peer;
