package cypressglade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reports reads from a connection, whoever makes them, and can peek at the input without consuming
 * it. Peeking is needed because a timer may run before the events of input that arrived earlier, by
 * as long as the process was held up: code that is about to close a connection, or to act for its
 * client, must check for unread input first. Used on the I/O thread only.
 */
final class WatchedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int MAX_PEEKED_BYTES = 4 * 1024;

    private final StreamConnection connection;
    private final Runnable onBytesRead;
    private ByteBuffer peeked = ByteBuffer.allocate(0); // taken from the socket, and not read yet

    /** What {@link #peek} found. */
    enum Input {
        /** No input has arrived that was not read. */
        NOTHING,
        /** Unread bytes have arrived. */
        BYTES,
        /** The client has shut down its side, or the connection is broken. */
        END
    }

    private WatchedSourceConduit(StreamConnection connection, Runnable onBytesRead) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.onBytesRead = onBytesRead;
    }

    /** Installs a conduit on a connection; {@code onBytesRead} runs after each read of bytes. */
    static WatchedSourceConduit install(StreamConnection connection, Runnable onBytesRead) {
        WatchedSourceConduit watched = new WatchedSourceConduit(connection, onBytesRead);
        connection.getSourceChannel().setConduit(watched);
        return watched;
    }

    /**
     * Checks the socket for input now. Bytes that it finds are returned by the next read, and the
     * read listener is called for them.
     */
    Input peek() {
        if (!peeked.hasRemaining()) {
            ByteBuffer buffer = ByteBuffer.allocate(MAX_PEEKED_BYTES);
            try {
                int count = next.read(buffer);
                if (count <= 0) {
                    return count == 0 ? Input.NOTHING : Input.END;
                }
            } catch (IOException reset) {
                return Input.END;
            }
            peeked = buffer.flip();
        }
        connection.getSourceChannel().wakeupReads();
        return Input.BYTES;
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        return (int)
                reportRead(
                        peeked.hasRemaining() ? readPeeked(destination) : next.read(destination));
    }

    @Override
    public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
        if (!peeked.hasRemaining()) {
            return reportRead(next.read(destinations, offset, length));
        }
        long count = 0;
        for (int i = offset; i < offset + length; i++) {
            count += readPeeked(destinations[i]);
        }
        return reportRead(count);
    }

    private int readPeeked(ByteBuffer destination) {
        int size = Math.min(peeked.remaining(), destination.remaining());
        destination.put(peeked.slice(peeked.position(), size));
        peeked.position(peeked.position() + size);
        return size;
    }

    /**
     * Calls the read listener at once where peeked bytes remain, as the socket does not report them
     * again.
     */
    @Override
    public void resumeReads() {
        if (peeked.hasRemaining()) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }

    private long reportRead(long count) {
        if (count > 0) {
            onBytesRead.run();
        }
        return count;
    }
}
