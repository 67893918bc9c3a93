package cypressglade.lab;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.lab.StormLab.Habit;
import cypressglade.lab.StormLab.Outage;
import cypressglade.lab.StormLab.Result;
import cypressglade.lab.StormLab.Scene;
import cypressglade.storm.StormSettings;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Outages in virtual time: one node, a fifth, all; one that dies again; one that moves on. */
class StormLabTest {
    private static final Duration SPAN = Duration.ofSeconds(60);
    private static final List<Habit> MIXED =
            List.of(Habit.HEEDS, Habit.AT_ONCE, Habit.FIXED, Habit.EXPONENTIAL);

    private static Outage outage(int from, int to, int begin, int end) {
        return new Outage(from, to, Duration.ofSeconds(begin), Duration.ofSeconds(end));
    }

    private static Result play(List<Outage> outages, boolean damped) {
        return new StormLab(
                        new Scene(
                                4,
                                20,
                                2000,
                                20,
                                0.6,
                                MIXED,
                                outages,
                                SPAN,
                                damped ? Optional.of(StormSettings.DEFAULTS) : Optional.empty(),
                                7))
                .play();
    }

    @ParameterizedTest
    @CsvSource({"1", "4", "20"})
    void whatIsServedComesBackAfterAnOutage(int away) {
        Result damped = play(List.of(outage(0, away, 10, 15)), true);
        assertThat(damped.recoveryS()).isBetween(0.0, 30.0);
    }

    @Test
    void aNodeThatDiesAgainWhileItRecovers() {
        assertThat(play(List.of(outage(0, 4, 10, 15), outage(0, 4, 17, 22)), true).recoveryS())
                .isBetween(0.0, 30.0);
    }

    @Test
    void aStormThatMovesFromNodeToNode() {
        assertThat(
                        play(
                                        List.of(
                                                outage(0, 5, 10, 14),
                                                outage(5, 10, 14, 18),
                                                outage(10, 15, 18, 22)),
                                        true)
                                .recoveryS())
                .isBetween(0.0, 30.0);
    }

    @Test
    void whoHeedsIsServedNoWorseThanWhoIsDeaf() {
        Result damped = play(List.of(outage(0, 20, 10, 15)), true);
        assertThat(damped.served().get(Habit.HEEDS))
                .isGreaterThan(damped.served().get(Habit.AT_ONCE));
        assertThat(damped.turned()).isPositive();
    }

    @Test
    void theSameSeedPlaysTheSame() {
        List<Outage> some = List.of(outage(0, 4, 10, 15));
        Result one = play(some, true);
        Result other = play(some, true);
        assertThat(other.tries()).isEqualTo(one.tries());
        assertThat(other.served()).isEqualTo(one.served());
    }
}
