package cypressglade.core;

import cypressglade.recent.RecentEntries;
import cypressglade.recent.RecentEntries.Entry;

/**
 * Refused requests that have not expired, by which a client's retry is recognized. Of each one only
 * three numbers are kept: its fingerprint, the arrival of its original and its expiry. Their number
 * is fixed; a new one takes the place of the oldest. A retry whose original is forgotten counts
 * from its own arrival, so it is only scheduled as any other request. Belongs to the policy's
 * thread; times are in microseconds.
 */
final class RefusedRequests {
    private final RecentEntries refused;

    /**
     * Creates an empty memory.
     *
     * @param capacity how many are remembered at the most
     */
    RefusedRequests(int capacity) {
        refused = new RecentEntries(capacity);
    }

    /** Remembers a request that was not served, and forgets the oldest ones that have expired. */
    void add(long now, PendingRequest pending) {
        while (refused.size() > 0 && refused.oldest().second() < now) {
            refused.remove(refused.oldest().key());
        }
        refused.put(pending.retryFingerprint(0), pending.originalArrivedAt, pending.expiresAt, 0);
    }

    /** How many are remembered. */
    int size() {
        return refused.size();
    }

    /**
     * Returns when the original of a client's retry arrived: the request that was refused, is like
     * it and expires at the same time. For other requests this is their own arrival.
     */
    long originalArrival(long now, PendingRequest pending) {
        for (int step = -1; step <= 1; step++) {
            Entry before = refused.remove(pending.retryFingerprint(step));
            if (before != null && before.second() >= now) {
                pending.originalArrivedAt = before.first();
                break;
            }
        }
        return pending.originalArrivedAt;
    }
}
