package cypressglade.http;

import cypressglade.core.MonotonicClock;
import java.time.Instant;
import org.xnio.StreamConnection;

/**
 * A client's connection: what is open on it and since when, and what room its bytes take. The I/O
 * thread's alone.
 */
final class ClientConnection {
    final StreamConnection connection;
    final LingeringClose lingering;
    private final WatchedSourceConduit source;

    /** Since when nothing is open, or the first part of a request is here. */
    Instant since = MonotonicClock.now();

    /** Part of a request's head is here. */
    boolean coming;

    /** A head is here whole and its body is not. */
    boolean bodyAwaited;

    boolean open;

    /** A request was answered on it, not just a look at the health. */
    boolean answered;

    boolean writing;
    int receiving;
    int holding;
    int pipelined;
    int answering;

    ClientConnection(StreamConnection connection) {
        this.connection = connection;
        lingering = new LingeringClose(connection);
        source = WatchedSourceConduit.on(connection, this::heard);
    }

    /**
     * Bytes came. A client that has been answered may begin its next request at the end of its
     * rest, and write it slowly; one that has not has its time from the connect, whatever it sends.
     */
    private void heard() {
        if (!open && !coming && !bodyAwaited) {
            coming = true;
            since = answered ? MonotonicClock.now() : since;
        }
    }

    /** Whether nothing is owed on it: no request is coming or open, and no answer is on its way. */
    boolean idle() {
        return !coming && !bodyAwaited && !open && !writing;
    }

    /** Whether bytes have come that nobody has read; looks at the socket. */
    boolean hasUnread() {
        return source.look() == WatchedSourceConduit.Ahead.BYTES;
    }
}
