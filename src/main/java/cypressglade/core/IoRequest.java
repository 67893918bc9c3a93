package cypressglade.core;

import java.time.Instant;

/**
 * What the core needs to know of a request, whichever wire it came by; {@code idempotencyToken}
 * stands for the key by which nodes drop its repeats, 0 where the client gave none.
 */
public record IoRequest(
        int shard,
        int requestClass,
        int plan,
        int instances,
        boolean isRetry,
        boolean write,
        long volume,
        long key,
        float units,
        Instant expiry,
        long idempotencyToken) {

    /** One without a key. */
    public IoRequest(
            int shard,
            int requestClass,
            int plan,
            int instances,
            boolean isRetry,
            boolean write,
            long volume,
            long key,
            float units,
            Instant expiry) {
        this(shard, requestClass, plan, instances, isRetry, write, volume, key, units, expiry, 0);
    }

    /** The same, answered by a time at the latest. */
    public IoRequest withDeadlineAtMost(Instant last) {
        return last.isAfter(expiry)
                ? this
                : new IoRequest(
                        shard,
                        requestClass,
                        plan,
                        instances,
                        isRetry,
                        write,
                        volume,
                        key,
                        units,
                        last,
                        idempotencyToken);
    }

    /** The module's form of it, where so many processes serve as this instance at once. */
    Scheduler.Request toSchedulerRequest(long id, int beside) {
        return new Scheduler.Request(
                id,
                shard,
                requestClass,
                plan,
                instances * beside,
                isRetry,
                write,
                volume,
                key,
                units,
                Micros.of(MonotonicClock.until(expiry)));
    }
}
