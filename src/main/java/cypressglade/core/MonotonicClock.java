package cypressglade.core;

import java.time.Duration;
import java.time.Instant;

/**
 * The wall clock's time at the start of the process, advanced by {@link System#nanoTime}: it never
 * goes back, and steps of the wall clock do not move it.
 */
public final class MonotonicClock {
    private static final Instant START = Instant.now();
    private static final long START_NANOS = System.nanoTime();

    private MonotonicClock() {}

    /** The current time; comparable only with other times of this clock. */
    public static Instant now() {
        return START.plusNanos(System.nanoTime() - START_NANOS);
    }

    /** The time that is left until {@code then}, or zero where it has passed. */
    public static Duration until(Instant then) {
        Duration left = Duration.between(now(), then);
        return left.isNegative() ? Duration.ZERO : left;
    }
}
