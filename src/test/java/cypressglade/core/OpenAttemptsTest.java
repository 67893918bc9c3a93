package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.core.Scheduler.Effect;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.RequestRules;
import cypressglade.core.Scheduler.Scope;
import cypressglade.core.Scheduler.Status;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The owner of a request's attempts lets none begin that the rules forbid, whoever asks. */
class OpenAttemptsTest {
    private final AtomicInteger cancelled = new AtomicInteger();

    private static OpenAttempts attempts(Effect effect, boolean keepOrder, boolean mayHedge) {
        RequestClass requestClass =
                new RequestClass("c", 1, 0, 1, 1, 0, effect, Scope.ALL, 1, keepOrder, false, false);
        Plan plan = new Plan("p", 9, 9, 1, 1, 0, 0, 0);
        return new OpenAttempts(new RequestRules(requestClass, plan, 4, mayHedge, true));
    }

    private void begin(OpenAttempts attempts) {
        attempts.begin(1, number -> cancelled::incrementAndGet);
    }

    /** Guards against a second copy where the settings or the class forbid it. */
    @ParameterizedTest
    @CsvSource({
        "SAFE, false, false, 1",
        "SAFE, false, true, 2",
        "SAFE, true, true, 1",
        "KEYED, false, true, 1",
        "UNSAFE, false, true, 1"
    })
    void asManyBeginAsTheRulesAllow(
            Effect effect, boolean keepOrder, boolean mayHedge, int allowed) {
        OpenAttempts attempts = attempts(effect, keepOrder, mayHedge);
        for (int i = 0; i < allowed; i++) {
            assertThat(attempts.mayBegin()).isTrue();
            begin(attempts);
        }
        assertThat(attempts.mayBegin()).isFalse();
        assertThatThrownBy(() -> begin(attempts)).isInstanceOf(IllegalStateException.class);
        assertThat(attempts.size()).isEqualTo(allowed);
    }

    /** Guards against taking an attempt that is being closed for ended. */
    @Test
    void cancelledAttemptIsOutUntilItsEndIsReported() {
        OpenAttempts attempts = attempts(Effect.SAFE, false, false);
        begin(attempts);
        attempts.cancel(0);
        attempts.cancel(7);
        assertThat(cancelled).hasValue(1);
        assertThat(attempts.mayBegin()).isFalse();
        assertThat(attempts.end(0, Status.CANCELLED).node()).isEqualTo(1);
        assertThat(attempts.mayBegin()).isTrue();
    }
}
