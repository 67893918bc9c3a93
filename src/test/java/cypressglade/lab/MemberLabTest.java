package cypressglade.lab;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.fleet.Bounds;
import cypressglade.member.SwimSettings;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The model of the fleet keeps the bounds, at sizes and over seeds that processes cannot be had
 * for.
 */
class MemberLabTest {
    private static final SwimSettings TIMING = SwimSettings.withPeriod(Duration.ofMillis(200));
    private final MemberLab lab = new MemberLab(TIMING);

    @ParameterizedTest
    @CsvSource({"2, 20", "5, 20", "9, 20", "100, 2"})
    void crashSplitAndHealKeepTheirBounds(int size, int seeds) {
        Bounds bounds = new Bounds(TIMING, size);
        int side = Math.max(1, size * 2 / 5);
        for (long seed = 1; seed <= seeds; seed++) {
            MemberLab.Result crash = lab.crash(size, seed, 0);
            assertThat(crash.millis())
                    .as("crash " + seed)
                    .isBetween(0L, bounds.detectionTime().toMillis());
            MemberLab.Result split = lab.split(size, side, seed);
            assertThat(split.millis())
                    .as("split " + seed)
                    .isBetween(0L, bounds.splitDetectionTime(side).toMillis());
            MemberLab.Result heal = lab.heal(size, side, Duration.ofSeconds(10), seed);
            assertThat(heal.millis())
                    .as("heal " + seed)
                    .isBetween(0L, bounds.healTime().toMillis());
            assertThat(crash.falseDead() + split.falseDead() + heal.falseDead())
                    .as("false " + seed)
                    .isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"5, 20", "9, 20", "100, 1"})
    void lossAndAMemberThatStandsStillKillNobodyAndCostTheSame(int size, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            MemberLab.Result lossy =
                    lab.loss(size, 0.1, Duration.ofSeconds(60), Duration.ofMillis(400), seed);
            assertThat(lossy.falseDead()).as("seed " + seed).isZero();
            assertThat(lossy.perMemberPeriod())
                    .isBetween(2.0, new Bounds(TIMING, size).messagesPerPeriod(0.1, 0.05));
        }
    }
}
