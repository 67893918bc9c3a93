package cypressglade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * What comes from a client: tells of bytes that are read, whoever reads them, and looks at what has
 * come without taking it. A timer may run before the events that came with it are heard of, by as
 * long as the process was held up: whoever is about to close a connection, or to act for its
 * client, must look first.
 */
final class WatchedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int MOST_AHEAD = 4 * 1024;

    private final StreamConnection connection;
    private final Runnable heard;
    private ByteBuffer ahead = ByteBuffer.allocate(0); // looked at, and not read yet

    /** What has come and was not read yet. */
    enum Ahead {
        NOTHING,
        BYTES,
        END
    }

    private WatchedSourceConduit(StreamConnection connection, Runnable heard) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.heard = heard;
    }

    /** Stands between a connection and its readers from now on. */
    static WatchedSourceConduit on(StreamConnection connection, Runnable heard) {
        WatchedSourceConduit watched = new WatchedSourceConduit(connection, heard);
        connection.getSourceChannel().setConduit(watched);
        return watched;
    }

    /** Looks at the socket now; what is there is read next, and its reader is called for it. */
    Ahead look() {
        if (!ahead.hasRemaining()) {
            ByteBuffer fresh = ByteBuffer.allocate(MOST_AHEAD);
            try {
                int got = next.read(fresh);
                if (got <= 0) {
                    return got == 0 ? Ahead.NOTHING : Ahead.END;
                }
            } catch (IOException reset) {
                return Ahead.END;
            }
            ahead = fresh.flip();
        }
        connection.getSourceChannel().wakeupReads();
        return Ahead.BYTES;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        return (int) heard(ahead.hasRemaining() ? takeAhead(to) : next.read(to));
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        if (!ahead.hasRemaining()) {
            return heard(next.read(to, offset, length));
        }
        long taken = 0;
        for (int i = offset; i < offset + length; i++) {
            taken += takeAhead(to[i]);
        }
        return heard(taken);
    }

    private int takeAhead(ByteBuffer to) {
        int size = Math.min(ahead.remaining(), to.remaining());
        to.put(ahead.slice(ahead.position(), size));
        ahead.position(ahead.position() + size);
        return size;
    }

    /**
     * Calls the reader at once where something was looked at: the socket does not tell of it again.
     */
    @Override
    public void resumeReads() {
        if (ahead.hasRemaining()) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }

    private long heard(long got) {
        if (got > 0) {
            heard.run();
        }
        return got;
    }
}
