package cypressglade.storm;

import cypressglade.storm.ClientRequest.Effect;
import cypressglade.storm.ClientRequest.Fingerprint;
import cypressglade.storm.UncertainWritesCodec.Snapshot;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers uncertain writes: those that may have run but were not answered as served. They are
 * kept for as long as their client could retry them, and a retry that could run one a second time
 * is never sent. The number is bounded: where it is reached the oldest write is dropped, and until
 * its time is over every retry of a write counts as uncertain, as it may be a retry of that one.
 * The same holds after a restart without an orderly stop, as the writes that were open then are not
 * known.
 *
 * <p>Not safe for use by several threads.
 */
public final class UncertainWrites {
    /** Writes that are remembered at a time, some 200 bytes of memory each. */
    public static final int MAX_WRITES = 8192;

    /**
     * Part of the time for which nodes remember an idempotency key during which a retry is sent.
     */
    private static final double SAFE_KEY_TTL_FRACTION = 0.5;

    private final int maxWrites;
    private final Duration ttl;
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>(); // oldest first
    private Instant allUncertainUntil;

    /**
     * What is known of one uncertain write.
     *
     * @param firstSent when it was first sent to a node
     * @param expiry when it is forgotten
     */
    record Entry(Instant firstSent, Instant expiry) {}

    /**
     * Creates an empty memory of {@link #MAX_WRITES} writes.
     *
     * @param ttl how long a write is remembered
     */
    public UncertainWrites(Duration ttl, Instant now) {
        this(MAX_WRITES, ttl, now);
    }

    UncertainWrites(int maxWrites, Duration ttl, Instant now) {
        this.maxWrites = maxWrites;
        this.ttl = ttl;
        allUncertainUntil = now;
    }

    /**
     * Remembers a write that may have run and has no answer that says so; a request that changes
     * nothing is ignored.
     *
     * @param sent when the request was first sent to a node
     */
    public void add(ClientRequest write, Instant sent, Instant now) {
        if (write.effect() == Effect.NONE) {
            return;
        }
        expire(now);
        Entry earlier = entries.remove(write.fingerprint());
        if (earlier == null && entries.size() >= maxWrites) {
            Iterator<Entry> oldest = entries.values().iterator();
            allUncertainUntil = later(allUncertainUntil, oldest.next().expiry);
            oldest.remove();
        }
        // The first send counts, as nodes remember a key from its first run on.
        entries.put(
                write.fingerprint(),
                new Entry(earlier == null ? sent : earlier.firstSent, now.plus(ttl)));
    }

    /** Forgets a write that is now known not to have run. */
    public void remove(ClientRequest write) {
        entries.remove(write.fingerprint());
    }

    /** Whether sending this request could run a write a second time. */
    public boolean mayRunTwice(ClientRequest write, Instant now) {
        if (!write.isRetry() || write.effect() == Effect.NONE) {
            return false;
        }
        expire(now);
        Entry entry = entries.get(write.fingerprint());
        if (entry == null) {
            return now.isBefore(allUncertainUntil);
        }
        Duration safe = Duration.ofNanos((long) (write.keyTtl().toNanos() * SAFE_KEY_TTL_FRACTION));
        return write.effect() == Effect.TWICE || !now.isBefore(entry.firstSent.plus(safe));
    }

    /**
     * Treats all retries of writes as uncertain until the time to live has passed, as it is not
     * known what ran before now.
     */
    public void assumeAllUncertain(Instant now) {
        allUncertainUntil = later(allUncertainUntil, now.plus(ttl));
    }

    /** Number of writes that are remembered. */
    public int size() {
        return entries.size();
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private void expire(Instant now) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && !oldestFirst.next().expiry.isAfter(now)) {
            oldestFirst.remove();
        }
    }

    /** Serializes the remembered writes for {@link #restore}. */
    public byte[] serialize(Instant now) {
        expire(now);
        return UncertainWritesCodec.encode(new Snapshot(allUncertainUntil, entries));
    }

    /**
     * Adds the writes that {@link #serialize} returned in an earlier run of the program.
     *
     * @throws IllegalArgumentException where the bytes are not in that format; nothing is added
     *     then
     */
    public void restore(byte[] bytes) {
        Snapshot restored = UncertainWritesCodec.decode(bytes, maxWrites);
        allUncertainUntil = later(allUncertainUntil, restored.allUncertainUntil());
        entries.putAll(restored.entries());
    }
}
