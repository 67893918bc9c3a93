package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A front's way to the storage nodes; none of its methods blocks. */
public interface NodeLink<W> {
    /**
     * Starts one attempt. Its end comes exactly once, at {@code until} at the latest; by then the
     * connection no longer carries it. It begins at the node only if it is {@code wanted} just
     * before its first byte.
     */
    Attempt send(
            long node,
            W work,
            Instant until,
            BooleanSupplier wanted,
            Consumer<AttemptResult> ended);

    /** Asks a node for a sign of life. */
    void probe(long node, Consumer<AttemptResult> ended);

    /** An attempt that is out. */
    interface Attempt {
        void cancel();
    }

    /**
     * How an attempt or a probe ended; the answer is there only where it was served. {@code took}
     * is how long the node took, as far as the link can tell it from this program's own lateness;
     * empty where it cannot.
     */
    record AttemptResult(
            Scheduler.Status status,
            byte[] answer,
            ResponseMetadata metadata,
            Optional<Duration> latency) {
        private static final byte[] NONE = {};

        public AttemptResult(Scheduler.Status status, byte[] answer, ResponseMetadata told) {
            this(status, answer, told, Optional.empty());
        }

        /** An end with no answer, or none that told anything. */
        public static AttemptResult withoutResponse(Scheduler.Status status) {
            return new AttemptResult(status, NONE, ResponseMetadata.NOTHING);
        }

        /** An answer that was read whole; its body counts only where it was served. */
        public static AttemptResult fromResponse(
                Scheduler.Status status, byte[] answer, ResponseMetadata told, Duration took) {
            return new AttemptResult(
                    status, status == Scheduler.Status.OK ? answer : NONE, told, Optional.of(took));
        }
    }

    /**
     * What a node's answer told beside itself, in the simulator's figures: {@code used}, the
     * volume's use through all schedulers in the last finished period of the meter, in percent of
     * its plan's rate, plus 1 (0 where not told); {@code byOthers}, units that the shard served for
     * the volume through other schedulers since its last answer to this one; {@code load}, the
     * node's report by {@link Scheduler.Settings#loadNames} (empty where none, NaN where a name was
     * not told).
     */
    record ResponseMetadata(int usePercentPlusOne, int unitsByOthers, float[] load) {
        public static final ResponseMetadata NOTHING = new ResponseMetadata(0, 0, new float[0]);
    }
}
