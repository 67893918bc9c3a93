package cypressglade.learn;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Estimates the condition of one node from observations of other instances, weighted by age, by
 * number of answers, and by the trust in their origins.
 */
final class HintEstimator {
    private final Instant now;
    private final ToDoubleFunction<Origin> trust;
    private final double averageServiceTimeMicros;
    private List<NodeObservation> observations;

    /**
     * An estimator for one node.
     *
     * @param observations observations of this node only
     * @param averageServiceTimeMicros microseconds per cost unit, over all nodes that others
     *     observed
     * @param trust how far an origin is trusted, from 0 to 1
     */
    HintEstimator(
            List<NodeObservation> observations,
            Instant now,
            double averageServiceTimeMicros,
            ToDoubleFunction<Origin> trust) {
        this.observations = observations;
        this.now = now;
        this.averageServiceTimeMicros = averageServiceTimeMicros;
        this.trust = trust;
    }

    /**
     * The hint for the scheduling policy; empty where all observations are too old or of an earlier
     * run of the node.
     *
     * @param listedMicros start of the node according to this instance's own node list, in
     *     microseconds since the epoch
     */
    Optional<NodeHint> hint(String nodeId, long listedMicros) {
        // The latest start counts, be it observed or from the own node list: the node is then taken
        // to be colder. Observations of an earlier run of the node say nothing about this one.
        long startedMicros =
                observations.stream()
                        .mapToLong(NodeObservation::startedMicros)
                        .reduce(listedMicros, Math::max);
        observations =
                observations.stream()
                        .filter(observation -> observation.startedMicros() == startedMicros)
                        .toList();
        Optional<Instant> newest =
                observations.stream().map(NodeObservation::observedAt).max(Instant::compareTo);
        if (newest.isEmpty()
                || Duration.between(newest.get(), now).compareTo(ObservationWeights.MAX_AGE) > 0) {
            return Optional.empty();
        }
        Set<Origin> origins =
                observations.stream().map(NodeObservation::origin).collect(Collectors.toSet());
        double serviceTimePerUnitMicros =
                weightedMean(
                        NodeObservation::serviceTimePerUnitMicros,
                        ObservationWeights.SERVICE_TIME_HALF_LIFE,
                        averageServiceTimeMicros);
        return Optional.of(
                new NodeHint(
                        nodeId,
                        serviceTimePerUnitMicros,
                        weightedMean(
                                NodeObservation::backlogMicros,
                                ObservationWeights.BACKLOG_HALF_LIFE,
                                0),
                        weightedMean(
                                NodeObservation::latencyRatio,
                                ObservationWeights.LATENCY_RATIO_HALF_LIFE,
                                0),
                        weightedMean(
                                NodeObservation::errorRatio,
                                ObservationWeights.ERROR_RATIO_HALF_LIFE,
                                0),
                        isSilent(),
                        startedMicros > listedMicros ? startedMicros : 0,
                        newest.get(),
                        origins));
    }

    /**
     * Whether the node is taken to be silent: an observation of silence holds unless a later one
     * says that the node answers and is still fresh.
     */
    private boolean isSilent() {
        Optional<Instant> silent = newest(true, ObservationWeights.MAX_SILENT_AGE);
        Optional<Instant> healthy = newest(false, ObservationWeights.MAX_HEALTHY_AGE);
        return silent.isPresent() && (healthy.isEmpty() || !healthy.get().isAfter(silent.get()));
    }

    private Optional<Instant> newest(boolean silent, Duration maxAge) {
        return observations.stream()
                .filter(
                        observation ->
                                observation.isSilent() == silent
                                        && observation.age(now).compareTo(maxAge) <= 0)
                .map(NodeObservation::observedAt)
                .max(Instant::compareTo);
    }

    /**
     * The weighted mean of a value, moved towards {@code fallback} by as much as the highest weight
     * falls short of 1.
     */
    private double weightedMean(
            ToDoubleFunction<NodeObservation> value, Duration halfLife, double fallback) {
        double sum = 0;
        double weights = 0;
        double highest = 0;
        for (NodeObservation observation : observations) {
            double weight =
                    ObservationWeights.ageWeight(observation.age(now), halfLife)
                            * ObservationWeights.answerCountWeight(observation.answerCount())
                            * trust.applyAsDouble(observation.origin());
            sum += weight * value.applyAsDouble(observation);
            weights += weight;
            highest = Math.max(highest, weight);
        }
        return weights == 0 ? fallback : fallback + highest * (sum / weights - fallback);
    }
}
