package cypressglade.core;

import java.time.Duration;
import java.time.Instant;

/** The time of day as it was at the start, carried on by the clock that never goes back. */
public final class MonotonicClock {
    private static final Instant START = Instant.now();
    private static final long START_TICK = System.nanoTime();

    private MonotonicClock() {}

    public static Instant now() {
        return START.plusNanos(System.nanoTime() - START_TICK);
    }

    /** What is left until then, or nothing where it has passed. */
    public static Duration until(Instant then) {
        Duration left = Duration.between(now(), then);
        return left.isNegative() ? Duration.ZERO : left;
    }
}
