package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * A pace for taking new connections when they come in waves, so that those who are connected are
 * read first. A wave is several times what came in the mean of the last half minute, and a good
 * number; while it lasts, so many are taken in a second, and whoever comes beyond that waits in the
 * backlog. It is over when fewer come than would be taken.
 *
 * <p>Not safe for use by several threads.
 */
public final class Waves {
    private static final Duration LATELY = Duration.ofMillis(500);
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration QUIET = Duration.ofSeconds(1);
    private static final double TIMES = 4;
    private static final double FEWER = 0.7;

    private final double pace;
    private final Rate lately;
    private final Rate usual;
    private boolean wave;
    private Instant busy;
    private Instant looked;
    private double allowance;

    /**
     * Calm; {@code pace} is how many are taken in a second of a wave, which is no wave below it.
     */
    public Waves(int pace, Instant now) {
        this.pace = pace;
        lately = new Rate(LATELY, now);
        usual = new Rate(LONG, now);
        busy = now;
        looked = now;
    }

    /**
     * Takes what came since the last look; returns how many more may be taken until the next one,
     * {@link Integer#MAX_VALUE} where no wave is on.
     */
    public int look(int came, Instant now) {
        lately.add(now, came);
        if (!wave && lately.perSecond(now) > Math.max(pace, TIMES * usual.perSecond(now))) {
            wave = true;
            busy = now;
            allowance = 0;
        }
        usual.add(now, came);
        if (!wave) {
            looked = now;
            return Integer.MAX_VALUE;
        }
        if (lately.perSecond(now) >= FEWER * pace) {
            busy = now;
        } else if (Duration.between(busy, now).compareTo(QUIET) >= 0) {
            wave = false;
        }
        // What was not used in one look is not saved up for the next: that would be a wave again.
        allowance =
                Math.min(allowance - Math.floor(allowance), 1)
                        + pace * Duration.between(looked, now).toNanos() / 1e9;
        looked = now;
        return wave ? (int) allowance : Integer.MAX_VALUE;
    }

    /** Whether a wave is on. */
    public boolean on() {
        return wave;
    }
}
