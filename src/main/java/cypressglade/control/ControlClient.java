package cypressglade.control;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/**
 * The client of the control socket: one request line, one answer line. Blocking; for use by one
 * thread at a time.
 */
public final class ControlClient implements AutoCloseable {
    private final SocketChannel channel;
    private final BufferedReader lines;

    /**
     * Connects to a scheduler's control socket.
     *
     * @throws IOException if no process listens there; the message says what to do
     */
    public ControlClient(Path socket) throws IOException {
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(socket));
        } catch (IOException refused) {
            throw new IOException(
                    socket
                            + ": no scheduler answers there ("
                            + refused.getMessage()
                            + "); start one with the control socket on, "
                            + "see docs/operating-console.md",
                    refused);
        }
        lines = new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
    }

    /**
     * Sends a request and waits for its answer.
     *
     * @param action the value of {@code do}, such as {@code view}
     * @param fields the arguments of the action
     * @return the answer, one JSON object
     * @throws IOException if the connection fails or ends
     */
    public String call(String action, Map<String, String> fields) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = ControlRequest.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("v", ControlRequest.VERSION);
            out.writeStringField("do", action);
            for (Map.Entry<String, String> field : fields.entrySet()) {
                out.writeStringField(field.getKey(), field.getValue());
            }
            out.writeEndObject();
        }
        bytes.write('\n');
        ByteBuffer line = ByteBuffer.wrap(bytes.toByteArray());
        while (line.hasRemaining()) {
            channel.write(line);
        }
        return readLine();
    }

    /**
     * Waits for the next line, such as a status after {@code watch}.
     *
     * @throws IOException if the connection fails or ends
     */
    public String readLine() throws IOException {
        String line = lines.readLine();
        if (line == null) {
            throw new IOException("the scheduler has ended the connection");
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
