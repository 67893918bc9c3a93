package rig;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A storage node of the platform's protocol: runs a request when its last byte has come. */
public final class HttpNode extends Server {
    /** One request that ran, or was turned away. */
    public record Run(String first, String id, String body, double at) {}

    /** What becomes of a request; the ordinary answer is {@link #serve}. */
    public interface Script {
        void answer(HttpNode node, Rig.Message request, Socket socket, DataOutputStream out)
                throws Exception;
    }

    public final List<Run> runs = new CopyOnWriteArrayList<>();
    public volatile Script script = HttpNode::serve;
    public volatile int workMs = 5;
    private final Rig rig;
    private final String name;

    public HttpNode(Rig rig, String name) throws IOException {
        super(0);
        this.rig = rig;
        this.name = name;
    }

    @Override
    protected void talk(Socket socket, DataInputStream in, DataOutputStream out) throws Exception {
        for (Rig.Message request = Rig.Message.read(in);
                request != null;
                request = Rig.Message.read(in)) {
            if (request.first.startsWith("GET /healthz") || request.first.startsWith("GET /load")) {
                answer(out, 200, "", "");
            } else {
                script.answer(this, request, socket, out);
            }
        }
    }

    /** Notes that a request has run. */
    public void run(Rig.Message request) {
        String id = request.header("x-trace-id");
        rig.note(name + " runs " + request.first + ", id " + id);
        runs.add(
                new Run(
                        request.first,
                        id,
                        new String(request.body, StandardCharsets.US_ASCII),
                        rig.now()));
    }

    public static void serve(HttpNode node, Rig.Message request, Socket socket, DataOutputStream out)
            throws IOException {
        node.run(request);
        Rig.pause(node.workMs);
        answer(out, 200, "", "done " + request.header("x-trace-id"));
    }

    public static void answer(DataOutputStream out, int status, String headers, String body)
            throws IOException {
        out.write(
                ("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n" + headers
                                + "\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** How often a write to this path ran. */
    public long count(String path) {
        return runs.stream().filter(run -> run.first().startsWith("PUT " + path + " ")).count();
    }
}
