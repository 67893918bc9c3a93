package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TrackedVolumesTest {
    private static final int CAPACITY = 20;
    private static final long SECOND = 1_000_000;

    private final PolicyHarness harness = new PolicyHarness().start(1);
    private final TrackedVolumes volumes = new TrackedVolumes(harness.policy(), CAPACITY);

    private TrackedVolume of(long now, long volume) {
        return volumes.of(now, request(volume), plan());
    }

    private static Scheduler.Request request(long volume) {
        return new Scheduler.Request(
                volume, 0, java.util.Optional.empty(), 1, false, false, volume, 1, 2, SECOND);
    }

    /** Ten units at once, one a second. */
    private static Scheduler.Plan plan() {
        return new Scheduler.Plan("limited", 1, 0, 1, 1, 1, 10, 10);
    }

    /** Guards against memory that grows with the volumes that are named once. */
    @Test
    void holdsNoMoreThanItsCapacity() {
        for (int volume = 1; volume <= 5 * CAPACITY; volume++) {
            of(volume, volume);
        }
        assertThat(volumes.size()).isEqualTo(CAPACITY);
    }

    /** Guards against a limit that is passed by having the volume forgotten in between. */
    @Test
    void volumeThatIsForgottenEmptyStartsEmptyUntilItWouldBeFull() {
        long now = 2000 * SECOND; // long after the start of the instance
        for (int volume = 1; volume <= CAPACITY; volume++) {
            of(now, volume).limitUnits = 0;
        }
        of(now, CAPACITY + 1);
        assertThat(of(now, 1).limitUnits).isLessThanOrEqualTo(0);
        assertThat(of(now + 9 * SECOND, 1000).limitUnits).isLessThanOrEqualTo(0);
        assertThat(of(now + 11 * SECOND, 1001).limitUnits).isPositive();
    }

    /** Guards against an account of a volume's open requests that is lost with it. */
    @Test
    void volumeWithOpenRequestsIsKept() {
        List<TrackedVolume> busy = new ArrayList<>();
        for (int volume = 1; volume <= CAPACITY; volume++) {
            TrackedVolume tracked = of(0, volume);
            tracked.pendingUnits = 2;
            busy.add(tracked);
        }
        of(0, 500);
        assertThat(volumes.size()).isEqualTo(CAPACITY + 1);
        assertThat(of(0, 1)).isSameAs(busy.get(0));
    }
}
