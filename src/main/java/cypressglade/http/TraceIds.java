package cypressglade.http;

import cypressglade.core.Time;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The ids of requests that are open or whose attempts may still run. Another request under one of them would
 * be a second copy at the node, whoever sends it. Bounded, and the I/O thread's alone.
 */
final class TraceIds {
    private static final int MOST = 8192;
    /** A node may begin a request until the time that it was told is over. */
    private static final Duration KEPT = Duration.ofMillis(500);

    private final Map<String, Instant> until = new HashMap<>();

    /** Notes an id until its request's time is over; false where it is known, or there is no room for it. */
    boolean take(String id, Instant expiry) {
        return until.size() < MOST && until.putIfAbsent(id, expiry.plus(KEPT)) == null;
    }

    /** Drops what is over. */
    void sweep() {
        Instant now = Time.now();
        until.values().removeIf(end -> end.isBefore(now));
    }
}
