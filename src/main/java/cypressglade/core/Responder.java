package cypressglade.core;

import java.time.Duration;

/** Who asked: takes exactly one final answer. Each front implements it for its wire. */
public interface Responder {
    /**
     * Whether who asked is still there, by what has come on the wire up to now. Asked on the I/O
     * thread just before an attempt begins, since the end of a client may have come without being
     * heard of yet.
     */
    default boolean isClientConnected() {
        return true;
    }

    /**
     * The id that the client gave its request; {@link RequestLog#NO_ID} where its wire has none.
     */
    default String requestId() {
        return RequestLog.NO_ID;
    }

    /** Done; the answer is what a node sent for this request. */
    void serve(byte[] answer);

    /** Not done, and harmless to ask again; the advice is zero where none is given. */
    void refuse(Duration retryAfter);

    /** Failed, with no promise about effects. */
    void fail();
}
