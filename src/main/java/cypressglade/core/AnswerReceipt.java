package cypressglade.core;

import cypressglade.storm.WriteRegister.OpenWrite;
import java.util.Optional;

/**
 * Lets a front report that a client has read the answer by which its request was served, once the
 * task has ended. Holds nothing of the request but what identifies its write. Its state belongs to
 * the engine thread.
 */
public final class AnswerReceipt {
    private final Engine engine;
    Optional<OpenWrite> write = Optional.empty();
    boolean isRead;
    boolean hasEnded;

    AnswerReceipt(Engine engine) {
        this.engine = engine;
    }

    /**
     * Reports that the client has read the answer, as its next request on the same connection
     * shows: clients send one request at a time there. From any thread.
     */
    public void confirm() {
        engine.answerRead(this);
    }
}
