package cypressglade.core;

import static cypressglade.core.PolicyHarness.MS;
import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.Hint;
import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What hearsay does to the module, and what it may not do. */
class HintTest {
    private static final double QUICK_US = 2_000;

    private static PolicyHarness head(boolean probes) {
        PolicyHarness head = new PolicyHarness();
        head.probes = probes;
        head.probesAnswered = false;
        return head.start(2);
    }

    private static Hint hint(double pace, boolean silent, long startedUs) {
        return new Hint(100, pace, 0, 0.2, 0, silent, startedUs);
    }

    private static NodeView view(PolicyHarness head) {
        return head.brain().nodeViews(head.now).get(0);
    }

    /** Twenty requests for the node in two seconds, of which nothing comes back. */
    private static long sentToSilent(PolicyHarness head) {
        for (int i = 0; i < 20; i++) {
            head.read(i, 0);
            head.pass(100);
        }
        return head.count("send");
    }

    /** Guards against a flood on a node of which stale word says that it is healthy and quick. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void staleWordOfHealthSendsAtMostOneMoreThanNoWord(boolean probes) {
        PolicyHarness untaught = head(probes);
        PolicyHarness taught = head(probes);
        taught.brain().handleHint(taught.now, hint(QUICK_US, false, 0));
        assertThat(sentToSilent(untaught)).isPositive();
        assertThat(sentToSilent(taught)).isLessThanOrEqualTo(untaught.count("send") + 1);
    }

    /** Guards against a window at its ceiling before anything was seen of the node. */
    @Test
    void unconfirmedNodeTakesASmallWindowAndAConfirmedOneAllOfIt() {
        PolicyHarness head = new PolicyHarness();
        head.heads = 1;
        head.probes = false;
        head.start(1);
        head.brain().handleHint(head.now, hint(QUICK_US, false, 0));
        for (int i = 0; i < 12; i++) {
            head.read(i, 0);
        }
        assertThat(head.count("send")).isEqualTo(2);
        assertThat(view(head).unconfirmed()).isTrue();
        head.end(0, 0, 0, Status.OK, 4);
        assertThat(head.count("send")).isEqualTo(12);
        assertThat(view(head).unconfirmed()).isFalse();
    }

    @Test
    void nodeSaidToBeSilentGetsNothingUntilItsProbeComesBack() {
        PolicyHarness head = head(true);
        head.brain().handleHint(head.now, hint(QUICK_US, true, 0));
        head.pass(20);
        assertThat(head.count("probe 0")).isEqualTo(1);
        head.read(1, 0);
        head.pass(50); // it asks first, for 30 ms
        assertThat(head.answers(1)).isEqualTo(1);
        head.probed(0, Status.OK);
        head.read(2, 0);
        assertThat(head.count("send 2")).isEqualTo(1);
    }

    /** Guards against an echo: what is hearsay may not be told as seen, a failed probe may. */
    @Test
    void silenceIsOwnKnowledgeOnceTheOwnProbeFailed() {
        PolicyHarness head = head(true);
        head.brain().handleHint(head.now, hint(QUICK_US, true, 0));
        assertThat(view(head).unconfirmed()).isTrue();
        head.pass(20);
        head.probed(0, Status.TIMEOUT);
        assertThat(view(head).unconfirmed()).isFalse();
        assertThat(view(head).silent()).isTrue();
    }

    @Test
    void ownAnswersBeatHearsayWhileTheyAreFresh() {
        PolicyHarness head = head(false);
        head.read(1, 0);
        head.end(1, 0, 0, Status.OK, 30);
        NodeView before = view(head);
        head.brain().handleHint(head.now, hint(QUICK_US, true, 0));
        assertThat(view(head)).isEqualTo(before);
        head.pass(1100);
        head.brain().handleHint(head.now, hint(QUICK_US, false, 0));
        assertThat(view(head).serviceTimePerUnitUs()).isEqualTo(QUICK_US);
    }

    /** Guards against a cold node that is filled because word says that it is quick. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void coldNodeTakesThePartOfOneInstanceWhateverIsSaidOfItsPace(int heads) {
        PolicyHarness head = new PolicyHarness();
        head.heads = heads;
        head.probes = false;
        head.start(1);
        head.list(ListKind.DELTA, PolicyHarness.entry(0, State.READY, head.now - 1000 * MS));
        head.brain().handleHint(head.now, hint(QUICK_US, false, 0));
        double units = 0;
        for (int i = 0; i < 200; i++) {
            head.read(i, 0);
            if (head.count("send " + i + " ") == 1) {
                units += 2;
                head.end(i, 0, 0, Status.OK, 4);
            }
            head.pass(4);
        }
        double bound =
                head.youngUnits
                        * (1 + 3 * 1.8 / 10)
                        / heads; // ends 1.8 s into a ramp of 10 s, from 0.25
        assertThat(units).isPositive().isLessThanOrEqualTo(bound);
        // Who told of the node may have spent this window: until it is over there is only what the
        // ramp adds.
        assertThat(units).isLessThanOrEqualTo(bound - head.youngUnits * 1.3 / heads + 2);
    }

    /** The list may lag: the colder word holds, though this instance knows the node well. */
    @Test
    void laterStartToldByOthersMakesAWarmNodeCold() {
        PolicyHarness head = head(false);
        head.read(1, 0);
        head.end(1, 0, 0, Status.OK, 30);
        assertThat(view(head).coldCapacityUnits()).isEqualTo(Double.MAX_VALUE);
        head.brain().handleHint(head.now, hint(QUICK_US, false, head.now - 1000 * MS));
        assertThat(view(head).coldCapacityUnits()).isLessThan(head.youngUnits);
        head.brain().handleHint(head.now, hint(QUICK_US, false, 0));
        assertThat(view(head).coldCapacityUnits()).isLessThan(head.youngUnits);
    }

    @Test
    void restartUnderTheSameIdAndUnknownNodesTakeNothingFromHearsay() {
        PolicyHarness head = head(true);
        head.brain().handleHint(head.now, hint(QUICK_US, true, 0));
        head.brain().handleHint(head.now, new Hint(999, QUICK_US, 0, 0, 0, true, 0));
        head.list(ListKind.DELTA, PolicyHarness.entry(0, State.READY, head.now - 60_000 * MS));
        assertThat(view(head).silent()).isFalse();
        assertThat(view(head).unconfirmed()).isFalse();
        assertThat(head.brain().nodeViews(head.now)).hasSize(2);
    }
}
