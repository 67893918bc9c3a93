package cypressglade.core;

import static cypressglade.core.PolicyHarness.entry;
import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What all heads of a fleet do together: each is harmless alone, and none hears of the others. */
class FleetTest {
    private static final int NODES = 10;

    private static List<PolicyHarness> fleet(int heads, double probePrice) {
        List<PolicyHarness> fleet = new ArrayList<>();
        for (int rank = 0; rank < heads; rank++) {
            PolicyHarness head = new PolicyHarness();
            head.heads = heads;
            head.rank = rank;
            head.probePrice = probePrice;
            fleet.add(head.start(NODES));
        }
        return fleet;
    }

    /** One request of 2 units at a node, answered after so long. */
    private static void served(PolicyHarness head, long id, int shard, long latencyMs) {
        head.read(id, shard);
        head.pass(latencyMs);
        head.end(id, 0, shard, Status.OK, latencyMs);
    }

    /**
     * Guards against a probe for nearly every request, where each of many heads hears a node
     * seldom.
     */
    @ParameterizedTest
    @CsvSource({"0, 20, 20", "0.011, 20, 20", "0.08, 0, 0", "0.015, 20, 20"})
    void whatProbesCostDecidesHowOftenAHeadAsksFirst(double price, int least, int most) {
        PolicyHarness head = fleet(14, price).get(0);
        served(head, 1, 0, 40);
        head.probesAnswered = false;
        for (int id = 2; id <= 21; id++) {
            head.pass(600);
            head.read(id, 0);
            head.probed(0, Status.OK);
            head.pass(40);
            head.end(id, 0, 0, Status.OK, 40);
        }
        assertThat(head.count("send")).isEqualTo(21);
        assertThat(head.count("probe")).isBetween((long) least, (long) most);
    }

    /**
     * Guards against a silent node that spends what it has on tests: they come as often from 4 as
     * from 56.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 14, 56})
    void allHeadsTogetherTestASilentNodeAtOnePace(int heads) {
        long probes = 0;
        for (PolicyHarness head : fleet(heads, 0.08)) {
            served(head, 1, 0, 40);
            head.probesAnswered = false;
            head.read(2, 0);
            head.end(2, 0, 0, Status.CONNECT_FAILED, 1);
            long before = head.count("probe");
            for (int i = 0; i < 100; i++) {
                head.pass(100);
                head.probed(0, Status.CONNECT_FAILED);
            }
            probes += head.count("probe") - before;
        }
        assertThat(probes).as("tests of one silent node in 10 s").isBetween(100L, 16L * 10 + heads);
    }

    /** Nodes hold few connections, and each request that is out has one of its own. */
    @ParameterizedTest
    @CsvSource({"1, 28", "4, 28", "14, 28", "200, 200"})
    void allHeadsTogetherHoldFewConnectionsToANode(int heads, int most) {
        long out = 0;
        for (PolicyHarness head : fleet(heads, 0)) {
            for (int id = 1; id <= 40; id++) { // background, too
                head.ask(
                        id,
                        0,
                        id % 2 == 0 ? PolicyHarness.READ : PolicyHarness.BULK,
                        PolicyHarness.PLAIN,
                        1,
                        6000,
                        id);
            }
            head.pass(20);
            out += head.count("send");
        }
        assertThat(out).as("requests out at one node").isBetween(1L, (long) most);
    }

    /**
     * The figure that any node bears is a tenth of what these bear: all heads use what they have
     * seen nodes do, and stay under six tenths of what a node falls over at, in each window of the
     * rule.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 14})
    void aColdNodeGetsAPartOfWhatNodesWereSeenToDo(int heads) {
        List<PolicyHarness> fleet = fleet(heads, 0.08);
        for (PolicyHarness head : fleet) {
            for (int id = 1; id <= 40; id++) {
                served(head, id, 1 + id % (NODES - 1), 40);
            }
            head.youngUnits = 4;
        }
        double[] sums = new double[40]; // by 300 ms, a tenth of the window
        for (PolicyHarness head : fleet) {
            head.brain().applySettings(head.settings());
            head.list(ListKind.DELTA, entry(0, State.READY, head.now));
            long before = 0;
            for (int i = 0; i < sums.length; i++) {
                for (int k = 0; k < 28 / heads; k++) {
                    long id = 1000 + i * 28 + k;
                    head.read(id, 0);
                    if (head.log.contains("send " + id + " 0")) {
                        head.pass(1);
                        head.end(id, 0, 0, Status.OK, (long) (40 / (0.25 + 0.75 * 0.3 * i / 10)));
                    }
                }
                head.pass(300 - 28 / heads);
                sums[i] += 2.0 * (head.count("send") - before);
                before = head.count("send");
            }
            sums[0] -= 2.0 * 40;
        }
        double window = 0;
        for (int i = 0; i < sums.length; i++) {
            window += sums[i] - (i >= 10 ? sums[i - 10] : 0);
            double warmth = 1 + 3 * Math.min(1, 0.3 * (i + 1) / 10);
            double fallsOverAt = 3 * 3 * 4.6 / 0.040 * 0.25 * warmth;
            assertThat(window)
                    .as("units in the 3 s up to " + 0.3 * (i + 1) + " s")
                    .isLessThan(0.6 * fallsOverAt);
        }
        assertThat(window).as("a node that warms up is used").isGreaterThan(4 * 3);
    }
}
