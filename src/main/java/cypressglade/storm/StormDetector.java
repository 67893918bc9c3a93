package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * Detects a retry storm in one scope: a node, a volume or the whole instance. A storm shows as a
 * large share of retries, or of retries before their slot, while a good part of the requests is
 * refused. Refused original requests are no sign of a storm, however many: a surge of original
 * requests stays {@link State#CALM}. The signs have to last before damping begins, and have to be
 * absent for a while before it ends; after that the ratio of admitted retries rises linearly.
 *
 * <p>Not safe for use by several threads.
 */
public final class StormDetector {
    private static final Duration RATE_TIME_CONSTANT = Duration.ofMillis(500);
    private static final Duration MIN_STORM_TIME = Duration.ofMillis(300); // before damping
    private static final Duration MIN_QUIET_TIME = Duration.ofSeconds(1); // before recovery
    // Below this rate the shares say nothing.
    private static final double MIN_REQUESTS_PER_SECOND = 10;
    private static final double MIN_REFUSED_FRACTION = 0.2;
    private static final double MIN_RETRY_FRACTION = 0.4;
    private static final double MIN_EARLY_FRACTION = 0.25;
    // A storm is over below this part of the thresholds that begin it (hysteresis).
    private static final double END_THRESHOLD_RATIO = 0.5;

    private final Duration recoveryTime;
    private final double minRetryRatio;
    private final RateEstimator requests;
    private final RateEstimator retries;
    private final RateEstimator earlyRetries;
    private final RateEstimator refusals;
    private State state = State.CALM;
    private Instant stateSince;
    private boolean isChangeDue; // whether the condition for the next state holds
    private Instant changeDueSince; // when isChangeDue took its value

    /** How retries without a slot are treated. */
    public enum State {
        /** All are admitted. */
        CALM,
        /** Few are admitted. */
        DAMPING,
        /** The storm is over; the ratio of admitted retries rises. */
        RECOVERING
    }

    /**
     * Creates a detector in state {@link State#CALM}.
     *
     * @param minRetryRatio retries admitted per original request while damping, 0 to 1
     * @param recoveryTime time over which that ratio rises to 1 afterwards
     */
    public StormDetector(double minRetryRatio, Duration recoveryTime, Instant now) {
        this.minRetryRatio = minRetryRatio;
        this.recoveryTime = recoveryTime;
        requests = new RateEstimator(RATE_TIME_CONSTANT, now);
        retries = new RateEstimator(RATE_TIME_CONSTANT, now);
        earlyRetries = new RateEstimator(RATE_TIME_CONSTANT, now);
        refusals = new RateEstimator(RATE_TIME_CONSTANT, now);
        stateSince = now;
        changeDueSince = now;
    }

    /**
     * Records that a request arrived.
     *
     * @param isEarly whether it is a retry that came before its slot
     */
    public void recordRequest(Instant now, boolean isRetry, boolean isEarly) {
        requests.add(now, 1);
        if (isRetry) {
            retries.add(now, 1);
        }
        if (isEarly) {
            earlyRetries.add(now, 1);
        }
    }

    /** Records that a request was refused, by retry admission or by the scheduling policy. */
    public void recordRefusal(Instant now) {
        refusals.add(now, 1);
    }

    /**
     * Brings the state up to date and returns it. To be called regularly, as the state also changes
     * when nothing arrives.
     */
    public State update(Instant now) {
        boolean due =
                switch (state) {
                    case CALM -> hasStormSigns(now, 1);
                    case DAMPING -> !hasStormSigns(now, END_THRESHOLD_RATIO);
                    case RECOVERING -> hasStormSigns(now, 1);
                };
        if (due != isChangeDue) {
            isChangeDue = due;
            changeDueSince = now;
        }
        Duration lasted = Duration.between(changeDueSince, now);
        if (state == State.DAMPING) {
            if (isChangeDue && lasted.compareTo(MIN_QUIET_TIME) >= 0) {
                changeState(now, State.RECOVERING);
            }
        } else if (isChangeDue && lasted.compareTo(MIN_STORM_TIME) >= 0) {
            changeState(now, State.DAMPING);
        } else if (state == State.RECOVERING
                && Duration.between(stateSince, now).compareTo(recoveryTime) >= 0) {
            changeState(now, State.CALM);
        }
        return state;
    }

    private void changeState(Instant now, State next) {
        state = next;
        stateSince = now;
        isChangeDue = false;
        changeDueSince = now;
    }

    /** Whether requests arrive often enough for their shares to be meaningful. */
    public boolean hasEnoughRequests(Instant now) {
        return requests.perSecond(now) >= MIN_REQUESTS_PER_SECOND;
    }

    private boolean hasStormSigns(Instant now, double thresholdRatio) {
        double requestRate = requests.perSecond(now);
        double scaledRate = thresholdRatio * requestRate;
        return requestRate >= MIN_REQUESTS_PER_SECOND * thresholdRatio
                && refusals.perSecond(now) >= MIN_REFUSED_FRACTION * scaledRate
                && (retries.perSecond(now) >= MIN_RETRY_FRACTION * scaledRate
                        || earlyRetries.perSecond(now) >= MIN_EARLY_FRACTION * scaledRate);
    }

    /**
     * Retries without a slot that are admitted, per original request: 0 to 1, or positive infinity
     * while calm.
     */
    public double admittedRetryRatio(Instant now) {
        return switch (state) {
            case CALM -> Double.POSITIVE_INFINITY;
            case DAMPING -> minRetryRatio;
            case RECOVERING ->
                    minRetryRatio
                            + (1 - minRetryRatio)
                                    * Math.min(
                                            1,
                                            Duration.between(stateSince, now).toNanos()
                                                    / (double) Math.max(1, recoveryTime.toNanos()));
        };
    }

    /** The state at the last {@link #update}. */
    public State state() {
        return state;
    }

    /** When that state began. */
    public Instant since() {
        return stateSince;
    }
}
