package cypressglade.core;

import static cypressglade.core.PolicyHarness.LIMITED;
import static cypressglade.core.PolicyHarness.PLAIN;
import static cypressglade.core.PolicyHarness.READ;
import static cypressglade.core.PolicyHarness.WRITE;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import cypressglade.core.Scheduler.ClassQueue;
import cypressglade.core.Scheduler.LoadFigures;
import cypressglade.core.Scheduler.Request;
import cypressglade.core.Scheduler.RequestRules;
import cypressglade.core.Scheduler.Status;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests keep the rules of the settings that they arrived under; volumes follow the latest. */
class RequestRulesTest {
    private final PolicyHarness instance = new PolicyHarness();

    private void reload() {
        instance.policy().applySettings(instance.settings());
    }

    private void submit(long id, RequestRules rules, long volume) {
        instance.submit(
                new Request(
                        id,
                        0,
                        Optional.of(rules),
                        instance.instances,
                        false,
                        true,
                        volume,
                        id,
                        2,
                        1500 * PolicyHarness.MS));
    }

    private void failEveryAttempt() {
        for (int attempt = 0; attempt < instance.count("send"); attempt++) {
            instance.endAttempt(1, attempt, 0, Status.ERROR, 5);
        }
    }

    /** Guards against more attempts than the settings allowed that a request arrived under. */
    @Test
    void requestKeepsItsBoundOnAttemptsWhenAReloadAllowsMore() {
        instance.maxAttempts = 2;
        instance.start(1);
        instance.submitRead(1, 0);
        instance.maxAttempts = 4;
        reload();
        failEveryAttempt();
        assertThat(instance.count("send")).isEqualTo(2);
        assertThat(instance.finalAnswers(1)).isEqualTo(1);
    }

    /** Guards against more attempts than the settings in force allow. */
    @Test
    void boundOnAttemptsThatAReloadLowersHoldsForOpenRequests() {
        instance.start(1);
        instance.submitRead(1, 0);
        instance.maxAttempts = 2;
        reload();
        failEveryAttempt();
        assertThat(instance.count("send")).isEqualTo(2);
    }

    /** Guards against a write being sent again under the rules of a class that took its place. */
    @Test
    void writeThatArrivedUnderEarlierSettingsIsNotSentAgain() {
        instance.start(1);
        RequestRules write = instance.settings().rules(WRITE, PLAIN).orElseThrow();
        instance.removedClass = "a"; // each class has another index now
        reload();
        submit(1, write, 7);
        instance.endAttempt(1, 0, 0, Status.ERROR, 5);
        assertThat(instance.log).contains("fail 1");
        assertThat(instance.count("send")).isEqualTo(1);
    }

    /** Guards against a volume going back to an earlier limit with a request that comes late. */
    @Test
    void volumeKeepsTheLatestLimitWhenARequestArrivedUnderAnEarlierOne() {
        instance.start(1);
        RequestRules before = instance.settings().rules(READ, LIMITED).orElseThrow();
        instance.limitRate = 0.001; // so that nothing comes back in the time of this test
        reload();
        for (int id = 1; id <= 40; id++) {
            submit(id, before, 9);
            instance.advance(400);
            instance.endAttempt(id, 0, 0, Status.OK, 5);
        }
        // The volume starts with its share of the slack of 8 units, and each request takes 2.
        assertThat(instance.count("send")).isEqualTo(1);
    }

    /** Guards against another figure of a node's load being taken for the length of its queue. */
    @ParameterizedTest
    @CsvSource({"0, 500, send 1 0", "500, 0, refuse 1"})
    void queueLengthIsReadByItsNameWhenAReloadMovesTheLoadFigures(
            float waiting, float latencyMillis, String order) {
        instance.answersProbes = false;
        instance.loadNames = List.of("waiting", "latency_ms");
        instance.start(1);
        instance.submitRead(1, 0);
        LoadFigures reported =
                new LoadFigures(instance.loadNames, new float[] {waiting, latencyMillis});
        instance.loadNames = List.of("latency_ms", "waiting");
        reload();
        instance.endProbe(0, Status.OK, reported);
        assertThat(instance.log).containsExactly("probe 0", order);
    }

    /** Guards against a waiting request being shown in the queue of another class. */
    @Test
    void waitingRequestIsShownUnderItsOwnClassAfterAReload() {
        instance.start(1);
        int id = 0;
        while (instance.count("send") == id) {
            instance.submit(++id, 0, WRITE, PLAIN, 2, 3000, id);
        }
        instance.removedClass = "b";
        reload();
        assertThat(instance.policy().queueView(instance.now).classes())
                .extracting(ClassQueue::className, ClassQueue::queued)
                .containsExactly(
                        tuple("a", 0), tuple("c", 0), tuple("d", 0), tuple("e", 0), tuple("b", 1));
    }
}
