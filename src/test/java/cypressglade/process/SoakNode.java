package cypressglade.process;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.StandIn;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A storage node whose answers are quick, slow, long, refused or lost, as a seed has it. */
final class SoakNode extends StandIn {
    private static final int LONG_BYTES = 300_000;

    /** Longer than any client waits. */
    private static final long NEVER_MS = 4000;

    /** The id of each attempt, in the order in which their requests were whole. */
    final Queue<String> attempts = new ConcurrentLinkedQueue<>();

    /** How often each write has run. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** How often writes of each path have run. */
    final Map<String, Integer> runsByPath = new ConcurrentHashMap<>();

    private final long seed;

    SoakNode(long seed) {
        this.seed = seed;
    }

    /** Whether a body was made for a request, and is whole by its own account. */
    static boolean isBodyOf(String id, String body) {
        return body.startsWith(id + " ") && body.endsWith(" " + id);
    }

    private static String body(String id, int bytes) {
        return id + " " + "x".repeat(bytes) + " " + id;
    }

    @Override
    protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
        while (true) {
            Message request = Message.read(in);
            if (request.first().startsWith("GET /healthz")) {
                HttpPeer.answer(200, "", "").answer(request, out);
            } else {
                attempts.add(request.headers().get("x-trace-id"));
                judged(request, out, this::answer);
            }
        }
    }

    private void answer(Message request, DataOutputStream out) throws Exception {
        String id = request.headers().get("x-trace-id");
        Random random = new Random(seed * 31 + id.hashCode() + attempts.size());
        int kind = random.nextInt(100);
        if (kind < 8) {
            Thread.sleep(50);
            HttpPeer.answer(503, "X-Never-Ran: 1\r\n", "").answer(request, out);
            return;
        }
        if (request.first().startsWith("PUT")) {
            runs.merge(id, 1, Integer::sum);
            runsByPath.merge(request.first().split(" ")[1], 1, Integer::sum);
        }
        if (kind < 12) {
            HttpPeer.answer(500, "", "").answer(request, out);
        } else if (kind < 16) {
            throw new Reset();
        } else if (kind < 26) {
            writeInPieces(out, body(id, random.nextInt(5000)), kind % 3, 3, 250);
        } else if (kind < 34) {
            writeInPieces(out, body(id, LONG_BYTES), kind % 3, 10, 30);
        } else if (kind < 36) {
            HttpPeer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + id);
            Thread.sleep(NEVER_MS);
            throw new IOException("the answer never ends");
        } else {
            HttpPeer.answer(200, "", body(id, random.nextInt(2000))).answer(request, out);
        }
    }

    /** Writes a body with a length, in chunks, or to the end of the connection. */
    private static void writeInPieces(
            DataOutputStream out, String body, int framing, int pieces, long pauseMs)
            throws Exception {
        HttpPeer.write(
                out,
                "HTTP/1.1 200 OK\r\n"
                        + switch (framing) {
                            case 0 -> "Content-Length: " + body.length();
                            case 1 -> "Transfer-Encoding: chunked";
                            default -> "Connection: close";
                        }
                        + "\r\n\r\n");
        int size = body.length() / pieces + 1;
        for (int at = 0; at < body.length(); at += size) {
            Thread.sleep(pauseMs);
            String piece = body.substring(at, Math.min(body.length(), at + size));
            HttpPeer.write(
                    out,
                    framing == 1
                            ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n"
                            : piece);
        }
        if (framing == 1) {
            HttpPeer.write(out, "0\r\n\r\n");
        } else if (framing == 2) {
            throw new IOException("the end of the answer");
        }
    }
}
