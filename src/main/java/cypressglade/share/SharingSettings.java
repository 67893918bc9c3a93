package cypressglade.share;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * What the operators' file says of sharing; the same at every member.
 *
 * @param roster names of all members that may ever share, at most {@link #MAX_NAMES}
 * @param floorFraction part of the whole that is dealt out evenly whatever is heard, over 0 and at
 *     most 1
 * @param lagWindows windows after its end that a report has to reach all, at least 1
 * @param windowLength how long one is
 */
public record SharingSettings(
        Set<String> roster, double floorFraction, int lagWindows, Duration windowLength) {
    /** A word of bits tells who reported. */
    public static final int MAX_NAMES = 64;

    public SharingSettings {
        roster = Set.copyOf(roster);
        if (roster.isEmpty()
                || roster.size() > MAX_NAMES
                || !(floorFraction > 0 && floorFraction <= 1)
                || lagWindows < 1
                || windowLength.toMillis() < 1) {
            throw new IllegalArgumentException(
                    "roster "
                            + roster
                            + ", floor "
                            + floorFraction
                            + ", lag "
                            + lagWindows
                            + ", window "
                            + windowLength);
        }
    }

    /** The number of the window that a time lies in. */
    public long windowAt(Instant time) {
        return Math.floorDiv(time.toEpochMilli(), windowLength.toMillis());
    }

    /** When a window begins. */
    public Instant windowStart(long number) {
        return Instant.ofEpochMilli(number * windowLength.toMillis());
    }

    /** A member's part where nothing is agreed on. */
    public double minShare() {
        return floorFraction / roster.size();
    }

    /** The names in the one order in which all count them. */
    List<String> orderedNames() {
        return roster.stream().sorted().toList();
    }
}
