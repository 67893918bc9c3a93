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

/** One TCP connection, on the I/O thread. Its owner closes it. */
public final class Connection {
    private final EventLoop loop;
    private final StreamConnection connection;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    private Listener listener;
    private long unsent;
    private boolean closed;
    private boolean closeWhenSent;
    private boolean blocked;
    private Instant used = MonotonicClock.now();

    /** Hears what comes. */
    public interface Listener {
        /** Bytes came; what is left in the buffer is lost. A failure breaks the wire. */
        void received(ByteBuffer in) throws IOException;

        /** The other side ended its sending; told once, and not after {@link Connection#close}. */
        void ended();

        /**
         * The wire broke instead, as by a reset: that ends nothing whole, as what would have come
         * next is not known. Told once, in place of {@link #ended}.
         */
        default void failed() {
            ended();
        }

        /** All that had to wait for the socket is written. */
        default void sent() {}
    }

    Connection(EventLoop loop, StreamConnection connection) {
        this.loop = loop;
        this.connection = connection;
        connection.getSourceChannel().setReadListener(this::read);
        connection.getSinkChannel().setWriteListener(channel -> write());
    }

    /** Hands what comes from now on to another listener. */
    public void readInto(Listener next) {
        listener = next;
        connection.getSourceChannel().resumeReads();
    }

    public void pauseReading() {
        connection.getSourceChannel().suspendReads();
    }

    /** Writes as soon as the socket takes it. */
    public void send(ByteBuffer bytes) {
        send(List.of(bytes));
    }

    /** Writes the parts, in order, as soon as the socket takes them. */
    public void send(List<ByteBuffer> parts) {
        if (!closed) {
            output.addAll(parts);
            unsent += parts.stream().mapToLong(ByteBuffer::remaining).sum();
            write();
        }
    }

    /** When bytes went either way last; the other side counts the connection's rest from then. */
    public Instant lastActivity() {
        return used;
    }

    /** Bytes that the socket has not taken yet. */
    public long unsentBytes() {
        return unsent;
    }

    /** Whether nothing came that was not heard of yet, be it bytes or the end. */
    boolean hasNoInput() {
        try {
            return !closed && connection.getSourceChannel().read(loop.input.clear()) == 0;
        } catch (IOException broken) {
            return false;
        }
    }

    /** Hears what has come by now, before its event is: for whoever acts by a timer. */
    void readNow() {
        if (!closed) {
            read(connection.getSourceChannel());
        }
    }

    /** Gives the connection back; nothing is heard of it after. */
    public void close() {
        closed = true;
        output.clear();
        IoUtils.safeClose(connection);
    }

    /** Closes once all that was to be sent is written. */
    public void closeWhenSent() {
        closeWhenSent = true;
        if (output.isEmpty()) {
            close();
        }
    }

    private void write() {
        try {
            while (!output.isEmpty()) {
                ByteBuffer first = output.peek();
                int before = first.remaining();
                int wrote = connection.getSinkChannel().write(first);
                unsent -= before - first.remaining();
                used = MonotonicClock.now();
                if (first.hasRemaining() && wrote == 0) {
                    blocked = true;
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (!first.hasRemaining()) {
                    output.poll();
                }
            }
            connection.getSinkChannel().suspendWrites();
            if (closeWhenSent) {
                close();
            } else if (blocked && listener != null) {
                blocked = false;
                loop.execute(listener::sent);
            }
        } catch (IOException reset) {
            loop.execute(() -> over(listener::failed));
        }
    }

    private void read(ConduitStreamSourceChannel channel) {
        ByteBuffer input = loop.input;
        try {
            while (!closed && channel.isReadResumed()) {
                input.clear();
                int got = channel.read(input);
                if (got == 0) {
                    return;
                }
                if (got < 0) {
                    over(listener::ended);
                    return;
                }
                used = MonotonicClock.now();
                listener.received(input.flip());
            }
        } catch (IOException reset) {
            over(listener::failed);
        }
    }

    private void over(Runnable told) {
        if (!closed) {
            connection.getSourceChannel().suspendReads();
            connection.getSinkChannel().suspendWrites();
            closed = true;
            output.clear();
            IoUtils.safeClose(connection);
            told.run();
        }
    }
}
