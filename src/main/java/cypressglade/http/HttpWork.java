package cypressglade.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;

/** A client's request as it goes on to a node: all of it unchanged but for the time that is left. */
record HttpWork(String method, String target, String traceId, byte[] body) {
    /** A request for a sign of life. */
    static List<ByteBuffer> probe() {
        return List.of(ResponseParser.ascii("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
    }

    List<ByteBuffer> message(Duration left) {
        StringBuilder head = new StringBuilder(200).append(method).append(' ').append(target)
                .append(" HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: ").append(traceId)
                .append("\r\nX-Expires-In-Ms: ").append(Math.max(1, left.toMillis()));
        if (!method.equals("GET") || body.length > 0) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        return List.of(ResponseParser.ascii(head.append("\r\n\r\n").toString()), ByteBuffer.wrap(body));
    }
}
