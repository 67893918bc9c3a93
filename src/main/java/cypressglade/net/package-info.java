/**
 * Non-blocking network I/O: the event loop with its one thread, TCP connections and listening
 * sockets, UDP sockets, and the pool of connections to storage nodes.
 *
 * <p>The package knows no protocol: the HTTP, NBD and peer packages build on it, and it depends
 * only on {@code core} and on XNIO. It must not depend on any protocol, configuration or
 * command-line package.
 */
package cypressglade.net;
