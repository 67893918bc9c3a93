package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.Limits;
import org.junit.jupiter.api.Test;

class FurtherAttemptBudgetTest {
    private static final long WINDOW = 1_000_000;
    private static final int REQUESTS = 100_000;

    /** Guards against memory that grows with each request while none needs another attempt. */
    @Test
    void remembersTheTimesOfOneWindow() {
        Limits limits =
                new PolicyHarness().start(1).policy().limits.withAttemptBudget(5, 0.1, WINDOW);
        FurtherAttemptBudget budget = new FurtherAttemptBudget();
        for (long i = 0; i < REQUESTS; i++) {
            budget.countRequest(i * WINDOW / 100, limits);
            budget.countFurther(i * WINDOW / 100, limits);
        }
        assertThat(budget.size()).isLessThanOrEqualTo(2 * 101);
    }
}
