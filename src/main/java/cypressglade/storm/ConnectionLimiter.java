package cypressglade.storm;

import java.time.Duration;

/**
 * Limits how many client connections are served at once, by how late this program's own reads run.
 * Each connection that always has a request waiting lengthens the round in which all are read; when
 * a round takes a good part of the clients' target latency, requests are answered too late to be of
 * use and nothing is served, while fewer connections at once get more served. The limit falls by a
 * factor while reads are late on average, and rises by fixed steps, as additive increase and
 * multiplicative decrease (Chiu and Jain, 1989) settles at a good value whatever a round costs.
 *
 * <p>Not safe for use by several threads.
 */
public final class ConnectionLimiter {
    private static final double SMOOTHING_FACTOR = 0.2; // weight of the newest value in the mean
    private static final double DECREASE_FACTOR = 0.85;
    private static final double INCREASE_FRACTION = 0.05; // of the maximum, per update

    private final int minConnections;
    private final double maxLatenessMillis;
    private double meanLatenessMillis;
    private double limit = Double.MAX_VALUE;
    private int updatesUntilDecrease;

    /**
     * Creates a limiter that does not limit anything yet.
     *
     * @param minConnections connections that are served however late reads run
     * @param maxLateness mean lateness above which the limit falls
     */
    public ConnectionLimiter(int minConnections, Duration maxLateness) {
        this.minConnections = minConnections;
        this.maxLatenessMillis = maxLateness.toNanos() / 1e6;
    }

    /** The moving average of the lateness that {@link #update} was given. */
    public Duration meanLateness() {
        return Duration.ofNanos((long) (meanLatenessMillis * 1e6));
    }

    /**
     * Takes the newest measurement and returns how many connections may be served from now on.
     *
     * @param lateness time by which this call comes after it was due
     * @param open connections that are open now
     * @param maxConnections connections that the budget of resources allows
     */
    public int update(Duration lateness, int open, int maxConnections) {
        meanLatenessMillis += SMOOTHING_FACTOR * (lateness.toNanos() / 1e6 - meanLatenessMillis);
        limit = Math.min(limit, maxConnections);
        updatesUntilDecrease = Math.max(0, updatesUntilDecrease - 1);
        if (meanLatenessMillis > maxLatenessMillis && updatesUntilDecrease == 0) {
            limit =
                    Math.max(
                            minConnections,
                            DECREASE_FACTOR * Math.min(limit, Math.max(open, minConnections)));
            // until the mean shows the effect of this decrease
            updatesUntilDecrease = (int) (1 / SMOOTHING_FACTOR);
        } else if (meanLatenessMillis < maxLatenessMillis / 2) {
            limit = Math.min(maxConnections, limit + INCREASE_FRACTION * maxConnections);
        }
        return (int) limit;
    }
}
