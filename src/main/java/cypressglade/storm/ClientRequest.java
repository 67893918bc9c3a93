package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * One request of a client, original or retry, as far as retry admission needs to know it.
 *
 * @param shard number of the shard that holds the data, or negative where any node can take it
 * @param volume id of the volume
 * @param weight weight of the volume's plan among others, above 0
 * @param key the data that the request touches
 * @param requestClass name of the request's class, which stays the same over reloads and restarts
 * @param units cost of the request in cost units
 * @param isRetry whether the client marks it as a retry of an earlier request
 * @param effect what running it a second time would do
 * @param token stands for the client's idempotency key, 0 where it gave none
 * @param keyTtl how long nodes remember an idempotency key and drop repeats of it
 * @param expiry when the client gives up on this request
 * @param receivedAt when its first byte was read; empty where that is not known
 */
public record ClientRequest(
        int shard,
        long volume,
        double weight,
        long key,
        String requestClass,
        double units,
        boolean isRetry,
        Effect effect,
        long token,
        Duration keyTtl,
        Instant expiry,
        Optional<Instant> receivedAt) {
    /** From the finalizer of MurmurHash3. */
    private static final long MIX_FACTOR = 0xc4ceb9fe1a85ec53L;

    private static final int MIX_SHIFT = 33;

    /** A request of which it is not known when its first byte was read. */
    public ClientRequest(
            int shard,
            long volume,
            double weight,
            long key,
            String requestClass,
            double units,
            boolean isRetry,
            Effect effect,
            long token,
            Duration keyTtl,
            Instant expiry) {
        this(
                shard,
                volume,
                weight,
                key,
                requestClass,
                units,
                isRetry,
                effect,
                token,
                keyTtl,
                expiry,
                Optional.empty());
    }

    /** What running a request a second time would do. */
    public enum Effect {
        /** Nothing that the first run has not done. */
        NONE,
        /** Nothing while nodes remember its idempotency key, as they drop the repeat. */
        DROPPED,
        /** The write would be applied twice. */
        TWICE
    }

    /**
     * A number that an original request and its retries have in common, and with hardly any other
     * request. It is the same in every process.
     */
    long fingerprint() {
        long hash = mixed(volume);
        hash = mixed(hash + key);
        hash = mixed(hash + requestClass.hashCode());
        hash = mixed(hash + Double.doubleToLongBits(units));
        return mixed(hash + token);
    }

    private static long mixed(long number) {
        long product = (number ^ number >>> MIX_SHIFT) * MIX_FACTOR;
        return product ^ product >>> MIX_SHIFT;
    }
}
