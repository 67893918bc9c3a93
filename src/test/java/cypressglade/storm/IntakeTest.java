package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Connections at once, by how late the reading runs: a model in which a round takes so long for
 * each of them.
 */
class IntakeTest {
    private static final int LEAST = 32;
    private static final int MOST = 500;
    private static final Duration LATE = Duration.ofMillis(50);

    private final Intake intake = new Intake(LEAST, LATE);
    private int open;

    /**
     * So many looks, with as many connections as may be; the mean lateness of the last half, in ms.
     */
    private double play(int looks, double msEach) {
        double sum = 0;
        for (int i = 0; i < looks; i++) {
            double late = open * msEach;
            open = intake.look(Duration.ofNanos((long) (late * 1e6)), open, MOST);
            sum += i >= looks / 2 ? late : 0;
        }
        return sum / (looks - looks / 2);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.35, 1})
    void aStormSettlesWhereARoundIsInTimeAndNoLower(double msEach) {
        open = MOST;
        assertThat(play(400, msEach)).isBetween(LATE.toMillis() * 0.4, LATE.toMillis() * 1.15);
    }

    @Test
    void whoeverReadsInTimeIsNeverBounded() {
        open = MOST;
        play(200, 0.02);
        assertThat(open).isEqualTo(MOST);
    }

    @Test
    void itGoesNoLowerThanItsLeastAndRisesAgainOnceTheStormIsOver() {
        open = MOST;
        play(400, 20);
        assertThat(open).isEqualTo(LEAST);
        play(60, 0.02);
        assertThat(open).as("within some 1.2 s of looks").isEqualTo(MOST);
    }

    /** One pause, as of a collection of garbage, is not a storm. */
    @Test
    void onePauseBoundsNothing() {
        open = MOST;
        play(50, 0.01);
        open = intake.look(Duration.ofMillis(200), open, MOST);
        play(50, 0.01);
        assertThat(open).isEqualTo(MOST);
    }
}
