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

/** What all instances do together: each is harmless alone, and none knows of the others. */
class FleetTest {
    private static final int NODES = 10;

    private static List<PolicyHarness> fleet(int instances, double probeCost) {
        List<PolicyHarness> fleet = new ArrayList<>();
        for (int rank = 0; rank < instances; rank++) {
            PolicyHarness instance = new PolicyHarness();
            instance.instances = instances;
            instance.rank = rank;
            instance.probeCost = probeCost;
            fleet.add(instance.start(NODES));
        }
        return fleet;
    }

    /** Sends one request of 2 units to a node, which answers after the given time. */
    private static void served(PolicyHarness instance, long id, int shard, long latencyMs) {
        instance.submitRead(id, shard);
        instance.advance(latencyMs);
        instance.endAttempt(id, 0, shard, Status.OK, latencyMs);
    }

    /**
     * Guards against a probe for nearly every request, as one of many instances seldom hears a
     * node.
     */
    @ParameterizedTest
    @CsvSource({"0, 20, 20", "0.011, 20, 20", "0.08, 0, 0", "0.015, 20, 20"})
    void probeCostDecidesHowOftenAnInstanceProbesFirst(double probeCost, int min, int max) {
        PolicyHarness instance = fleet(14, probeCost).get(0);
        served(instance, 1, 0, 40);
        instance.answersProbes = false;
        for (int id = 2; id <= 21; id++) {
            instance.advance(600);
            instance.submitRead(id, 0);
            instance.endProbe(0, Status.OK);
            instance.advance(40);
            instance.endAttempt(id, 0, 0, Status.OK, 40);
        }
        assertThat(instance.count("send")).isEqualTo(21);
        assertThat(instance.count("probe")).isBetween((long) min, (long) max);
    }

    /**
     * Guards against a silent node that spends its capacity on probes: 4 instances send as many as
     * 56.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 14, 56})
    void allInstancesTogetherProbeASilentNodeAtOneRate(int instances) {
        long probes = 0;
        for (PolicyHarness instance : fleet(instances, 0.08)) {
            served(instance, 1, 0, 40);
            instance.answersProbes = false;
            instance.submitRead(2, 0);
            instance.endAttempt(2, 0, 0, Status.CONNECT_FAILED, 1);
            long before = instance.count("probe");
            for (int i = 0; i < 100; i++) {
                instance.advance(100);
                instance.endProbe(0, Status.CONNECT_FAILED);
            }
            probes += instance.count("probe") - before;
        }
        assertThat(probes)
                .as("probes of one silent node in 10 s")
                .isBetween(100L, 16L * 10 + instances);
    }

    /** Nodes accept few connections, and each request in flight has one of its own. */
    @ParameterizedTest
    @CsvSource({"1, 28", "4, 28", "14, 28", "200, 200"})
    void allInstancesTogetherHoldFewConnectionsToANode(int instances, int max) {
        long sent = 0;
        for (PolicyHarness instance : fleet(instances, 0)) {
            for (int id = 1; id <= 40; id++) { // background, too
                instance.submit(
                        id,
                        0,
                        id % 2 == 0 ? PolicyHarness.READ : PolicyHarness.BULK,
                        PolicyHarness.PLAIN,
                        1,
                        6000,
                        id);
            }
            instance.advance(20);
            sent += instance.count("send");
        }
        assertThat(sent).as("requests in flight at one node").isBetween(1L, (long) max);
    }

    /**
     * The units that any node bears by the settings are a tenth of what these bear. All instances
     * together use the speed that they have seen, and stay below six tenths of the overload of a
     * cold node in each overload window.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 14})
    void coldNodeGetsAPartOfTheSpeedThatNodesWereSeenToHave(int instances) {
        List<PolicyHarness> fleet = fleet(instances, 0.08);
        for (PolicyHarness instance : fleet) {
            for (int id = 1; id <= 40; id++) {
                served(instance, id, 1 + id % (NODES - 1), 40);
            }
            instance.coldNodeUnits = 4;
        }
        double[] sums = new double[40]; // by 300 ms, a tenth of the window
        for (PolicyHarness instance : fleet) {
            instance.policy().applySettings(instance.settings());
            instance.updateNodes(ListKind.DELTA, entry(0, State.READY, instance.now));
            long before = 0;
            for (int i = 0; i < sums.length; i++) {
                for (int k = 0; k < 28 / instances; k++) {
                    long id = 1000 + i * 28 + k;
                    instance.submitRead(id, 0);
                    if (instance.log.contains("send " + id + " 0")) {
                        instance.advance(1);
                        instance.endAttempt(
                                id, 0, 0, Status.OK, (long) (40 / (0.25 + 0.75 * 0.3 * i / 10)));
                    }
                }
                instance.advance(300 - 28 / instances);
                sums[i] += 2.0 * (instance.count("send") - before);
                before = instance.count("send");
            }
            sums[0] -= 2.0 * 40;
        }
        double window = 0;
        for (int i = 0; i < sums.length; i++) {
            window += sums[i] - (i >= 10 ? sums[i - 10] : 0);
            double warmth = 1 + 3 * Math.min(1, 0.3 * (i + 1) / 10);
            double overloadUnits = 3 * 3 * 4.6 / 0.040 * 0.25 * warmth;
            assertThat(window)
                    .as("units in the 3 s up to " + 0.3 * (i + 1) + " s")
                    .isLessThan(0.6 * overloadUnits);
        }
        assertThat(window).as("a node that warms up gets requests").isGreaterThan(4 * 3);
    }
}
