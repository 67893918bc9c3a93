package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A front's connections to the storage nodes. No method blocks.
 *
 * @param <W> what the front sends to a node for one request
 */
public interface NodeLink<W> {
    /**
     * Starts one attempt.
     *
     * @param node the node's number in {@link NodeDirectory}
     * @param until when the attempt ends at the latest; by then its connection no longer carries it
     * @param wanted asked just before the first byte; the attempt is not sent where it says false
     * @param observer told what becomes of the attempt, whose end comes by {@code until}
     */
    Attempt send(
            long node, W work, Instant until, BooleanSupplier wanted, AttemptObserver observer);

    /** Sends a node a health probe; {@code ended} is called exactly once. */
    void probe(long node, Consumer<AttemptResult> ended);

    /** Is told what becomes of one attempt. */
    @FunctionalInterface
    interface AttemptObserver {
        /** The attempt has ended, and its connection no longer carries it. Called exactly once. */
        void ended(AttemptResult result);

        /**
         * An answer that has begun is silent, or goes on after a silence. Never called after the
         * end.
         */
        default void silenceChanged(boolean isSilent) {}
    }

    /** An attempt in flight. */
    interface Attempt {
        /** Ends the attempt early; its result is delivered all the same. */
        void cancel();
    }

    /**
     * How an attempt or a probe ended.
     *
     * @param status the outcome; {@code OK} as soon as an answer is passed on while it arrives
     * @param answer the body of the response, or what has arrived of it; empty unless the status is
     *     {@code OK}
     * @param metadata what the response reported besides its body
     * @param latency how long the node took, without the delays of this program as far as the link
     *     can tell them apart; empty where it cannot
     * @param rest what is still to come of the answer; empty where the answer is whole. Who does
     *     not pass it on has to cancel it
     */
    record AttemptResult(
            Scheduler.Status status,
            byte[] answer,
            ResponseMetadata metadata,
            Optional<Duration> latency,
            Optional<AnswerStream> rest) {
        private static final byte[] NONE = {};

        /** A result without a rest. */
        public AttemptResult(
                Scheduler.Status status,
                byte[] answer,
                ResponseMetadata metadata,
                Optional<Duration> latency) {
            this(status, answer, metadata, latency, Optional.empty());
        }

        /** A result whose latency the link cannot tell. */
        public AttemptResult(Scheduler.Status status, byte[] answer, ResponseMetadata metadata) {
            this(status, answer, metadata, Optional.empty());
        }

        /** A result without a response, or with one that carried no metadata. */
        public static AttemptResult withoutResponse(Scheduler.Status status) {
            return new AttemptResult(status, NONE, ResponseMetadata.NOTHING);
        }

        /** A result with a response that was read whole; the body is kept only for {@code OK}. */
        public static AttemptResult fromResponse(
                Scheduler.Status status,
                byte[] answer,
                ResponseMetadata metadata,
                Duration latency) {
            return new AttemptResult(
                    status,
                    status == Scheduler.Status.OK ? answer : NONE,
                    metadata,
                    Optional.of(latency));
        }

        /** The same result with the rest of its answer still to come. */
        public AttemptResult withRest(AnswerStream stream) {
            return new AttemptResult(status, answer, metadata, latency, Optional.of(stream));
        }
    }

    /**
     * What a node's response reports besides its body, in the units of the simulator's protocol.
     *
     * @param usePercentPlusOne the units that the volume was served through all schedulers in the
     *     last finished metering period, in percent of its plan's rate, plus 1; 0 where not
     *     reported
     * @param unitsByOthers units that the shard served for the volume through other schedulers
     *     since its last response to this one
     * @param load the node's load
     */
    record ResponseMetadata(int usePercentPlusOne, int unitsByOthers, Scheduler.LoadFigures load) {
        /** Nothing was reported. */
        public static final ResponseMetadata NOTHING =
                new ResponseMetadata(0, 0, Scheduler.LoadFigures.NONE);
    }
}
