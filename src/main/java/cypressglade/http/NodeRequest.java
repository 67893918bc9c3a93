package cypressglade.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A client's request as it is forwarded to a storage node. Everything but the remaining time is
 * what the client sent. The idempotency key must be forwarded: nodes that deduplicate by key
 * recognize a repeated request by it only, and without it a second copy of a write would be applied
 * twice.
 *
 * @param method the request method, GET or PUT
 * @param target path and query as the client wrote them
 * @param traceId value of the header X-Trace-Id
 * @param idempotencyKey value of the header Idempotency-Key, if the client sent one
 * @param body the request body, empty for a GET; not copied
 */
record NodeRequest(
        String method,
        String target,
        String traceId,
        Optional<String> idempotencyKey,
        byte[] body) {
    /** Encodes a probe, which asks whether a node is alive. */
    static List<ByteBuffer> encodeProbe() {
        return List.of(
                ResponseParser.ascii("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
    }

    /**
     * Encodes the request as an HTTP/1.1 message.
     *
     * @param remaining time until the deadline, sent in whole milliseconds, 1 at least
     */
    List<ByteBuffer> encode(Duration remaining) {
        StringBuilder head =
                new StringBuilder(200)
                        .append(method)
                        .append(' ')
                        .append(target)
                        .append(" HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: ")
                        .append(traceId)
                        .append("\r\nX-Expires-In-Ms: ")
                        .append(Math.max(1, remaining.toMillis()));
        idempotencyKey.ifPresent(key -> head.append("\r\nIdempotency-Key: ").append(key));
        if (!method.equals("GET") || body.length > 0) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        return List.of(
                ResponseParser.ascii(head.append("\r\n\r\n").toString()), ByteBuffer.wrap(body));
    }
}
