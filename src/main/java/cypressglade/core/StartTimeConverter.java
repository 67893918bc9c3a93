package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * When nodes started, on the clock of {@link MonotonicClock}, which goes on evenly. Discovery tells
 * it by the wall clock, which may be stepped by an hour either way between a node's start and the
 * list that tells of it. Of the times that a told one can mean under the steps seen so far, the
 * latest that is not ahead counts: a node must not be taken for warm. One thread at a time.
 */
final class StartTimeConverter {
    private static final Duration LEAST_STEP = Duration.ofMillis(500);
    private static final int MOST_STEPS = 16;

    private final Set<Duration> steps = new LinkedHashSet<>(Set.of(Duration.ZERO));
    private final Map<String, Start> starts = new HashMap<>();

    private record Start(Instant told, Instant onOurClock) {}

    /**
     * The start of a node's process, on our clock; what was told before keeps its meaning.
     *
     * @param told by the wall clock; the epoch stands for long ago
     * @param now on our clock
     * @param wall the wall clock at the same moment
     */
    Instant toMonotonic(String node, Instant told, Instant now, Instant wall) {
        noteStep(Duration.between(now, wall));
        if (told.equals(Instant.EPOCH)) {
            starts.remove(node);
            return told;
        }
        Start known = starts.get(node);
        if (known == null || !known.told().equals(told)) {
            known = new Start(told, latestNotAhead(told, now));
            starts.put(node, known);
        }
        return known.onOurClock();
    }

    private Instant latestNotAhead(Instant told, Instant now) {
        return steps.stream()
                .map(told::minus)
                .filter(start -> !start.isAfter(now))
                .max(Instant::compareTo)
                .orElse(now);
    }

    private void noteStep(Duration ahead) {
        boolean known =
                steps.stream().anyMatch(step -> step.minus(ahead).abs().compareTo(LEAST_STEP) < 0);
        if (!known && steps.size() < MOST_STEPS) {
            steps.add(ahead);
        }
    }

    /** Forgets all nodes but these. */
    void retain(Collection<String> nodes) {
        starts.keySet().retainAll(nodes);
    }
}
