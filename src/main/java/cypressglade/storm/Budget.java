package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * Second tries let by as what succeeds: a first try, and one that is served, brings a share, some
 * 20 are saved up at most, and one a second comes of itself, so that no place is shut where only
 * second tries come.
 */
final class Budget {
    private static final double LEAST = 1;
    private static final double MOST = 20;

    private double tokens = LEAST;
    private Instant at;

    Budget(Instant now) {
        at = now;
    }

    void add(double share) {
        tokens = Math.min(MOST, tokens + Math.min(1, share));
    }

    boolean take(Instant now) {
        tokens = Math.min(MOST, tokens + LEAST * Duration.between(at, now).toNanos() / 1e9);
        at = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
