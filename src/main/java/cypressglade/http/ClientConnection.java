package cypressglade.http;

import cypressglade.core.MonotonicClock;
import java.time.Instant;
import org.xnio.StreamConnection;

/**
 * The state of a client's connection: in which phase its current request is and since when, and how
 * many bytes are accounted to it. Used on the I/O thread only.
 */
final class ClientConnection {
    final StreamConnection connection;
    final LingeringClose lingeringClose;
    private final WatchedSourceConduit source;

    /**
     * Start of the current phase: of being idle, of receiving a request, or of writing a response.
     * The time of the connect until the first response starts.
     */
    Instant since = MonotonicClock.now();

    /** Part of a request's head has arrived. */
    boolean isReceivingHead;

    /** A request's head is complete and its body is not. */
    boolean isReceivingBody;

    /** A request is open: it was started and is not answered yet. */
    boolean hasOpenRequest;

    /**
     * A request that was open has been answered on it, or one before its body was complete. A
     * health check does not count.
     */
    boolean wasAnswered;

    /** A response is being written. */
    boolean isWriting;

    /** Bytes reserved for a request body that is not complete. */
    int receivingBytes;

    /** Bytes of the open request's body. */
    int openBodyBytes;

    /** Bytes that arrived while a request was open, and are kept for the requests after it. */
    int pipelinedBytes;

    /** Bytes of the response that is being written. */
    int responseBytes;

    ClientConnection(StreamConnection connection) {
        this.connection = connection;
        lingeringClose = new LingeringClose(connection);
        source = WatchedSourceConduit.install(connection, this::onBytesRead);
    }

    /**
     * Notes the start of a request. The time of a client that was answered before starts anew, as
     * it may begin its next request at the end of an idle phase and write it slowly. The time of
     * any other client counts from the connect, whatever it sends.
     */
    private void onBytesRead() {
        if (!hasOpenRequest && !isReceivingHead && !isReceivingBody) {
            isReceivingHead = true;
            since = wasAnswered ? MonotonicClock.now() : since;
        }
    }

    /** Whether no request is arriving or open and no response is being written. */
    boolean isIdle() {
        return !isReceivingHead && !isReceivingBody && !hasOpenRequest && !isWriting;
    }

    /** Whether bytes have arrived that were not read; checks the socket. */
    boolean hasUnread() {
        return source.peek() == WatchedSourceConduit.Input.BYTES;
    }
}
