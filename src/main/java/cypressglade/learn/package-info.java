/**
 * What the instances tell each other of the storage nodes: how observations are stored, aged and
 * weighted, and which hints the scheduling policy gets from them.
 *
 * <p>Time is an argument and observations are values. The package must not depend on clocks,
 * sockets, files, or the protocol that carries the observations.
 */
package cypressglade.learn;
