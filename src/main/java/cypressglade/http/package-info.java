/**
 * The HTTP/1.1 front towards clients, the HTTP client towards storage nodes, and the watch of the
 * discovery service.
 *
 * <p>Translates between messages and the types of package {@code core}, and bounds the memory and
 * the connections that clients can occupy. It must not decide which node serves a request, in which
 * order, or whether it is sent again: that is the engine's part. It must not depend on the packages
 * {@code cli} and {@code operate}, and opens its sockets only through package {@code net}.
 */
package cypressglade.http;
