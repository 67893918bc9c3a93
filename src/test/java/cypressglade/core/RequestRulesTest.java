package cypressglade.core;

import static cypressglade.core.PolicyHarness.PLAIN;
import static cypressglade.core.PolicyHarness.WRITE;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import cypressglade.core.Scheduler.ClassQueue;
import org.junit.jupiter.api.Test;

/** Requests keep the rules of the settings that they arrived under; volumes follow the latest. */
class RequestRulesTest {
    private final PolicyHarness instance = new PolicyHarness();

    private void reload() {
        instance.policy().applySettings(instance.settings());
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
