package cypressglade.core;

import java.time.Instant;
import java.util.function.Consumer;

/** A front's way to the storage nodes; none of its methods blocks. */
public interface NodeLink<W> {
    /**
     * Starts one attempt. Its end comes exactly once, at {@code until} at the latest; by then the connection
     * no longer carries it.
     */
    Attempt send(long node, W work, Instant until, Consumer<Ending> ended);

    /** Asks a node for a sign of life. */
    void probe(long node, Consumer<Ending> ended);

    /** An attempt that is out. */
    interface Attempt {
        void abandon();
    }

    /** How an attempt or a probe ended; the answer is there only where it was served. */
    record Ending(Scheduler.Status status, byte[] answer) {
        private static final byte[] NONE = {};

        public static Ending of(Scheduler.Status status) {
            return new Ending(status, NONE);
        }
    }
}
