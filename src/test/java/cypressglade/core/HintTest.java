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

/** What hints of other instances change in the policy, and what they must not change. */
class HintTest {
    private static final double FAST_UNIT_MICROS = 2_000;

    private static PolicyHarness instance(boolean probes) {
        PolicyHarness instance = new PolicyHarness();
        instance.mayProbe = probes;
        instance.answersProbes = false;
        return instance.start(2);
    }

    private static Hint hint(double serviceTimePerUnitUs, boolean silent, long startedUs) {
        return new Hint(100, serviceTimePerUnitUs, 0, 0.2, 0, silent, startedUs);
    }

    private static NodeView view(PolicyHarness instance) {
        return instance.policy().nodeViews(instance.now).get(0);
    }

    /** Returns how many of twenty requests in two seconds are sent, while nothing comes back. */
    private static long sentToSilent(PolicyHarness instance) {
        for (int i = 0; i < 20; i++) {
            instance.submitRead(i, 0);
            instance.advance(100);
        }
        return instance.count("send");
    }

    /** Guards against a flood of requests to a node that a stale hint calls healthy and fast. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void staleHintOfHealthSendsAtMostOneMoreThanNoHint(boolean probes) {
        PolicyHarness unhinted = instance(probes);
        PolicyHarness hinted = instance(probes);
        hinted.policy().handleHint(hinted.now, hint(FAST_UNIT_MICROS, false, 0));
        assertThat(sentToSilent(unhinted)).isPositive();
        assertThat(sentToSilent(hinted)).isLessThanOrEqualTo(unhinted.count("send") + 1);
    }

    /** Guards against the maximum in flight before the node has shown a sign of life. */
    @Test
    void unconfirmedNodeGetsAFewUnitsAndAConfirmedOneItsWholeBound() {
        PolicyHarness instance = new PolicyHarness();
        instance.instances = 1;
        instance.mayProbe = false;
        instance.start(1);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, false, 0));
        for (int i = 0; i < 12; i++) {
            instance.submitRead(i, 0);
        }
        assertThat(instance.count("send")).isEqualTo(2);
        assertThat(view(instance).unconfirmed()).isTrue();
        instance.endAttempt(0, 0, 0, Status.OK, 4);
        assertThat(instance.count("send")).isEqualTo(12);
        assertThat(view(instance).unconfirmed()).isFalse();
    }

    @Test
    void nodeReportedSilentGetsNothingUntilItsProbeComesBack() {
        PolicyHarness instance = instance(true);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, true, 0));
        instance.advance(20);
        assertThat(instance.count("probe 0")).isEqualTo(1);
        instance.submitRead(1, 0);
        instance.advance(50); // it awaits a probe first, for 30 ms
        assertThat(instance.finalAnswers(1)).isEqualTo(1);
        instance.endProbe(0, Status.OK);
        instance.submitRead(2, 0);
        assertThat(instance.count("send 2")).isEqualTo(1);
    }

    /**
     * Guards against echoes: a hint must not be reported as an own observation, a failed probe may.
     */
    @Test
    void silenceIsConfirmedOnceTheOwnProbeFailed() {
        PolicyHarness instance = instance(true);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, true, 0));
        assertThat(view(instance).unconfirmed()).isTrue();
        instance.advance(20);
        instance.endProbe(0, Status.TIMEOUT);
        assertThat(view(instance).unconfirmed()).isFalse();
        assertThat(view(instance).silent()).isTrue();
    }

    @Test
    void ownAnswersOverrideHintsWhileTheyAreFresh() {
        PolicyHarness instance = instance(false);
        instance.submitRead(1, 0);
        instance.endAttempt(1, 0, 0, Status.OK, 30);
        NodeView before = view(instance);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, true, 0));
        assertThat(view(instance)).isEqualTo(before);
        instance.advance(1100);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, false, 0));
        assertThat(view(instance).serviceTimePerUnitUs()).isEqualTo(FAST_UNIT_MICROS);
    }

    /** Guards against a cold node that is overloaded because a hint calls it fast. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void coldNodeGetsTheShareOfOneInstanceWhateverSpeedIsReported(int instances) {
        PolicyHarness instance = new PolicyHarness();
        instance.instances = instances;
        instance.mayProbe = false;
        instance.start(1);
        instance.updateNodes(
                ListKind.DELTA, PolicyHarness.entry(0, State.READY, instance.now - 1000 * MS));
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, false, 0));
        double units = 0;
        for (int i = 0; i < 200; i++) {
            instance.submitRead(i, 0);
            if (instance.count("send " + i + " ") == 1) {
                units += 2;
                instance.endAttempt(i, 0, 0, Status.OK, 4);
            }
            instance.advance(4);
        }
        double bound =
                instance.coldNodeUnits
                        * (1 + 3 * 1.8 / 10)
                        / instances; // ends 1.8 s into a ramp of 10 s, from 0.25
        assertThat(units).isPositive().isLessThanOrEqualTo(bound);
        // The instance that sent the hint may have used up this window: until it ends there is only
        // what the ramp adds.
        assertThat(units).isLessThanOrEqualTo(bound - instance.coldNodeUnits * 1.3 / instances + 2);
    }

    /** The node list may lag: the later start holds, even if this instance knows the node well. */
    @Test
    void laterStartReportedByOthersMakesAWarmNodeCold() {
        PolicyHarness instance = instance(false);
        instance.submitRead(1, 0);
        instance.endAttempt(1, 0, 0, Status.OK, 30);
        assertThat(view(instance).coldCapacityUnits()).isEqualTo(Double.MAX_VALUE);
        instance.policy()
                .handleHint(instance.now, hint(FAST_UNIT_MICROS, false, instance.now - 1000 * MS));
        assertThat(view(instance).coldCapacityUnits()).isLessThan(instance.coldNodeUnits);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, false, 0));
        assertThat(view(instance).coldCapacityUnits()).isLessThan(instance.coldNodeUnits);
    }

    @Test
    void restartUnderTheSameIdAndUnknownNodesIgnoreHints() {
        PolicyHarness instance = instance(true);
        instance.policy().handleHint(instance.now, hint(FAST_UNIT_MICROS, true, 0));
        instance.policy()
                .handleHint(instance.now, new Hint(999, FAST_UNIT_MICROS, 0, 0, 0, true, 0));
        instance.updateNodes(
                ListKind.DELTA, PolicyHarness.entry(0, State.READY, instance.now - 60_000 * MS));
        assertThat(view(instance).silent()).isFalse();
        assertThat(view(instance).unconfirmed()).isFalse();
        assertThat(instance.policy().nodeViews(instance.now)).hasSize(2);
    }
}
