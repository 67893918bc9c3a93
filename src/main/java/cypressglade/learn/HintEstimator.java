package cypressglade.learn;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * What words on one node come to, weighed by age, by answers and by how well their origins held so
 * far.
 */
final class HintEstimator {
    private final Instant now;
    private final ToDoubleFunction<Origin> standing;
    private final double averagePace;
    private List<NodeObservation> words;

    /**
     * Of words on one node.
     *
     * @param averagePace microseconds a unit over all nodes that anyone told of
     * @param standing how far an origin is believed, from 0 to 1
     */
    HintEstimator(
            List<NodeObservation> words,
            Instant now,
            double averagePace,
            ToDoubleFunction<Origin> standing) {
        this.words = words;
        this.now = now;
        this.averagePace = averagePace;
        this.standing = standing;
    }

    /**
     * What to tell the module.
     *
     * @param listedUs the start of the node as the own list has it
     */
    Optional<NodeHint> hint(String node, long listedUs) {
        // Of two words on warmth the colder holds, the own list's among them. What was said of an
        // earlier run of the node is of no use: the run that it was about is over.
        long startedUs =
                words.stream()
                        .mapToLong(NodeObservation::startedMicros)
                        .reduce(listedUs, Math::max);
        words = words.stream().filter(word -> word.startedMicros() == startedUs).toList();
        Optional<Instant> newest =
                words.stream().map(NodeObservation::observedAt).max(Instant::compareTo);
        if (newest.isEmpty()
                || Duration.between(newest.get(), now).compareTo(ObservationWeights.LIFE) > 0) {
            return Optional.empty();
        }
        Set<Origin> origins =
                words.stream().map(NodeObservation::origin).collect(Collectors.toSet());
        double pace =
                mean(
                        NodeObservation::serviceTimePerUnitMicros,
                        ObservationWeights.PACE_HALF,
                        averagePace);
        return Optional.of(
                new NodeHint(
                        node,
                        pace,
                        mean(NodeObservation::backlogMicros, ObservationWeights.BACKLOG_HALF, 0),
                        mean(NodeObservation::latencyRatio, ObservationWeights.STRAIN_HALF, 0),
                        mean(NodeObservation::errorRatio, ObservationWeights.ERRORS_HALF, 0),
                        silent(),
                        startedUs > listedUs ? startedUs : 0,
                        newest.get(),
                        origins));
    }

    /**
     * A word of silence holds until a later word that the node answers, while that one is fresh.
     */
    private boolean silent() {
        Optional<Instant> silent = newest(true, ObservationWeights.SILENT_LIFE);
        Optional<Instant> healthy = newest(false, ObservationWeights.HEALTHY_LIFE);
        return silent.isPresent() && (healthy.isEmpty() || !healthy.get().isAfter(silent.get()));
    }

    private Optional<Instant> newest(boolean silent, Duration life) {
        return words.stream()
                .filter(word -> word.isSilent() == silent && word.age(now).compareTo(life) <= 0)
                .map(NodeObservation::observedAt)
                .max(Instant::compareTo);
    }

    /**
     * The mean by weight, drawn to {@code otherwise} by as much as the best word lacks of full
     * trust.
     */
    private double mean(ToDoubleFunction<NodeObservation> figure, Duration half, double otherwise) {
        double sum = 0;
        double weights = 0;
        double best = 0;
        for (NodeObservation word : words) {
            double weight =
                    ObservationWeights.ageWeight(word.age(now), half)
                            * ObservationWeights.answerCountWeight(word.answerCount())
                            * standing.applyAsDouble(word.origin());
            sum += weight * figure.applyAsDouble(word);
            weights += weight;
            best = Math.max(best, weight);
        }
        return weights == 0 ? otherwise : otherwise + best * (sum / weights - otherwise);
    }
}
