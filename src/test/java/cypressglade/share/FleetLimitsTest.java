package cypressglade.share;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.lab.Faults;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Five processes of the program that share limits and verdicts, with network faults. */
class FleetLimitsTest {
    private static final Set<Integer> ALL = Set.of(0, 1, 2, 3, 4);

    /**
     * Milliseconds a unit at the cold node: what the scheduling policy assumes of a node of which
     * it knows nothing.
     */
    private static final double COLD_MS = 30;

    private static final Duration COLD_LIMIT_SPAN = Duration.ofSeconds(1);

    @TempDir private Path directory;
    private LimitRig rig;

    @BeforeEach
    void start() throws Exception {
        rig = new LimitRig(directory, COLD_MS);
        assertThat(rig.awaitAgreement(5, 0, 1, 2, 3, 4)).isTrue();
    }

    @AfterEach
    void stop() throws Exception {
        rig.close();
    }

    /** Two members on the side of three have heavy demand, and one on the side of two. */
    @Test
    void bothSidesOfASplitTogetherStayWithinTheLimitOfABusyVolume() throws Exception {
        rig.startClients(1, 8, LimitRig.VOLUME, "basic", 0);
        rig.startClients(3, 8, LimitRig.VOLUME, "basic", 0);
        rig.startClients(4, 8, LimitRig.VOLUME, "basic", 0);
        rig.fleet.pass(Duration.ofSeconds(4));
        long cut = System.nanoTime();
        rig.fleet.act("0s cut 0,1 2,3,4");
        assertThat(rig.awaitAgreement(3, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        assertThat(rig.agreed(0)).as("two of five are no majority").isZero();
        rig.fleet.pass(Duration.ofSeconds(3));
        assertThat(rig.usedFraction(cut)).as("the larger side continues").isGreaterThan(0.25);
        rig.fleet.hub().change(Faults::mend);
        assertThat(rig.awaitAgreement(5, 0, 1, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        long healed = System.nanoTime();
        rig.fleet.pass(Duration.ofSeconds(3));
        assertThat(rig.usedFraction(healed)).isGreaterThan(0.5);
        assertThat(rig.refused()).as("demand was above the limit").isPositive();
        assertThat(rig.overshoot()).isLessThanOrEqualTo(LimitRig.SLACK_UNITS);
    }

    /**
     * All members have demand for the cold node; one that holds a share of its capacity is killed
     * and restarted.
     */
    @Test
    void killedMemberWithAShareOfAColdNodeDoesNotCauseOverload() throws Exception {
        for (int member : ALL) {
            rig.startClients(member, 4, LimitRig.OTHER_VOLUME, "standard", 1);
        }
        rig.fleet.pass(Duration.ofSeconds(2));
        long killed = rig.fleet.kill(2);
        assertThat(rig.awaitAgreement(4, 0, 1, 3, 4)).as(rig.fleet.text()).isTrue();
        rig.fleet.start(2);
        assertThat(rig.awaitAgreement(5, 0, 1, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        assertThat(rig.fleet.since(killed)).isNotEmpty();
        assertThat(rig.cold.arrivals).isNotEmpty();
        // The node fails at twice what its two lanes process in the time that the settings name.
        assertThat(rig.maxColdUnits(COLD_LIMIT_SPAN))
                .isLessThanOrEqualTo(2 * 2 * COLD_LIMIT_SPAN.toMillis() / COLD_MS);
    }

    /**
     * A restarted member begins with only its share of the slack in its token bucket, and reports
     * no window that it may have reported before.
     */
    @Test
    void restartsUnderLoadCountNoWindowTwice() throws Exception {
        rig.startClients(1, 16, LimitRig.VOLUME, "basic", 0);
        rig.fleet.pass(Duration.ofSeconds(3));
        for (int i = 0; i < 2; i++) {
            rig.fleet.kill(1);
            rig.fleet.start(1);
        }
        assertThat(rig.awaitAgreement(5, 0, 1, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        rig.fleet.pass(Duration.ofSeconds(3));
        assertThat(rig.overshoot()).isLessThanOrEqualTo(LimitRig.SLACK_UNITS);
    }

    @Test
    void verdictIssuedDuringAOneWayCutReachesAllAndSurvivesARestart() throws Exception {
        rig.fleet.act("0s cut-one-way 1 0,2,3,4"); // nobody receives from member 1
        assertThat(rig.fleet.call(1, "exclude s-1")).startsWith("200");
        assertThat(rig.fleet.call(1, "evacuate")).startsWith("200");
        assertThat(rig.holdsVerdict(1, "node s-1", "exclude")).isTrue();
        rig.fleet.hub().change(Faults::mend);
        assertThat(rig.awaitVerdict(ALL, "node s-1", "exclude")).isTrue();
        assertThat(rig.awaitVerdict(ALL, "member m-1", "evacuate")).isTrue();
        rig.fleet.kill(3);
        rig.fleet.start(3);
        assertThat(rig.awaitVerdict(Set.of(3), "node s-1", "exclude"))
                .as("kept, or received again")
                .isTrue();
        assertThat(rig.fleet.call(4, "include s-1")).startsWith("200");
        assertThat(rig.awaitVerdict(ALL, "node s-1", "include")).isTrue();
        assertThat(rig.fleet.call(0, "exclude s-9"))
                .as("unknown, and sent to nobody")
                .startsWith("400");
        assertThat(rig.fleet.view(2).path("verdicts")).hasSize(2);
    }
}
