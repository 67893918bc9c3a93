package cypressglade.storm;

import java.time.Duration;

/**
 * How many client connections are worked on at once, by how late this program's own reading runs.
 * Each connection that always has a request waiting lengthens the round in which all are read;
 * where a round takes a good part of the clients' aims, what is sent on is answered too late to be
 * of use, and nothing is served. Fewer at once then serve more. Falls by a part at each look that
 * is late on average and rises by steps, as additive increase and multiplicative decrease (Chiu and
 * Jain, 1989) settles for whatever the round costs.
 *
 * <p>Not safe for use by several threads.
 */
public final class Intake {
    private static final double MEMORY = 0.2; // weight of the newest look in the mean
    private static final double FALL = 0.85;
    private static final double RISE = 0.05; // of the most

    private final int least;
    private final double lateMs;
    private double meanMs;
    private double bound = Double.MAX_VALUE;
    private int untilNextFall;

    /**
     * One with no bound yet.
     *
     * @param least connections that are worked on however late it runs
     * @param late lateness on average from which fewer are
     */
    public Intake(int least, Duration late) {
        this.least = least;
        this.lateMs = late.toNanos() / 1e6;
    }

    /** By how much looks came late, on average lately. */
    public Duration lateness() {
        return Duration.ofNanos((long) (meanMs * 1e6));
    }

    /**
     * Takes what a look has seen, and says how many may be worked on from now on.
     *
     * @param lateness by which this look came after its time
     * @param open connections now
     * @param most that may be open by the budget
     */
    public int look(Duration lateness, int open, int most) {
        meanMs += MEMORY * (lateness.toNanos() / 1e6 - meanMs);
        bound = Math.min(bound, most);
        untilNextFall = Math.max(0, untilNextFall - 1);
        if (meanMs > lateMs && untilNextFall == 0) {
            bound = Math.max(least, FALL * Math.min(bound, Math.max(open, least)));
            untilNextFall = (int) (1 / MEMORY); // until the mean can tell what the last fall did
        } else if (meanMs < lateMs / 2) {
            bound = Math.min(most, bound + RISE * most);
        }
        return (int) bound;
    }
}
