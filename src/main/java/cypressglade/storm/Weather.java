package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether a storm of second tries is on at one place: a node, a volume, or the whole instance. Its
 * signs are a large share of second tries, or of come-backs before their time, while a good part of
 * what comes is refused. First tries that are refused are no sign, however many: an honest surge
 * stays calm. Signs have to last before damping begins, and their lack before it ends; what is let
 * by then grows evenly.
 *
 * <p>Not safe for use by several threads.
 */
public final class Weather {
    private static final Duration MEMORY = Duration.ofMillis(500);
    private static final Duration BEGINS = Duration.ofMillis(300);
    private static final Duration ENDS = Duration.ofSeconds(1);
    private static final double LEAST_TRIES = 10; // a second; below, a share says nothing
    private static final double REFUSED = 0.2;
    private static final double SECOND = 0.4;
    private static final double EARLY = 0.25;
    private static final double LULL = 0.5; // of each of these: below it the sign is gone

    private final Duration back;
    private final double least;
    private final Rate tries;
    private final Rate seconds;
    private final Rate early;
    private final Rate refused;
    private State state = State.CALM;
    private Instant since;
    private Instant turning; // since when what would turn the state lasts
    private boolean turns;

    /** What is done with second tries that hold no slot. */
    public enum State {
        CALM,
        DAMPING,
        RECOVERING
    }

    /**
     * Calm weather.
     *
     * @param least share of second tries that is let by while damping
     * @param back how long the way from there to the whole takes
     */
    public Weather(double least, Duration back, Instant now) {
        this.least = least;
        this.back = back;
        tries = new Rate(MEMORY, now);
        seconds = new Rate(MEMORY, now);
        early = new Rate(MEMORY, now);
        refused = new Rate(MEMORY, now);
        since = now;
        turning = now;
    }

    /**
     * A try came; {@code before} tells that it is a second one, before the time that it was told.
     */
    public void tried(Instant now, boolean second, boolean before) {
        tries.add(now, 1);
        if (second) {
            seconds.add(now, 1);
        }
        if (before) {
            early.add(now, 1);
        }
    }

    /** A try was refused, by whomever. */
    public void refused(Instant now) {
        refused.add(now, 1);
    }

    /** The state now; to be asked now and then, as it turns with time too. */
    public State look(Instant now) {
        boolean wanted =
                switch (state) {
                    case CALM -> stormy(now, 1);
                    case DAMPING -> !stormy(now, LULL);
                    case RECOVERING -> stormy(now, 1);
                };
        if (wanted != turns) {
            turns = wanted;
            turning = now;
        }
        Duration lasted = Duration.between(turning, now);
        if (state == State.DAMPING) {
            if (turns && lasted.compareTo(ENDS) >= 0) {
                turn(now, State.RECOVERING);
            }
        } else if (turns && lasted.compareTo(BEGINS) >= 0) {
            turn(now, State.DAMPING);
        } else if (state == State.RECOVERING && Duration.between(since, now).compareTo(back) >= 0) {
            turn(now, State.CALM);
        }
        return state;
    }

    private void turn(Instant now, State next) {
        state = next;
        since = now;
        turns = false;
        turning = now;
    }

    /** Whether enough comes for its shares to say something. */
    public boolean tells(Instant now) {
        return tries.perSecond(now) >= LEAST_TRIES;
    }

    private boolean stormy(Instant now, double part) {
        double all = tries.perSecond(now);
        double counts = part * all;
        return all >= LEAST_TRIES * part
                && refused.perSecond(now) >= REFUSED * counts
                && (seconds.perSecond(now) >= SECOND * counts
                        || early.perSecond(now) >= EARLY * counts);
    }

    /**
     * Second tries without a slot that are let by, as a share of first tries; infinite where it is
     * calm.
     */
    public double letBy(Instant now) {
        return switch (state) {
            case CALM -> Double.POSITIVE_INFINITY;
            case DAMPING -> least;
            case RECOVERING ->
                    least
                            + (1 - least)
                                    * Math.min(
                                            1,
                                            Duration.between(since, now).toNanos()
                                                    / (double) Math.max(1, back.toNanos()));
        };
    }

    /** The state as it was at the last look. */
    public State state() {
        return state;
    }

    /** Since when it is in this state. */
    public Instant since() {
        return since;
    }
}
