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

/** The operator's side of the control socket: a call, a line. Blocks; one thread at a time. */
public final class ControlClient implements AutoCloseable {
    private final SocketChannel channel;
    private final BufferedReader lines;

    /**
     * Connects.
     *
     * @throws IOException where nobody listens there, saying what to do
     */
    public ControlClient(Path socket) throws IOException {
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(socket));
        } catch (IOException nobody) {
            throw new IOException(
                    socket
                            + ": no scheduler answers there ("
                            + nobody.getMessage()
                            + "); start one with the control socket on, "
                            + "see docs/operating-console.md",
                    nobody);
        }
        lines = new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
    }

    /** Asks, and waits for the line of the answer. */
    public String call(String what, Map<String, String> fields) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = ControlRequest.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("v", ControlRequest.VERSION);
            out.writeStringField("do", what);
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

    /** The next line, such as a frame after {@code watch}. */
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
