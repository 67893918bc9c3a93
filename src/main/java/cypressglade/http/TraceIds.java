package cypressglade.http;

import cypressglade.core.MonotonicClock;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that are open or whose attempts may still run. Another request under one of
 * them would be a second copy at the node, whoever sends it. Bounded, and the I/O thread's alone.
 */
final class TraceIds {
    private static final int MOST = 8192;

    /** A node may begin a request until the time that it was told is over. */
    private static final Duration KEPT = Duration.ofMillis(500);

    private final Map<String, Instant> until = new LinkedHashMap<>();

    /**
     * Notes an id until its request's time is over; false where it is known. Where there is no room
     * the oldest makes way: with deadlines of 20 s, 400 requests a second fill the table, and none
     * may be turned down for that.
     */
    boolean take(String id, Instant expiry) {
        if (until.putIfAbsent(id, expiry.plus(KEPT)) != null) {
            return false;
        }
        if (until.size() > MOST) {
            Iterator<String> oldest = until.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    /** Gives back the id of a request that went to no node. */
    void release(String id) {
        until.remove(id);
    }

    /** Drops what is over. */
    void sweep() {
        Instant now = MonotonicClock.now();
        until.values().removeIf(end -> end.isBefore(now));
    }
}
