package cypressglade.http;

import cypressglade.core.MonotonicClock;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The trace ids of requests that are open or whose attempts may still run at a node. To a node,
 * another request under one of them would be a second copy, whoever sends it. The table is bounded.
 * Used on the I/O thread only.
 */
final class TraceIds {
    private static final int MAX_IDS = 8192;

    /**
     * How long an id is kept after its request expired: a node may begin a request until the time
     * that it was sent with is over.
     */
    private static final Duration RETENTION = Duration.ofMillis(500);

    private final Map<String, Instant> keptUntil = new LinkedHashMap<>();

    /**
     * Registers an id until its request has expired; returns false where it is registered already.
     * When the table is full, the oldest entry is dropped: with deadlines of 20 s, 400 requests a
     * second fill it, and none may be rejected for that.
     */
    boolean register(String id, Instant expiry) {
        if (keptUntil.putIfAbsent(id, expiry.plus(RETENTION)) != null) {
            return false;
        }
        if (keptUntil.size() > MAX_IDS) {
            Iterator<String> oldest = keptUntil.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    /** Removes the id of a request that was sent to no node, so that it may be used again. */
    void release(String id) {
        keptUntil.remove(id);
    }

    /** Removes the ids whose time is over. */
    void removeExpired() {
        Instant now = MonotonicClock.now();
        keptUntil.values().removeIf(end -> end.isBefore(now));
    }
}
