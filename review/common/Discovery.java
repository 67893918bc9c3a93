import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent: the list, and watches that tell changes at once and live every second. */
final class Discovery extends Server {
    private final Trial trial;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<String> changes = new ArrayList<>(); // the change of version i + 1

    Discovery(Trial trial) throws IOException {
        this.trial = trial;
    }

    static String entry(String id, int port, int shard, String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":" + shard + ",\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    synchronized void tell(String id, int port, int shard, String state, long startedMs) {
        String entry = entry(id, port, shard, state, startedMs);
        entries.put(id, entry);
        changes.add(entry);
        trial.note("discovery", "version " + changes.size() + " tells " + entry);
        notifyAll();
    }

    synchronized String list() {
        return "{\"version\":" + changes.size() + ",\"full\":true,\"servers\":["
                + String.join(",", entries.values()) + "]}";
    }

    @Override
    void talk(InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.read(in);
            if (!request.first().contains("stream=1")) {
                Http.answer(out, 200, "", list());
                continue;
            }
            Http.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            int sent;
            String line;
            synchronized (this) {
                sent = changes.size();
                line = list();
            }
            chunk(out, line + "\n");
            while (true) {
                synchronized (this) {
                    if (changes.size() == sent) {
                        wait(1_000);
                    }
                    line =
                            changes.size() == sent
                                    ? ""
                                    : "{\"version\":" + changes.size()
                                            + ",\"full\":false,\"servers\":["
                                            + String.join(
                                                    ",", changes.subList(sent, changes.size()))
                                            + "]}";
                    sent = changes.size();
                }
                chunk(out, line + "\n");
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        Http.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
