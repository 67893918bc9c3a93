package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * Paces the accepting of new connections while they arrive in a wave, so that clients that are
 * already connected are read first. A wave begins when the recent rate exceeds both the pace and
 * several times the mean rate of the last half minute. While it lasts, connections are accepted at
 * the pace, and the others wait in the listen backlog. It is over when fewer arrive than would be
 * accepted.
 *
 * <p>Not safe for use by several threads.
 */
public final class ConnectionPacer {
    private static final Duration RECENT_TIME_CONSTANT = Duration.ofMillis(500);
    private static final Duration BASELINE_TIME_CONSTANT = Duration.ofSeconds(30);
    private static final Duration MIN_QUIET_TIME = Duration.ofSeconds(1); // before a wave is over
    private static final double WAVE_RATE_FACTOR = 4; // of the baseline rate
    private static final double QUIET_RATE_FRACTION = 0.7; // of the pace

    private final double connectionsPerSecond;
    private final RateEstimator recentRate;
    private final RateEstimator baselineRate;
    private boolean isWaveActive;
    private Instant lastBusy;
    private Instant lastUpdate;
    private double allowance;

    /**
     * Creates a pacer with no wave active.
     *
     * @param connectionsPerSecond the pace during a wave; a lower rate of arrivals is never a wave
     */
    public ConnectionPacer(int connectionsPerSecond, Instant now) {
        this.connectionsPerSecond = connectionsPerSecond;
        recentRate = new RateEstimator(RECENT_TIME_CONSTANT, now);
        baselineRate = new RateEstimator(BASELINE_TIME_CONSTANT, now);
        lastBusy = now;
        lastUpdate = now;
    }

    /**
     * Takes the number of connections accepted since the last call; returns how many more may be
     * accepted until the next one, {@link Integer#MAX_VALUE} where no wave is active.
     */
    public int update(int accepted, Instant now) {
        recentRate.add(now, accepted);
        if (!isWaveActive
                && recentRate.perSecond(now)
                        > Math.max(
                                connectionsPerSecond,
                                WAVE_RATE_FACTOR * baselineRate.perSecond(now))) {
            isWaveActive = true;
            lastBusy = now;
            allowance = 0;
        }
        baselineRate.add(now, accepted);
        if (!isWaveActive) {
            lastUpdate = now;
            return Integer.MAX_VALUE;
        }
        if (recentRate.perSecond(now) >= QUIET_RATE_FRACTION * connectionsPerSecond) {
            lastBusy = now;
        } else if (Duration.between(lastBusy, now).compareTo(MIN_QUIET_TIME) >= 0) {
            isWaveActive = false;
        }
        // An unused allowance is not saved up: accepting it all at once would be a wave again.
        allowance =
                Math.min(allowance - Math.floor(allowance), 1)
                        + connectionsPerSecond * Duration.between(lastUpdate, now).toNanos() / 1e9;
        lastUpdate = now;
        return isWaveActive ? (int) allowance : Integer.MAX_VALUE;
    }

    /** Whether a wave of connections is being paced. */
    public boolean isWaveActive() {
        return isWaveActive;
    }
}
