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
 * The sending side ends first, what still comes is read and dropped, and the connection is closed
 * when the client has ended its side too, or a little later. A close over unread bytes would reset
 * the connection, and an answer that its client has not read yet would go with it. On the I/O
 * thread.
 */
final class LingeringClose {
    private static final Duration MOST = Duration.ofMillis(500);
    private static final int MOST_DROPPED = 256 * 1024;
    private static final int BUFFER = 4 * 1024;

    private final StreamConnection connection;
    private final StreamSourceConduit source;
    private final StreamSinkConduit sink;
    private ByteBuffer dropped;
    private int total;
    private Runnable closed;
    private XnioExecutor.Key limit;

    /** Of a connection on which nothing was put yet. */
    LingeringClose(StreamConnection connection) {
        this.connection = connection;
        source = connection.getSourceChannel().getConduit();
        sink = connection.getSinkChannel().getConduit();
    }

    /** Begins it; {@code over} runs once the connection is closed. */
    void start(EventLoop loop, Runnable over) {
        if (closed != null) { // begun before
            over.run();
            return;
        }
        closed = over;
        dropped = ByteBuffer.allocate(BUFFER);
        limit = loop.executeAfter(MOST, this::close);
        try {
            sink.terminateWrites();
            connection.getSourceChannel().setReadListener(channel -> drop());
            source.resumeReads();
            drop();
        } catch (IOException gone) {
            close();
        }
    }

    private void drop() {
        try {
            while (dropped != null) {
                int got = source.read(dropped.clear());
                total += Math.max(0, got);
                if (got < 0 || total > MOST_DROPPED) {
                    close();
                } else if (got == 0) {
                    return;
                }
            }
        } catch (IOException reset) {
            close();
        }
    }

    private void close() {
        if (dropped != null) {
            dropped = null;
            limit.remove();
            IoUtils.safeClose(connection);
            closed.run();
        }
    }
}
