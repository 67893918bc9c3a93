package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Converts the start times of nodes to {@link MonotonicClock}. Discovery reports them by the wall
 * clock, which may be stepped by an hour either way between a node's start and the list that
 * reports it. A reported time can mean one start for each clock step seen so far; the latest of
 * these that is not in the future is used, because a cold node must not be taken for a warm one.
 * Not safe for use by several threads at once.
 */
final class StartTimeConverter {
    private static final Duration MIN_STEP = Duration.ofMillis(500);
    private static final int MAX_STEPS = 16;

    /** Differences seen so far between the wall clock and the monotonic clock. */
    private final Set<Duration> steps = new LinkedHashSet<>(Set.of(Duration.ZERO));

    private final Map<String, Start> starts = new HashMap<>();

    private record Start(Instant reported, Instant monotonic) {}

    /**
     * The start of a node's process by the monotonic clock. A time that was reported before keeps
     * its conversion.
     *
     * @param reported by the wall clock; the epoch, which stands for long ago, is returned as it is
     * @param now by the monotonic clock
     * @param wall the wall clock at the same moment
     */
    Instant toMonotonic(String node, Instant reported, Instant now, Instant wall) {
        recordStep(Duration.between(now, wall));
        if (reported.equals(Instant.EPOCH)) {
            starts.remove(node);
            return reported;
        }
        Start known = starts.get(node);
        if (known == null || !known.reported().equals(reported)) {
            known = new Start(reported, latestNotInFuture(reported, now));
            starts.put(node, known);
        }
        return known.monotonic();
    }

    private Instant latestNotInFuture(Instant reported, Instant now) {
        return steps.stream()
                .map(reported::minus)
                .filter(start -> !start.isAfter(now))
                .max(Instant::compareTo)
                .orElse(now);
    }

    private void recordStep(Duration ahead) {
        boolean known =
                steps.stream().anyMatch(step -> step.minus(ahead).abs().compareTo(MIN_STEP) < 0);
        if (!known && steps.size() < MAX_STEPS) {
            steps.add(ahead);
        }
    }

    /** Removes all nodes but these. */
    void retain(Collection<String> nodes) {
        starts.keySet().retainAll(nodes);
    }
}
