package cypressglade.net;

import cypressglade.core.MonotonicClock;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A stream connection, usually TCP. All methods must be called on the I/O thread. Its owner has to
 * close it.
 */
public final class Connection {
    private final EventLoop loop;
    private final StreamConnection connection;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    private Listener listener;
    private long unsentBytes;
    private boolean isClosed;
    private boolean isClosingWhenSent;
    private boolean isBlocked;
    private Instant lastActivity = MonotonicClock.now();

    /** Receives the events of a connection, on the I/O thread. */
    public interface Listener {
        /**
         * Bytes arrived. Bytes left in the buffer on return are discarded.
         *
         * @throws IOException to close the connection; {@link #failed} is called next
         */
        void received(ByteBuffer in) throws IOException;

        /**
         * End of stream: the other side closed its sending half. Called at most once, and not after
         * {@link Connection#close}.
         */
        void ended();

        /**
         * The connection failed, for example by a reset. A message that is ended by the end of
         * stream is then incomplete, as bytes may be missing. Called at most once, in place of
         * {@link #ended}.
         */
        default void failed() {
            ended();
        }

        /** All output that had to wait for the socket is written. */
        default void sent() {}
    }

    Connection(EventLoop loop, StreamConnection connection) {
        this.loop = loop;
        this.connection = connection;
        connection.getSourceChannel().setReadListener(this::read);
        connection.getSinkChannel().setWriteListener(channel -> write());
    }

    /** Passes further events to this listener, in place of the current one, and starts reading. */
    public void readInto(Listener next) {
        listener = next;
        connection.getSourceChannel().resumeReads();
    }

    /** Stops reading until {@link #readInto} is called. */
    public void pauseReading() {
        connection.getSourceChannel().suspendReads();
    }

    /** Writes the bytes as soon as the socket accepts them; does nothing once closed. */
    public void send(ByteBuffer bytes) {
        send(List.of(bytes));
    }

    /**
     * Writes the buffers, in order, as soon as the socket accepts them; does nothing once closed.
     */
    public void send(List<ByteBuffer> buffers) {
        if (!isClosed) {
            output.addAll(buffers);
            unsentBytes += buffers.stream().mapToLong(ByteBuffer::remaining).sum();
            write();
        }
    }

    /**
     * When bytes last went in either direction. The other side measures its idle timeout from then.
     */
    public Instant lastActivity() {
        return lastActivity;
    }

    /** Bytes of output that the socket has not accepted yet. */
    public long unsentBytes() {
        return unsentBytes;
    }

    /**
     * Whether the connection is open and neither bytes nor an end of stream wait to be read. Bytes
     * that do wait are discarded.
     */
    boolean hasNoInput() {
        try {
            return !isClosed && connection.getSourceChannel().read(loop.input.clear()) == 0;
        } catch (IOException broken) {
            return false;
        }
    }

    /**
     * Reads what has arrived without waiting for its read event, so that a timer decides on the
     * latest input.
     */
    void readNow() {
        if (!isClosed) {
            read(connection.getSourceChannel());
        }
    }

    /** Closes the connection and discards unsent output; the listener gets no further events. */
    public void close() {
        isClosed = true;
        output.clear();
        IoUtils.safeClose(connection);
    }

    /** Closes the connection once all output is written. */
    public void closeWhenSent() {
        isClosingWhenSent = true;
        if (output.isEmpty()) {
            close();
        }
    }

    private void write() {
        try {
            while (!output.isEmpty()) {
                ByteBuffer first = output.peek();
                int before = first.remaining();
                int written = connection.getSinkChannel().write(first);
                unsentBytes -= before - first.remaining();
                lastActivity = MonotonicClock.now();
                if (first.hasRemaining() && written == 0) {
                    isBlocked = true;
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (!first.hasRemaining()) {
                    output.poll();
                }
            }
            connection.getSinkChannel().suspendWrites();
            if (isClosingWhenSent) {
                close();
            } else if (isBlocked && listener != null) {
                isBlocked = false;
                loop.execute(listener::sent);
            }
        } catch (IOException reset) {
            loop.execute(() -> closeAndNotify(listener::failed));
        }
    }

    private void read(ConduitStreamSourceChannel channel) {
        ByteBuffer input = loop.input;
        try {
            while (!isClosed && channel.isReadResumed()) {
                input.clear();
                int count = channel.read(input);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    closeAndNotify(listener::ended);
                    return;
                }
                lastActivity = MonotonicClock.now();
                listener.received(input.flip());
            }
        } catch (IOException reset) {
            closeAndNotify(listener::failed);
        }
    }

    private void closeAndNotify(Runnable notification) {
        if (!isClosed) {
            connection.getSourceChannel().suspendReads();
            connection.getSinkChannel().suspendWrites();
            isClosed = true;
            output.clear();
            IoUtils.safeClose(connection);
            notification.run();
        }
    }
}
