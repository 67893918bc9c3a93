package cypressglade.net;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.xnio.XnioExecutor;

/**
 * Closes a connection in the order that RFC 9112, section 9.6, asks for: ends this side's sending
 * once all output is written, reads and discards what still arrives, and closes the connection when
 * the other side has ended too, or after a short time. Closing while unread bytes are in the
 * receive buffer would reset the connection, and the peer would lose a response that it has not
 * read yet. Used on the I/O thread only.
 */
public final class LingeringClose implements Connection.Listener {
    private static final Duration MAX_LINGER = Duration.ofMillis(500);
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private final Connection connection;
    private final Runnable onClosed;
    private final XnioExecutor.Key timeout;
    private int discardedBytes;
    private boolean hasEnded;

    private LingeringClose(EventLoop loop, Connection connection, Runnable onClosed) {
        this.connection = connection;
        this.onClosed = onClosed;
        timeout = loop.executeAfter(MAX_LINGER, this::ended);
    }

    /** Starts closing a connection that is open; {@code onClosed} runs once it is closed. */
    public static void start(EventLoop loop, Connection connection, Runnable onClosed) {
        LingeringClose closing = new LingeringClose(loop, connection, onClosed);
        connection.readInto(closing);
        connection.shutdownOutput();
    }

    @Override
    public void received(ByteBuffer in) {
        discardedBytes += in.remaining();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            ended();
        }
    }

    @Override
    public void ended() {
        if (!hasEnded) {
            hasEnded = true;
            timeout.remove();
            connection.close();
            onClosed.run();
        }
    }
}
