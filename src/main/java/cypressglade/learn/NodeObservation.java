package cypressglade.learn;

import cypressglade.core.Scheduler.NodeView;
import java.time.Duration;
import java.time.Instant;

/**
 * What one instance observed of one node by the answers that it received itself.
 *
 * @param nodeId stable id of the node
 * @param startedMicros start of the node's run that was observed, as the node list gave it:
 *     microseconds since the epoch on discovery's clock, 0 for long ago. It tells one run of the
 *     node from another and a cold node from a warm one; it is never used as an age.
 * @param serviceTimePerUnitMicros microseconds per cost unit
 * @param backlogMicros microseconds that the load of other instances added to an answer
 * @param latencyRatio answer latency as a part of the target latency
 * @param errorRatio fraction of answers that were errors, 0 to 1
 * @param answerCount number of answers that the observation rests on
 * @param silentFor how long nothing had come back from the node by then; zero where something had
 * @param observedAt when the observation was made, on the clock of the instance that holds it; it
 *     is sent and received as an age
 * @param origin the instance that made the observation
 */
public record NodeObservation(
        String nodeId,
        long startedMicros,
        double serviceTimePerUnitMicros,
        double backlogMicros,
        double latencyRatio,
        double errorRatio,
        int answerCount,
        Duration silentFor,
        Instant observedAt,
        Origin origin) {
    private static final int MAX_NAME_LENGTH = 128;
    private static final double MAX_MICROS = 600e6;
    private static final double MAX_LATENCY_RATIO = 100;
    private static final long MAX_STARTED_MICROS = 1L << 60;
    private static final Duration MAX_SPAN = Duration.ofDays(1);

    /** This instance's own observation, from the view of its scheduling policy. */
    static NodeObservation fromView(
            String nodeId, NodeView view, Duration silentFor, Instant observedAt, Origin self) {
        return new NodeObservation(
                nodeId,
                view.startedUs(),
                view.serviceTimePerUnitUs(),
                view.backlogUs(),
                view.latencyRatio(),
                view.errorRatio(),
                view.answers(),
                silentFor,
                observedAt,
                self);
    }

    /** Whether nothing came back from the node when it was observed. */
    public boolean isSilent() {
        return !silentFor.isZero();
    }

    /** Time since the observation was made; never negative, even if the clock was set back. */
    public Duration age(Instant now) {
        Duration age = Duration.between(observedAt, now);
        return age.isNegative() ? Duration.ZERO : age;
    }

    /** Whether all values are within their ranges. Says nothing about whether they are true. */
    public boolean isPlausible(Instant now) {
        return isValidName(nodeId)
                && isValidName(origin.name())
                && isWithin(serviceTimePerUnitMicros, MAX_MICROS)
                && serviceTimePerUnitMicros > 0
                && isWithin(backlogMicros, MAX_MICROS)
                && isWithin(latencyRatio, MAX_LATENCY_RATIO)
                && isWithin(errorRatio, 1)
                && answerCount >= 0
                && startedMicros >= 0
                && startedMicros <= MAX_STARTED_MICROS
                && !silentFor.isNegative()
                && silentFor.compareTo(MAX_SPAN) <= 0
                && !observedAt.isAfter(now)
                && !observedAt.isBefore(now.minus(MAX_SPAN));
    }

    private static boolean isValidName(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }

    /** Whether a value is from 0 to {@code max}; false for NaN, for which comparisons are false. */
    private static boolean isWithin(double value, double max) {
        return value >= 0 && value <= max;
    }
}
