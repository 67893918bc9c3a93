package cypressglade.storm;

import cypressglade.recent.RecentEntries;
import cypressglade.recent.RecentEntries.Entry;
import cypressglade.storm.ClientRequest.Effect;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

/**
 * Remembers writes that have ended and may have run, whether or not they were answered: their
 * clients may not have read the answer. They are kept for as long as a client could retry them, and
 * a retry that could run one a second time is never sent. The number is bounded: where it is
 * reached the oldest write is dropped, and until its time is over every retry of a write counts as
 * uncertain, as it may be a retry of that one. The same holds after a restart without an orderly
 * stop, as the writes that were open then are not known.
 *
 * <p>Not safe for use by several threads.
 */
final class UncertainWrites {
    /**
     * Part of the time for which nodes remember an idempotency key during which a retry is sent.
     */
    private static final double SAFE_KEY_TTL_FRACTION = 0.5;

    private final Duration ttl;

    /** Bits of an entry's third number that count its writes; the others tell its first write. */
    private static final int COUNT_BITS = 20;

    private static final long MAX_COUNT = (1L << COUNT_BITS) - 1;

    // Key: fingerprint; first: first send; second: expiry; third: number of the first write of the
    // entry, and how many it stands for. A count that has reached its maximum says nothing.
    private final RecentEntries entries;
    private long lastNumber;
    private Instant allUncertainUntil;

    /**
     * A write that is handed over to another process.
     *
     * @param fingerprint what it has in common with its retries
     * @param remaining for how long it is still remembered
     */
    record Remembered(long fingerprint, Duration remaining) {}

    /**
     * Creates an empty memory.
     *
     * @param maxWrites writes that are remembered at a time, at least 1
     * @param ttl how long a write is remembered
     */
    UncertainWrites(int maxWrites, Duration ttl, Instant now) {
        this.ttl = ttl;
        entries = new RecentEntries(maxWrites);
        allUncertainUntil = now;
    }

    /**
     * Remembers a write that may have run; a request that changes nothing is ignored.
     *
     * @param sent when the request was first sent to a node
     * @return the write's number, for {@link #remove}
     */
    long add(ClientRequest write, Instant sent, Instant now) {
        long number = ++lastNumber;
        if (write.effect() == Effect.NONE) {
            return number;
        }
        expire(now);
        Entry earlier = entries.get(write.fingerprint());
        // The first send counts, as nodes remember a key from its first run on.
        long firstSent = earlier == null ? micros(sent) : Math.min(earlier.first(), micros(sent));
        long third =
                earlier == null
                        ? number << COUNT_BITS | 1
                        : earlier.third() + (count(earlier) == MAX_COUNT ? 0 : 1);
        put(write.fingerprint(), firstSent, now.plus(ttl), third);
        return number;
    }

    private static long count(Entry entry) {
        return entry.third() & MAX_COUNT;
    }

    /**
     * Forgets a write that cannot come again. Others with the same fingerprint are kept, and so is
     * everything where this one is forgotten already.
     *
     * @param number of the write, from {@link #add}
     */
    void remove(long fingerprint, long number) {
        Entry entry = entries.get(fingerprint);
        if (entry == null || number < entry.third() >> COUNT_BITS || count(entry) == MAX_COUNT) {
            return;
        }
        if (count(entry) == 1) {
            entries.remove(fingerprint);
        } else {
            entries.setThird(fingerprint, entry.third() - 1);
        }
    }

    private void put(long fingerprint, long firstSent, Instant expiry, long third) {
        if (entries.isFull() && entries.get(fingerprint) == null) {
            allUncertainUntil = later(allUncertainUntil, instant(entries.oldest().second()));
        }
        entries.put(fingerprint, firstSent, micros(expiry), third);
    }

    /** Whether sending this retry could run a write a second time. */
    boolean mayRunTwice(ClientRequest retry, Instant now) {
        if (!retry.isRetry() || retry.effect() == Effect.NONE) {
            return false;
        }
        expire(now);
        Entry entry = entries.get(retry.fingerprint());
        return entry == null
                ? now.isBefore(allUncertainUntil)
                : mayRunTwice(retry, instant(entry.first()), now);
    }

    /** Whether sending a retry could run a write a second time that was first sent then. */
    static boolean mayRunTwice(ClientRequest retry, Instant firstSent, Instant now) {
        Duration safe = Duration.ofNanos((long) (retry.keyTtl().toNanos() * SAFE_KEY_TTL_FRACTION));
        return retry.effect() == Effect.TWICE || !now.isBefore(firstSent.plus(safe));
    }

    /**
     * Treats all retries of writes as uncertain until the time to live has passed, as it is not
     * known what ran before now.
     */
    void assumeAllUncertain(Instant now) {
        allUncertainUntil = later(allUncertainUntil, now.plus(ttl));
    }

    /** Number of writes that are remembered. */
    int size() {
        return entries.size();
    }

    /** For how long all retries of writes count as uncertain; not negative. */
    Duration allUncertainFor(Instant now) {
        Duration left = Duration.between(now, allUncertainUntil);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** The writes that are remembered, oldest first. */
    List<Remembered> remembered(Instant now) {
        expire(now);
        List<Remembered> all = new ArrayList<>(entries.size());
        entries.forEachKey(
                key ->
                        all.add(
                                new Remembered(
                                        key,
                                        Duration.between(
                                                now, instant(entries.get(key).second())))));
        return all;
    }

    /**
     * Adds what another process remembered. How long ago that was is not known, so every time
     * starts anew, and a key of a write counts as one that nodes have forgotten.
     */
    void addAll(List<Remembered> writes, Duration allUncertainFor, Instant now) {
        expire(now);
        allUncertainUntil = later(allUncertainUntil, now.plus(allUncertainFor));
        // In the order in which they expire, as the oldest entries are looked at first.
        writes.forEach(
                write ->
                        put(
                                write.fingerprint(),
                                Long.MIN_VALUE,
                                now.plus(ttl),
                                ++lastNumber << COUNT_BITS | MAX_COUNT));
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static long micros(Instant time) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, time);
    }

    private static Instant instant(long micros) {
        return micros == Long.MIN_VALUE
                ? Instant.MIN
                : Instant.EPOCH.plus(micros, ChronoUnit.MICROS);
    }

    private void expire(Instant now) {
        while (entries.size() > 0 && !instant(entries.oldest().second()).isAfter(now)) {
            entries.remove(entries.oldest().key());
        }
    }
}
