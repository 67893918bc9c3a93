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

/** Five processes of the program that share limits and verdicts, with faults between them. */
class FleetLimitsTest {
    private static final Set<Integer> ALL = Set.of(0, 1, 2, 3, 4);

    /**
     * A cold node's unit takes so long: as the module takes one to take that it knows nothing of.
     */
    private static final double COLD_MS = 30;

    private static final Duration FALL = Duration.ofSeconds(1);

    @TempDir private Path folder;
    private LimitRig rig;

    @BeforeEach
    void start() throws Exception {
        rig = new LimitRig(folder, COLD_MS);
        assertThat(rig.agree(5, 0, 1, 2, 3, 4)).isTrue();
    }

    @AfterEach
    void stop() throws Exception {
        rig.close();
    }

    /** The surge is at two of the side of three, and one of the side of two. */
    @Test
    void aSplitDuringASurgeOnOneVolumeStaysWithinTheLimitOnBothSidesTogether() throws Exception {
        rig.surge(1, 8, LimitRig.VOLUME, "basic", 0);
        rig.surge(3, 8, LimitRig.VOLUME, "basic", 0);
        rig.surge(4, 8, LimitRig.VOLUME, "basic", 0);
        rig.fleet.pass(Duration.ofSeconds(4));
        long cut = System.nanoTime();
        rig.fleet.act("0s cut 0,1 2,3,4");
        assertThat(rig.agree(3, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        assertThat(rig.agreed(0)).as("two of five agree on nothing").isZero();
        rig.fleet.pass(Duration.ofSeconds(3));
        assertThat(rig.used(cut)).as("the larger side goes on").isGreaterThan(0.25);
        rig.fleet.hub().change(Faults::mend);
        assertThat(rig.agree(5, 0, 1, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        long healed = System.nanoTime();
        rig.fleet.pass(Duration.ofSeconds(3));
        assertThat(rig.used(healed)).isGreaterThan(0.5);
        assertThat(rig.refused()).as("more was asked for than the limit").isPositive();
        assertThat(rig.overshoot()).isLessThanOrEqualTo(LimitRig.SLACK);
    }

    /**
     * All press on the cold node; one that holds a part of what it bears is killed and comes back.
     */
    @Test
    void aMemberThatIsKilledWithAPartOfALeaseTakesNoMoreWithIt() throws Exception {
        for (int member : ALL) {
            rig.surge(member, 4, LimitRig.OTHER, "standard", 1);
        }
        rig.fleet.pass(Duration.ofSeconds(2));
        long killed = rig.fleet.kill(2);
        assertThat(rig.agree(4, 0, 1, 3, 4)).as(rig.fleet.text()).isTrue();
        rig.fleet.start(2);
        assertThat(rig.agree(5, 0, 1, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        assertThat(rig.fleet.since(killed)).isNotEmpty();
        assertThat(rig.cold.arrivals).isNotEmpty();
        // Falls over at twice what its two lanes do in the time that the settings name.
        assertThat(rig.mostCold(FALL)).isLessThanOrEqualTo(2 * 2 * FALL.toMillis() / COLD_MS);
    }

    /**
     * A restart has a store of its own part of the slack, and reports no window of its former life.
     */
    @Test
    void aRestartInTheSurgeCountsNoWindowTwice() throws Exception {
        rig.surge(1, 16, LimitRig.VOLUME, "basic", 0);
        rig.fleet.pass(Duration.ofSeconds(3));
        for (int i = 0; i < 2; i++) {
            rig.fleet.kill(1);
            rig.fleet.start(1);
        }
        assertThat(rig.agree(5, 0, 1, 2, 3, 4)).as(rig.fleet.text()).isTrue();
        rig.fleet.pass(Duration.ofSeconds(3));
        assertThat(rig.overshoot()).isLessThanOrEqualTo(LimitRig.SLACK);
    }

    @Test
    void aVerdictGivenDuringAOneWayCutIsSeenEverywhereAndOutlivesARestart() throws Exception {
        rig.fleet.act("0s cut-one-way 1 0,2,3,4"); // nobody hears member 1
        assertThat(rig.fleet.call(1, "exclude s-1")).startsWith("200");
        assertThat(rig.fleet.call(1, "evacuate")).startsWith("200");
        assertThat(rig.holds(1, "node s-1", "exclude")).isTrue();
        rig.fleet.hub().change(Faults::mend);
        assertThat(rig.allHold(ALL, "node s-1", "exclude")).isTrue();
        assertThat(rig.allHold(ALL, "member m-1", "evacuate")).isTrue();
        rig.fleet.kill(3);
        rig.fleet.start(3);
        assertThat(rig.allHold(Set.of(3), "node s-1", "exclude"))
                .as("kept, or told again")
                .isTrue();
        assertThat(rig.fleet.call(4, "include s-1")).startsWith("200");
        assertThat(rig.allHold(ALL, "node s-1", "include")).isTrue();
        assertThat(rig.fleet.call(0, "exclude s-9"))
                .as("unknown, and told to nobody")
                .startsWith("400");
        assertThat(rig.fleet.view(2).path("verdicts")).hasSize(2);
    }
}
