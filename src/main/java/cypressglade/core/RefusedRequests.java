package cypressglade.core;

import java.util.LinkedHashMap;

/**
 * Refused requests that have not expired, by which a client's retry is recognized. Belongs to the
 * policy's thread; times are in microseconds.
 */
final class RefusedRequests {
    /** Refusals to remember before expired ones are removed. */
    private static final int MIN_REMEMBERED = 64;

    private final LinkedHashMap<Long, PendingRequest> refused = new LinkedHashMap<>();
    private int cleanupSize;

    /** Remembers a request that was not served. */
    void add(PendingRequest pending) {
        refused.put(pending.retryFingerprint(0), pending);
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
        if (refused.size() > cleanupSize) { // a retry storm leaves thousands
            refused.values().removeIf(before -> before.expiresAt < now);
            cleanupSize = MIN_REMEMBERED + 2 * refused.size();
        }
        for (int step = -1; step <= 1; step++) {
            PendingRequest before = refused.remove(pending.retryFingerprint(step));
            if (before != null && before.expiresAt >= now) {
                pending.originalArrivedAt = before.originalArrivedAt;
                break;
            }
        }
        return pending.originalArrivedAt;
    }
}
