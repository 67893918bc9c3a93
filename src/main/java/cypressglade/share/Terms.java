package cypressglade.share;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * What the operators' file says of sharing; the same at every member.
 *
 * @param roster names of all members that may ever share, at most {@link #MOST_NAMES}
 * @param floor part of the whole that is dealt out evenly whatever is heard, over 0 and at most 1
 * @param lag windows after its end that a report has to reach all, at least 1
 * @param window how long one is
 */
public record Terms(Set<String> roster, double floor, int lag, Duration window) {
    /** A word of bits tells who reported. */
    public static final int MOST_NAMES = 64;

    public Terms {
        roster = Set.copyOf(roster);
        if (roster.isEmpty()
                || roster.size() > MOST_NAMES
                || !(floor > 0 && floor <= 1)
                || lag < 1
                || window.toMillis() < 1) {
            throw new IllegalArgumentException(
                    "roster "
                            + roster
                            + ", floor "
                            + floor
                            + ", lag "
                            + lag
                            + ", window "
                            + window);
        }
    }

    /** The number of the window that a time lies in. */
    public long window(Instant time) {
        return Math.floorDiv(time.toEpochMilli(), window.toMillis());
    }

    /** When a window begins. */
    public Instant begin(long number) {
        return Instant.ofEpochMilli(number * window.toMillis());
    }

    /** A member's part where nothing is agreed on. */
    public double least() {
        return floor / roster.size();
    }

    /** The names in the one order in which all count them. */
    List<String> names() {
        return roster.stream().sorted().toList();
    }
}
