package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Converts times and durations to the scheduling policy's microsecond numbers and back. */
public final class Micros {
    private Micros() {}

    /** Microseconds since the epoch. */
    public static long of(Instant time) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, time);
    }

    /** The length in microseconds, rounded down. */
    public static long of(Duration span) {
        return span.toNanos() / 1000;
    }

    /** The duration of so many microseconds. */
    public static Duration toDuration(long micros) {
        return Duration.of(micros, ChronoUnit.MICROS);
    }
}
