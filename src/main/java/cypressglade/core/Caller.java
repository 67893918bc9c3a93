package cypressglade.core;

import java.time.Duration;

/** Who asked: takes exactly one final answer. Each front implements it for its wire. */
public interface Caller {
    /** Done; the answer is what a node sent for this request. */
    void served(byte[] answer);

    /** Not done, and harmless to ask again; the advice is zero where none is given. */
    void refused(Duration retryAfter);

    /** Failed, with no promise about effects. */
    void failed();
}
