/**
 * The NBD front: serves Network Block Device clients and sends their commands to storage nodes that
 * are NBD servers, by the fixed newstyle handshake and with simple or structured replies ({@code
 * doc/proto.md} of the NetworkBlockDevice project). Each command becomes one or more requests to
 * {@code cypressglade.core}, which makes all scheduling decisions; connections come from {@code
 * cypressglade.net}. Must not depend on the HTTP front or on the scheduling policy.
 */
package cypressglade.nbd;
