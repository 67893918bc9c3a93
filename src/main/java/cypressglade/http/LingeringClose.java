package cypressglade.http;

import cypressglade.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Closes a connection in the order that RFC 9112, section 9.6, asks for: shuts down the sending
 * side, reads and discards what still arrives, and closes the connection when the client has shut
 * down its side too, or after a short time. Closing while unread bytes are in the receive buffer
 * would reset the connection, and the client would lose a response that it has not read yet. Used
 * on the I/O thread only.
 */
final class LingeringClose {
    private static final Duration MAX_LINGER = Duration.ofMillis(500);
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    private static final int BUFFER_BYTES = 4 * 1024;

    private final StreamConnection connection;
    private final StreamSourceConduit source;
    private final StreamSinkConduit sink;
    private ByteBuffer discardBuffer; // null before the start and after the close
    private int discardedBytes;
    private Runnable onClosed;
    private XnioExecutor.Key timeout;

    /**
     * Keeps the conduits that the connection has now, so that reads and writes bypass any that are
     * put on it later.
     */
    LingeringClose(StreamConnection connection) {
        this.connection = connection;
        source = connection.getSourceChannel().getConduit();
        sink = connection.getSinkChannel().getConduit();
    }

    /**
     * Starts closing. {@code onClosed} runs once the connection is closed, or at once where the
     * close was started before.
     */
    void start(EventLoop loop, Runnable onClosed) {
        if (this.onClosed != null) {
            onClosed.run();
            return;
        }
        this.onClosed = onClosed;
        discardBuffer = ByteBuffer.allocate(BUFFER_BYTES);
        timeout = loop.executeAfter(MAX_LINGER, this::close);
        try {
            sink.terminateWrites();
            connection.getSourceChannel().setReadListener(channel -> discardInput());
            source.resumeReads();
            discardInput();
        } catch (IOException broken) {
            close();
        }
    }

    private void discardInput() {
        try {
            while (discardBuffer != null) {
                int count = source.read(discardBuffer.clear());
                discardedBytes += Math.max(0, count);
                if (count < 0 || discardedBytes > MAX_DISCARDED_BYTES) {
                    close();
                } else if (count == 0) {
                    return;
                }
            }
        } catch (IOException reset) {
            close();
        }
    }

    private void close() {
        if (discardBuffer != null) {
            discardBuffer = null;
            timeout.remove();
            IoUtils.safeClose(connection);
            onClosed.run();
        }
    }
}
