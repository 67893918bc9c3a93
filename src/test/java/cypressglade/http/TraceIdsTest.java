package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.MonotonicClock;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Ids that must not be taken twice, in a bounded table. */
class TraceIdsTest {
    private final TraceIds ids = new TraceIds();
    private final Instant late = MonotonicClock.now().plus(Duration.ofSeconds(20));

    @Test
    void anOpenIdIsNotTakenTwiceAndAReleasedOneIs() {
        assertThat(ids.take("a", late)).isTrue();
        assertThat(ids.take("a", late)).isFalse();
        ids.release("a");
        assertThat(ids.take("a", late)).isTrue();
    }

    /** Guards against requests turned down since others with long deadlines fill the table. */
    @Test
    void aFullTableTurnsNobodyDown() {
        for (int i = 0; i < 20_000; i++) {
            assertThat(ids.take("id" + i, late)).isTrue();
        }
        assertThat(ids.take("id19999", late)).as("the newest are known").isFalse();
    }
}
