package cypressglade.net;

import cypressglade.core.MonotonicClock;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * A stream connection, usually TCP. All methods must be called on the I/O thread. Its owner has to
 * close it.
 */
public final class Connection {
    private static final System.Logger LOG = System.getLogger(Connection.class.getName());

    /** Bytes of output that are passed to one write, as each is copied to a direct buffer whole. */
    private static final int WRITE_CHUNK_BYTES = 64 * 1024;

    private static final XnioExecutor.Key NO_TIMER = () -> false;

    private final EventLoop loop;
    private final StreamConnection connection;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    private Listener listener;
    private long unsentBytes;
    private long bytesRead;
    private boolean isClosed;
    private boolean isClosingWhenSent;
    private boolean isBlocked;
    private boolean isShuttingDown;
    private Instant lastActivity = MonotonicClock.now();
    private Instant lastWritten = lastActivity;
    private int readLimit = EventLoop.INPUT_BUFFER_BYTES;
    private XnioExecutor.Key phaseTimer = NO_TIMER;

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
        connection
                .getSourceChannel()
                .setReadListener(channel -> loop.budget().run(this, this::read));
        connection
                .getSinkChannel()
                .setWriteListener(channel -> loop.budget().run(this, this::write));
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

    /**
     * Sets how many bytes one read takes at the most, as they have to be kept whatever room there
     * is.
     */
    public void setReadLimit(int bytes) {
        readLimit = Math.min(bytes, EventLoop.INPUT_BUFFER_BYTES);
    }

    /**
     * Bounds the time of a phase of this connection, such as a handshake: {@code onTimeout} runs
     * unless {@link #endPhase} is called or the connection closes before. Nothing of the phase is
     * kept after that. A new phase takes the place of the one before.
     */
    public void limitPhase(Duration duration, Runnable onTimeout) {
        endPhase();
        if (!isClosed) {
            phaseTimer = loop.executeAfter(duration, onTimeout);
        }
    }

    /** Ends the phase that {@link #limitPhase} bounds, if there is one. */
    public void endPhase() {
        phaseTimer.remove();
        phaseTimer = NO_TIMER;
    }

    /** Whether neither side has ended the connection as far as this side has read. */
    public boolean isOpen() {
        return !isClosed;
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
     * Writes buffers that the caller uses again after the call: keeps a copy of what the socket
     * does not accept at once.
     */
    public void sendCopy(List<ByteBuffer> buffers) {
        send(buffers);
        if (!output.isEmpty()) {
            ByteBuffer copy = ByteBuffer.allocate((int) unsentBytes);
            output.forEach(copy::put);
            output.clear();
            output.add(copy.flip());
        }
    }

    /** Closes the connection so that the other side sees it fail rather than end. */
    public void abort() {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException broken) {
            LOG.log(System.Logger.Level.DEBUG, "a broken connection is closed", broken);
        }
        close();
    }

    /**
     * When bytes last went in either direction. The other side measures its idle timeout from then.
     */
    public Instant lastActivity() {
        return lastActivity;
    }

    /** When the socket last accepted output; the time of the connect before. */
    public Instant lastWritten() {
        return lastWritten;
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
        ByteBuffer input = loop.lendInput();
        try {
            return !isClosed && connection.getSourceChannel().read(input) == 0;
        } catch (IOException broken) {
            return false;
        } finally {
            loop.returnInput(input);
        }
    }

    /**
     * Reads what has arrived without waiting for its read event, so that a timer decides on the
     * latest input. The listener gets it as usual, and may pause reading or close the connection.
     * Reads once however long the running callback has taken, and then on while that callback's
     * budget lasts, however fast the other side writes.
     *
     * @return whether the connection is open and nothing that has arrived is unread; false also
     *     where that is not known, as reading is paused or the budget is spent
     */
    public boolean readNow() {
        return readNow(1);
    }

    /**
     * Reads as {@link #readNow()} does, and at least so many bytes, if they have arrived, whatever
     * is left of the budget. For decisions that must not depend on how long a callback has taken.
     *
     * @param assuredBytes what the other side may send ahead
     */
    public boolean readNow(int assuredBytes) {
        Arrival arrival = Arrival.BYTES;
        long before = bytesRead;
        while (arrival == Arrival.BYTES
                && isReading()
                && (bytesRead - before < assuredBytes || loop.budget().hasLeft())) {
            arrival = readOnce();
        }
        return arrival == Arrival.NOTHING && !isClosed;
    }

    /** The listener's class and the remote address. */
    @Override
    public String toString() {
        String owner = listener == null ? "new" : listener.getClass().getSimpleName();
        return owner + " of " + connection.getPeerAddress();
    }

    /**
     * Ends this side's sending once all output is written; the other side may go on. Closes the
     * connection where that fails.
     */
    void shutdownOutput() {
        isShuttingDown = true;
        if (output.isEmpty()) {
            endOutput();
        }
    }

    private void endOutput() {
        try {
            connection.getSinkChannel().shutdownWrites();
            if (!connection.getSinkChannel().flush()) {
                connection.getSinkChannel().resumeWrites();
            }
        } catch (IOException broken) {
            loop.execute(() -> closeAndNotify(listener::failed));
        }
    }

    /** Closes the connection and discards unsent output; the listener gets no further events. */
    public void close() {
        isClosed = true;
        endPhase();
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
                int written = writeChunk(first);
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
            } else if (isShuttingDown) {
                endOutput();
            } else if (isBlocked && listener != null) {
                isBlocked = false;
                loop.execute(listener::sent);
            }
        } catch (IOException reset) {
            loop.execute(() -> closeAndNotify(listener::failed));
        }
    }

    private int writeChunk(ByteBuffer buffer) throws IOException {
        int size = Math.min(buffer.remaining(), WRITE_CHUNK_BYTES);
        int written = connection.getSinkChannel().write(buffer.slice(buffer.position(), size));
        buffer.position(buffer.position() + written);
        unsentBytes -= written;
        if (written > 0 || size == 0) {
            lastActivity = MonotonicClock.now();
            lastWritten = lastActivity;
        }
        return written;
    }

    private boolean isReading() {
        return !isClosed && connection.getSourceChannel().isReadResumed();
    }

    /**
     * Handles a read event by one read, so that what one peer sends is read in turn with what the
     * others send. The event comes again where more has arrived.
     */
    private void read() {
        if (isReading()) {
            readOnce();
        }
    }

    /** What one read has found. */
    private enum Arrival {
        NOTHING,
        BYTES,
        END
    }

    private Arrival readOnce() {
        ByteBuffer input = loop.lendInput();
        try {
            int count = connection.getSourceChannel().read(input.limit(readLimit));
            if (count < 0) {
                closeAndNotify(listener::ended);
                return Arrival.END;
            }
            if (count > 0) {
                lastActivity = MonotonicClock.now();
                bytesRead += count;
                loop.budget().spend(count);
                listener.received(input.flip());
            }
            return count == 0 ? Arrival.NOTHING : Arrival.BYTES;
        } catch (IOException reset) {
            closeAndNotify(listener::failed);
            return Arrival.END;
        } finally {
            loop.returnInput(input);
        }
    }

    private void closeAndNotify(Runnable notification) {
        if (!isClosed) {
            connection.getSourceChannel().suspendReads();
            connection.getSinkChannel().suspendWrites();
            close();
            notification.run();
        }
    }
}
