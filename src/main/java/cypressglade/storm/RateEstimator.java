package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates the rate of arrivals as an exponentially decaying average. Not safe for use by several
 * threads.
 */
final class RateEstimator {
    private final double timeConstantNanos;
    private double sum; // decayed up to updatedAt
    private Instant updatedAt;

    /** Starts at a rate of 0; an arrival that is {@code timeConstant} old is weighted by 1/e. */
    RateEstimator(Duration timeConstant, Instant now) {
        timeConstantNanos = timeConstant.toNanos();
        updatedAt = now;
    }

    void add(Instant now, double amount) {
        sum = decayedSum(now) + amount;
        updatedAt = now;
    }

    double perSecond(Instant now) {
        return decayedSum(now) / timeConstantNanos * 1e9;
    }

    private double decayedSum(Instant now) {
        return sum
                * Math.exp(
                        -Math.max(0, Duration.between(updatedAt, now).toNanos())
                                / timeConstantNanos);
    }
}
