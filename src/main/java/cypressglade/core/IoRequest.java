package cypressglade.core;

import cypressglade.core.Scheduler.RequestRules;
import java.time.Instant;
import java.util.Optional;

/**
 * A client's request as the core needs it, independent of the front that received it.
 *
 * @param shard the shard that holds the data; {@link Scheduler#ANY_SHARD} where any node can serve
 *     it
 * @param rules what it is held to, by the settings that were in force when its head arrived
 * @param instances how many schedulers the volume's requests are spread over, at least 1
 * @param isRetry whether the client marks it as sent before
 * @param write whether it changes data
 * @param volume number of the volume
 * @param key the data that the request touches, within the volume
 * @param units cost units of the request
 * @param expiry when the client stops waiting for the answer
 * @param idempotencyToken stands for the key by which nodes drop repeats of the request; 0 where
 *     the client gave none
 * @param receivedAt when its first byte was read; empty where its client never sends a request
 *     again
 */
public record IoRequest(
        int shard,
        RequestRules rules,
        int instances,
        boolean isRetry,
        boolean write,
        long volume,
        long key,
        float units,
        Instant expiry,
        long idempotencyToken,
        Optional<Instant> receivedAt) {

    /** A request without an idempotency key, whose client never sends a request again. */
    public IoRequest(
            int shard,
            RequestRules rules,
            int instances,
            boolean isRetry,
            boolean write,
            long volume,
            long key,
            float units,
            Instant expiry) {
        this(
                shard,
                rules,
                instances,
                isRetry,
                write,
                volume,
                key,
                units,
                expiry,
                0,
                Optional.empty());
    }

    /** The same request with its expiry moved forward to {@code last} if it is later. */
    public IoRequest withDeadlineAtMost(Instant last) {
        return last.isAfter(expiry)
                ? this
                : new IoRequest(
                        shard,
                        rules,
                        instances,
                        isRetry,
                        write,
                        volume,
                        key,
                        units,
                        last,
                        idempotencyToken,
                        receivedAt);
    }

    /** The same request, whose first byte was read then. */
    public IoRequest withReceivedAt(Instant firstByteAt) {
        return new IoRequest(
                shard,
                rules,
                instances,
                isRetry,
                write,
                volume,
                key,
                units,
                expiry,
                idempotencyToken,
                Optional.of(firstByteAt));
    }

    /**
     * The scheduling policy's form of the request.
     *
     * @param id the engine's number of the request
     * @param processes how many processes serve as this instance at once, at least 1
     */
    Scheduler.Request toSchedulerRequest(long id, int processes) {
        return new Scheduler.Request(
                id,
                shard,
                Optional.of(rules),
                instances * processes,
                isRetry,
                write,
                volume,
                key,
                units,
                Micros.of(MonotonicClock.until(expiry)));
    }
}
