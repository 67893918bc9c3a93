package cypressglade.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A client's request as it goes on to a node: method, target (path and query), body, trace id and
 * idempotency key unchanged, the time that is left new. Nodes that drop repeats by key see a repeat
 * as one only when the key comes with it: without it, a second copy of a write runs twice.
 */
record NodeRequest(
        String method,
        String target,
        String traceId,
        Optional<String> idempotencyKey,
        byte[] body) {
    /** A request for a sign of life. */
    static List<ByteBuffer> encodeProbe() {
        return List.of(
                ResponseParser.ascii("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
    }

    List<ByteBuffer> encode(Duration left) {
        StringBuilder head =
                new StringBuilder(200)
                        .append(method)
                        .append(' ')
                        .append(target)
                        .append(" HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: ")
                        .append(traceId)
                        .append("\r\nX-Expires-In-Ms: ")
                        .append(Math.max(1, left.toMillis()));
        idempotencyKey.ifPresent(given -> head.append("\r\nIdempotency-Key: ").append(given));
        if (!method.equals("GET") || body.length > 0) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        return List.of(
                ResponseParser.ascii(head.append("\r\n\r\n").toString()), ByteBuffer.wrap(body));
    }
}
