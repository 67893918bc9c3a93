package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A cold node stays cold, however the wall clock is stepped. */
class StartTimeConverterTest {
    private static final Instant NOW = Instant.parse("2026-12-02T09:20:16Z");
    private static final Duration AGE = Duration.ofSeconds(2);

    private final StartTimeConverter starts = new StartTimeConverter();

    private Instant start(Instant told, Duration step) {
        return starts.toMonotonic("s-1", told, NOW, NOW.plus(step));
    }

    @Test
    void withoutAStepATimeIsWhatItIs() {
        assertThat(start(NOW.minus(AGE), Duration.ofMillis(3))).isEqualTo(NOW.minus(AGE));
        assertThat(start(Instant.EPOCH, Duration.ZERO)).as("long ago").isEqualTo(Instant.EPOCH);
    }

    @ParameterizedTest
    @ValueSource(ints = {3600, -3600, 5, -5})
    void aStartAfterAStepIsTakenByTheSteppedClock(int seconds) {
        Duration step = Duration.ofSeconds(seconds);
        assertThat(start(NOW.plus(step).minus(AGE), step)).isEqualTo(NOW.minus(AGE));
    }

    @ParameterizedTest
    @ValueSource(ints = {3600, -3600})
    void aStartBeforeAStepIsTakenByTheClockOfThen(int seconds) {
        assertThat(start(NOW.minus(AGE), Duration.ofSeconds(seconds))).isEqualTo(NOW.minus(AGE));
    }

    @Test
    void whatWasToldBeforeAStepKeepsItsMeaning() {
        Instant told = NOW.minus(Duration.ofSeconds(90));
        Instant first = start(told, Duration.ZERO);
        assertThat(start(told, Duration.ofHours(-1))).isEqualTo(first);
        starts.retain(Set.of());
        assertThat(start(told, Duration.ofHours(-1))).as("told anew").isEqualTo(first);
    }

    /**
     * A step that was undone before a list came was not seen: the node counts as started now, as
     * cold as can be.
     */
    @Test
    void aTimeThatIsAheadUnderAllStepsCountsAsNow() {
        assertThat(start(NOW.plusSeconds(3600), Duration.ZERO)).isEqualTo(NOW);
    }
}
