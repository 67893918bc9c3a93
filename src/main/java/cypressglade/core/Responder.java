package cypressglade.core;

import java.time.Duration;

/**
 * Delivers the final answer of one request to its client; each front implements it for its
 * protocol. Exactly one of the {@code serve} methods, {@link #refuse} and {@link #fail} is called,
 * at most once, from the engine thread or the request's own thread.
 */
public interface Responder {
    /**
     * Whether the client is still connected, judged by the bytes that have arrived so far. Called
     * on the I/O thread just before an attempt begins, because the end of a connection may have
     * arrived without having been processed yet.
     */
    default boolean isClientConnected() {
        return true;
    }

    /**
     * The id that the client gave its request; {@link RequestLog#NO_ID} where the protocol has
     * none.
     */
    default String requestId() {
        return RequestLog.NO_ID;
    }

    /** Answers with the body that a node returned for this request. */
    void serve(byte[] answer);

    /**
     * Answers with the body that a node is still writing. Protocols that do not pass answers on
     * while they arrive are never asked to.
     *
     * @param start what has arrived of it
     * @param rest what is to come
     */
    default void serve(byte[] start, AnswerStream rest) {
        throw new UnsupportedOperationException("answers are passed on whole");
    }

    /**
     * Answers that the request was not done and is safe to send again.
     *
     * @param retryAfter when to send it again; zero for no advice
     */
    void refuse(Duration retryAfter);

    /** Answers that the request failed; it may or may not have taken effect. */
    void fail();
}
