package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node that started recently must count as cold, however the wall clock is stepped. */
class StartTimeConverterTest {
    private static final Instant NOW = Instant.parse("2026-12-02T09:20:16Z");
    private static final Duration AGE = Duration.ofSeconds(2);

    private final StartTimeConverter converter = new StartTimeConverter();

    private Instant start(Instant reported, Duration step) {
        return converter.toMonotonic("s-1", reported, NOW, NOW.plus(step));
    }

    @Test
    void withoutAStepTheReportedTimeIsKept() {
        assertThat(start(NOW.minus(AGE), Duration.ofMillis(3))).isEqualTo(NOW.minus(AGE));
        assertThat(start(Instant.EPOCH, Duration.ZERO)).as("long ago").isEqualTo(Instant.EPOCH);
    }

    @ParameterizedTest
    @ValueSource(ints = {3600, -3600, 5, -5})
    void startAfterAStepIsConvertedByTheSteppedClock(int seconds) {
        Duration step = Duration.ofSeconds(seconds);
        assertThat(start(NOW.plus(step).minus(AGE), step)).isEqualTo(NOW.minus(AGE));
    }

    @ParameterizedTest
    @ValueSource(ints = {3600, -3600})
    void startBeforeAStepIsConvertedByTheClockOfThatTime(int seconds) {
        assertThat(start(NOW.minus(AGE), Duration.ofSeconds(seconds))).isEqualTo(NOW.minus(AGE));
    }

    @Test
    void timeReportedBeforeAStepKeepsItsConversion() {
        Instant reported = NOW.minus(Duration.ofSeconds(90));
        Instant first = start(reported, Duration.ZERO);
        assertThat(start(reported, Duration.ofHours(-1))).isEqualTo(first);
        converter.retain(Set.of());
        assertThat(start(reported, Duration.ofHours(-1))).as("reported again").isEqualTo(first);
    }

    /**
     * A step that was undone before the next list is not seen; the node then counts as started now,
     * which is as cold as a node can be.
     */
    @Test
    void timeInTheFutureUnderAllStepsCountsAsNow() {
        assertThat(start(NOW.plusSeconds(3600), Duration.ZERO)).isEqualTo(NOW);
    }
}
