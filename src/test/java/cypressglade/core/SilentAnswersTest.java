package cypressglade.core;

import static cypressglade.core.PolicyHarness.KEYED;
import static cypressglade.core.PolicyHarness.ORDERED;
import static cypressglade.core.PolicyHarness.PLAIN;
import static cypressglade.core.PolicyHarness.READ;
import static cypressglade.core.PolicyHarness.WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.Status;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the policy does with attempts whose answer has begun and is silent. */
class SilentAnswersTest {
    private static final long LEFT_MS = 1400;

    /** A moment at which a fresh attempt is still well in time. */
    private static final long EARLY_MS = 900;

    private final PolicyHarness instance = new PolicyHarness();

    @BeforeEach
    void learnTheNodesSpeed() {
        instance.mayHedge = false;
    }

    private void start() {
        instance.start(1);
        for (int id = 100; id < 112; id++) {
            instance.submitRead(id, 0);
            instance.advance(20);
            instance.endAttempt(id, 0, 0, Status.OK, 20);
        }
        instance.log.clear();
    }

    private void submitAndFallSilent(int type) {
        instance.submit(1, 0, type, PLAIN, 2, LEFT_MS, 1);
        instance.reportSilence(1, 0, true);
    }

    /** Guards against an attempt beside another where the settings do not allow it. */
    @Test
    void silentAttemptIsAloneWithoutThePermissionToHedge() {
        start();
        submitAndFallSilent(READ);
        instance.advance(EARLY_MS);
        assertThat(instance.log).containsExactly("send 1 0");
    }

    /** Guards against waiting for an answer that never ends until no other can be had. */
    @Test
    void silentAttemptIsGivenUpOnceAndInTimeForAnother() {
        start();
        submitAndFallSilent(READ);
        instance.advance(LEFT_MS - 100);
        assertThat(instance.log).containsExactly("send 1 0", "cancel 1");
        instance.endAttempt(1, 0, 0, Status.CANCELLED, LEFT_MS);
        assertThat(instance.log).containsExactly("send 1 0", "cancel 1", "send 1 0");
    }

    /** Guards against cutting off an answer that goes on after its pause. */
    @Test
    void answerThatGoesOnIsNotGivenUp() {
        start();
        submitAndFallSilent(READ);
        instance.advance(EARLY_MS);
        instance.reportSilence(1, 0, false);
        instance.advance(LEFT_MS - EARLY_MS - 100);
        assertThat(instance.log).containsExactly("send 1 0");
    }

    /** Guards against closing an attempt where the settings do not allow it. */
    @Test
    void silentAttemptIsKeptWithoutThePermissionToCancel() {
        instance.mayCancel = false;
        start();
        submitAndFallSilent(READ);
        instance.advance(LEFT_MS - 10);
        assertThat(instance.log).containsExactly("send 1 0");
    }

    /** Guards against giving up what may not be sent again. */
    @Test
    void silentWriteIsNeitherHedgedNorGivenUp() {
        instance.mayHedge = true;
        start();
        submitAndFallSilent(WRITE);
        instance.advance(LEFT_MS - 10);
        assertThat(instance.log).containsExactly("send 1 0");
    }

    /** Guards against two copies of what only a key keeps from running twice. */
    @ParameterizedTest
    @ValueSource(ints = {KEYED, ORDERED})
    void silentAttemptOfAKeyedClassIsNotHedged(int type) {
        instance.mayHedge = true;
        start();
        submitAndFallSilent(type);
        instance.advance(EARLY_MS);
        assertThat(instance.log).containsExactly("send 1 0");
    }

    /** Guards against more than two attempts at once, and against a third after the answer. */
    @Test
    void silentReadIsHedgedOnceWhereTheSettingsAllowIt() {
        instance.mayHedge = true;
        start();
        submitAndFallSilent(READ);
        instance.advance(EARLY_MS);
        assertThat(instance.log).containsExactly("send 1 0", "send 1 0");
        instance.endAttempt(1, 1, 0, Status.OK, 20);
        instance.advance(LEFT_MS);
        instance.endAttempt(1, 0, 0, Status.CANCELLED, 20);
        assertThat(instance.log).containsExactly("send 1 0", "send 1 0");
    }

    /** Guards against an answer of the policy while an attempt may still bring one. */
    @Test
    void failedHedgeLeavesTheRequestToTheAttemptThatIsOut() {
        instance.mayHedge = true;
        instance.maxAttempts = 2;
        start();
        submitAndFallSilent(READ);
        instance.advance(EARLY_MS);
        instance.endAttempt(1, 1, 0, Status.ERROR, 20);
        assertThat(instance.finalAnswers(1)).isZero();
        instance.endAttempt(1, 0, 0, Status.ERROR, EARLY_MS);
        assertThat(instance.finalAnswers(1)).isEqualTo(1);
    }
}
