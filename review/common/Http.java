import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A message with its body; header names in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String id() {
            return headers.getOrDefault("x-trace-id", "-");
        }
    }

    static Message read(InputStream from) throws IOException {
        DataInputStream in = new DataInputStream(from);
        String first = line(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        byte[] body = new byte[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
        in.readFully(body);
        return new Message(first, headers, body);
    }

    private static String line(DataInputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void answer(OutputStream out, int status, String headers, String body)
            throws IOException {
        write(
                out,
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        return socket;
    }

    static Message get(int port, String path) throws IOException {
        try (Socket socket = connect(port)) {
            write(
                    socket.getOutputStream(),
                    "GET " + path + " HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
            return read(socket.getInputStream());
        }
    }
}
