package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The one place where times become the module's microsecond numbers and back. */
public final class Micros {
    private Micros() {}

    public static long of(Instant time) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, time);
    }

    public static long of(Duration span) {
        return span.toNanos() / 1000;
    }

    public static Duration toDuration(long micros) {
        return Duration.of(micros, ChronoUnit.MICROS);
    }
}
