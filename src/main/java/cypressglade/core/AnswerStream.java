package cypressglade.core;

import java.nio.ByteBuffer;
import java.util.OptionalLong;

/**
 * The rest of a node's answer, which is passed on to the client while it arrives. Nothing is read
 * from the node before {@link #start}, and nothing while it is paused. Used on the I/O thread only.
 */
public interface AnswerStream {
    /** Receives the rest of the answer, on the I/O thread. */
    interface Receiver {
        /** The next bytes; the buffer is valid during the call only. */
        void received(ByteBuffer part);

        /** The answer is whole. */
        void ended();

        /** The answer broke off, and its rest never comes. */
        void failed();
    }

    /**
     * The length of the whole body in bytes, with what came before; empty where it is not known.
     */
    OptionalLong length();

    /** Starts to read on; to be called once. */
    void start(Receiver receiver);

    /** Stops reading from the node. */
    void pause();

    /** Reads on, at most {@code maxBytes} at a time. */
    void resume(int maxBytes);

    /** Gives the rest up, on any thread; the receiver is not called any more. */
    void cancel();
}
