package cypressglade.learn;

import cypressglade.core.Scheduler.NodeView;
import java.time.Duration;
import java.time.Instant;

/**
 * What one instance found of one node by its own answers.
 *
 * @param node the stable id of the node
 * @param startedUs the start of the node's run that this is about, as the list told it:
 *     microseconds since the epoch on discovery's clock, 0 for long ago; it tells runs apart and
 *     warmth, and is never an age
 * @param paceUs microseconds a unit
 * @param backlogUs microseconds that others' load added to an answer
 * @param strain share of their aim that answers took
 * @param errors share of answers in error
 * @param answers how many answers this rests on
 * @param silentFor how long nothing had come back by then; zero where something did
 * @param at when it was found, on the holder's own clock; it goes out as an age and comes in as one
 */
public record Word(
        String node,
        long startedUs,
        double paceUs,
        double backlogUs,
        double strain,
        double errors,
        int answers,
        Duration silentFor,
        Instant at,
        Origin origin) {
    private static final int MOST_NAME = 128;
    private static final double MOST_US = 600e6;
    private static final double MOST_STRAIN = 100;
    private static final long MOST_START_US = 1L << 60;
    private static final Duration MOST_SPAN = Duration.ofDays(1);

    /** What an instance found itself. */
    static Word own(String node, NodeView view, Duration silentFor, Instant at, Origin self) {
        return new Word(
                node,
                view.startedUs(),
                view.serviceTimePerUnitUs(),
                view.backlogUs(),
                view.latencyRatio(),
                view.errorRatio(),
                view.answers(),
                silentFor,
                at,
                self);
    }

    public boolean silent() {
        return !silentFor.isZero();
    }

    /** How long ago it was found; never negative, whatever the clock did. */
    public Duration age(Instant now) {
        Duration age = Duration.between(at, now);
        return age.isNegative() ? Duration.ZERO : age;
    }

    /** Whether all of it makes sense; not whether it is true. */
    public boolean plausible(Instant now) {
        return name(node)
                && name(origin.name())
                && within(paceUs, MOST_US)
                && paceUs > 0
                && within(backlogUs, MOST_US)
                && within(strain, MOST_STRAIN)
                && within(errors, 1)
                && answers >= 0
                && startedUs >= 0
                && startedUs <= MOST_START_US
                && !silentFor.isNegative()
                && silentFor.compareTo(MOST_SPAN) <= 0
                && !at.isAfter(now)
                && !at.isBefore(now.minus(MOST_SPAN));
    }

    private static boolean name(String text) {
        return !text.isEmpty() && text.length() <= MOST_NAME;
    }

    /** Not so for NaN, which compares as false. */
    private static boolean within(double value, double most) {
        return value >= 0 && value <= most;
    }
}
