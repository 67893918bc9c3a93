package cypressglade.learn;

import java.time.Duration;

/**
 * How far a word counts by its age. That a node answers is true of a moment and ages fast; that it
 * is silent costs one probe where it is wrong, so it is held long; how quick a node is changes
 * seldom.
 */
final class ObservationWeights {
    /** A word that a node answers outweighs an older word of silence for so long. */
    static final Duration HEALTHY_LIFE = Duration.ofSeconds(5);

    /** A word of silence counts for so long: each wrong one costs a probe and its way. */
    static final Duration SILENT_LIFE = Duration.ofSeconds(60);

    /** Whatever is older teaches nothing. */
    static final Duration LIFE = Duration.ofSeconds(120);

    /** Pace is the machine's, mostly: half of what sets a node apart is believed after so long. */
    static final Duration PACE_HALF = Duration.ofSeconds(20);

    /** Load of others comes and goes. */
    static final Duration BACKLOG_HALF = Duration.ofMillis(500);

    static final Duration STRAIN_HALF = Duration.ofSeconds(2);
    static final Duration ERRORS_HALF = Duration.ofSeconds(10);

    /** Answers from which on a word is worth as much as any. */
    private static final double ENOUGH_ANSWERS = 8;

    private static final double LEAST = 0.05;
    private static final double STEP = 0.3;

    private ObservationWeights() {}

    /** From 1 for something just found towards 0, halved with each {@code half}. */
    static double ageWeight(Duration age, Duration half) {
        return Math.pow(2, -(double) age.toNanos() / half.toNanos());
    }

    /** What few answers tell is chance in part. */
    static double answerCountWeight(int answers) {
        return Math.min(1, (answers + 1) / (ENOUGH_ANSWERS + 1));
    }

    /**
     * How far an origin is believed after one more of its words held or did not; never quite to
     * nothing.
     */
    static double updatedTrust(double before, boolean held) {
        return Math.max(LEAST, before + STEP * ((held ? 1 : 0) - before));
    }
}
