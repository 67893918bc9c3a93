package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.Request;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RefusedRequestsTest {
    private static final int CAPACITY = 100;
    private static final long SECOND = 1_000_000;

    private final RefusedRequests refused = new RefusedRequests(CAPACITY);

    private static PendingRequest request(long now, long key, long remainingUs) {
        return new PendingRequest(
                now,
                new Request(key, 0, Optional.empty(), 1, false, false, 1, key, 2, remainingUs));
    }

    /** Guards against memory that grows with the refusals of the time that clients chose. */
    @Test
    void holdsTheNewestRefusalsUpToItsCapacity() {
        for (int key = 0; key < 3 * CAPACITY; key++) {
            refused.add(key, request(0, key, 60 * SECOND));
        }
        assertThat(refused.size()).isEqualTo(CAPACITY);
        PendingRequest retryOfOldest = request(SECOND, 0, 59 * SECOND);
        assertThat(refused.originalArrival(SECOND, retryOfOldest)).isEqualTo(SECOND);
        PendingRequest retryOfNewest = request(SECOND, 3 * CAPACITY - 1, 59 * SECOND);
        assertThat(refused.originalArrival(SECOND, retryOfNewest)).isZero();
    }

    @Test
    void retryOfARetryCountsFromTheFirstArrival() {
        refused.add(0, request(0, 1, 10 * SECOND));
        PendingRequest second = request(SECOND, 1, 9 * SECOND);
        refused.originalArrival(SECOND, second);
        refused.add(SECOND, second);
        PendingRequest third = request(2 * SECOND, 1, 8 * SECOND);
        assertThat(refused.originalArrival(2 * SECOND, third)).isZero();
    }
}
