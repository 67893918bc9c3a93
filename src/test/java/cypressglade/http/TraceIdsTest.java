package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.MonotonicClock;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** The table of trace ids in use: an id is registered once, and the table is bounded. */
class TraceIdsTest {
    private final TraceIds ids = new TraceIds();
    private final Instant expiry = MonotonicClock.now().plus(Duration.ofSeconds(20));

    @Test
    void idIsRegisteredOnceUntilItIsReleased() {
        assertThat(ids.register("a", expiry)).isTrue();
        assertThat(ids.register("a", expiry)).isFalse();
        ids.release("a");
        assertThat(ids.register("a", expiry)).isTrue();
    }

    /** Guards against rejecting requests because others with long deadlines fill the table. */
    @Test
    void fullTableAcceptsNewIds() {
        for (int i = 0; i < 20_000; i++) {
            assertThat(ids.register("id" + i, expiry)).isTrue();
        }
        assertThat(ids.register("id19999", expiry)).as("the newest id is registered").isFalse();
    }
}
