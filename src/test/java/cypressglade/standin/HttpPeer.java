package cypressglade.standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;

/** A storage node or discovery agent that answers each request as its script says. */
public final class HttpPeer extends StandIn {
    public final LinkedBlockingQueue<Message> requests = new LinkedBlockingQueue<>();
    private volatile Script script;

    /** Writes an answer, or nothing; throwing ends the connection. */
    public interface Script {
        void answer(Message request, DataOutputStream out) throws Exception;
    }

    /** One HTTP message: its first line, its headers in lower case and its body. */
    public record Message(String first, Map<String, String> headers, String body) {
        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        public static Message read(DataInputStream in) throws IOException {
            String first = readLine(in);
            Map<String, String> headers = new TreeMap<>();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            byte[] body =
                    headers.containsKey("transfer-encoding")
                            ? readChunks(in)
                            : new byte
                                    [Integer.parseInt(headers.getOrDefault("content-length", "0"))];
            if (!headers.containsKey("transfer-encoding")) {
                in.readFully(body);
            }
            return new Message(first, headers, new String(body, StandardCharsets.ISO_8859_1));
        }

        private static byte[] readChunks(DataInputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in), 16);
                    size > 0;
                    size = Integer.parseInt(readLine(in), 16)) {
                body.write(in.readNBytes(size));
                readLine(in);
            }
            readLine(in);
            return body.toByteArray();
        }

        /** Reads a line, without its end. */
        public static String readLine(DataInputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.readUnsignedByte(); next != '\n'; next = in.readUnsignedByte()) {
                line.append((char) next);
            }
            return line.toString().trim();
        }
    }

    public HttpPeer(Script script) {
        this.script = script;
    }

    public void script(Script next) {
        script = next;
    }

    /** An answer whose body has a length. */
    public static Script answer(int status, String headers, String body) {
        return (request, out) ->
                write(
                        out,
                        "HTTP/1.1 "
                                + status
                                + " X\r\n"
                                + headers
                                + "Content-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body);
    }

    public static void write(DataOutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
        while (true) {
            Message request = Message.read(in);
            if (request.first().startsWith("GET /healthz")) {
                answer(200, "", "").answer(request, out);
            } else {
                requests.add(request);
                judged(request, out, script);
            }
        }
    }
}
