package cypressglade.learn;

import java.time.Duration;

/**
 * How much an observation counts, by its age, the number of answers behind it, and how well earlier
 * observations of its origin were confirmed. That a node answers holds for a moment only, so it
 * ages fast. That a node is silent is kept for long, as it costs one probe where it is wrong. The
 * speed of a node changes seldom.
 */
final class ObservationWeights {
    /** How long an observation that a node answers outweighs an older one of silence. */
    static final Duration MAX_HEALTHY_AGE = Duration.ofSeconds(5);

    /** How long an observation of silence counts; a wrong one costs a probe and its delay. */
    static final Duration MAX_SILENT_AGE = Duration.ofSeconds(60);

    /** Older observations are not used at all. */
    static final Duration MAX_AGE = Duration.ofSeconds(120);

    /**
     * Age at which half of a node's deviation from the average service time is used: it depends
     * mostly on the machine.
     */
    static final Duration SERVICE_TIME_HALF_LIFE = Duration.ofSeconds(20);

    /** Short, because the load of other instances changes quickly. */
    static final Duration BACKLOG_HALF_LIFE = Duration.ofMillis(500);

    static final Duration LATENCY_RATIO_HALF_LIFE = Duration.ofSeconds(2);
    static final Duration ERROR_RATIO_HALF_LIFE = Duration.ofSeconds(10);

    /** Number of answers from which on an observation has its full weight. */
    private static final double FULL_WEIGHT_ANSWERS = 8;

    private static final double MIN_TRUST = 0.05;

    /** Fraction by which one confirmed or contradicted hint moves the trust in an origin. */
    private static final double TRUST_STEP_FRACTION = 0.3;

    private ObservationWeights() {}

    /** Weight by age: 1 for an observation made now, halved with each half-life. */
    static double ageWeight(Duration age, Duration halfLife) {
        return Math.pow(2, -(double) age.toNanos() / halfLife.toNanos());
    }

    /** Weight by the number of answers, up to 1: few answers are partly chance. */
    static double answerCountWeight(int answers) {
        return Math.min(1, (answers + 1) / (FULL_WEIGHT_ANSWERS + 1));
    }

    /**
     * The trust in an origin, from {@link #MIN_TRUST} to 1, after one more of its observations was
     * confirmed or contradicted.
     */
    static double updatedTrust(double before, boolean confirmed) {
        return Math.max(MIN_TRUST, before + TRUST_STEP_FRACTION * ((confirmed ? 1 : 0) - before));
    }
}
