package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The limit on connections follows the lateness of reads, in a model in which a round of reads
 * takes a fixed time for each connection.
 */
class ConnectionLimiterTest {
    private static final int MIN_CONNECTIONS = 32;
    private static final int MAX_CONNECTIONS = 500;
    private static final Duration MAX_LATENESS = Duration.ofMillis(50);

    private final ConnectionLimiter limiter = new ConnectionLimiter(MIN_CONNECTIONS, MAX_LATENESS);
    private int open;

    /**
     * Runs the model with as many connections as the limit allows; returns the mean lateness of the
     * second half of the updates, in ms.
     */
    private double run(int updates, double millisPerConnection) {
        double sum = 0;
        for (int i = 0; i < updates; i++) {
            double lateness = open * millisPerConnection;
            open = limiter.update(Duration.ofNanos((long) (lateness * 1e6)), open, MAX_CONNECTIONS);
            sum += i >= updates / 2 ? lateness : 0;
        }
        return sum / (updates - updates / 2);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.35, 1})
    void overloadSettlesNearTheMaximumLateness(double millisPerConnection) {
        open = MAX_CONNECTIONS;
        assertThat(run(400, millisPerConnection))
                .isBetween(MAX_LATENESS.toMillis() * 0.4, MAX_LATENESS.toMillis() * 1.15);
    }

    @Test
    void timelyReadsAreNotLimited() {
        open = MAX_CONNECTIONS;
        run(200, 0.02);
        assertThat(open).isEqualTo(MAX_CONNECTIONS);
    }

    @Test
    void limitStopsAtTheMinimumAndRisesAgainAfterOverload() {
        open = MAX_CONNECTIONS;
        run(400, 20);
        assertThat(open).isEqualTo(MIN_CONNECTIONS);
        run(60, 0.02);
        assertThat(open).as("after some 1.2 s of updates").isEqualTo(MAX_CONNECTIONS);
    }

    /** A single pause, as for a garbage collection, is not an overload. */
    @Test
    void singlePauseDoesNotLimit() {
        open = MAX_CONNECTIONS;
        run(50, 0.01);
        open = limiter.update(Duration.ofMillis(200), open, MAX_CONNECTIONS);
        run(50, 0.01);
        assertThat(open).isEqualTo(MAX_CONNECTIONS);
    }
}
