package cypressglade.share;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * The settings of limit sharing, from the operators' file; they have to be the same at every
 * member.
 *
 * @param roster names of all members that may ever share, 1 to {@link #MAX_NAMES}
 * @param floorFraction the fraction of each limit that is allotted evenly to the whole roster
 *     whatever is reported, over 0 and at most 1
 * @param lagWindows windows after its end within which a report has to reach all members, at least
 *     1
 * @param windowLength duration of a window, at least a millisecond
 */
public record SharingSettings(
        Set<String> roster, double floorFraction, int lagWindows, Duration windowLength) {
    /** Longest roster: sets of its members are sent as the bits of a {@code long}. */
    public static final int MAX_NAMES = 64;

    /**
     * Checks the ranges and copies the roster.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
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

    /** The number of the window that a time lies in; windows are counted from the epoch. */
    public long windowAt(Instant time) {
        return Math.floorDiv(time.toEpochMilli(), windowLength.toMillis());
    }

    /** When the window of this number begins. */
    public Instant windowStart(long number) {
        return Instant.ofEpochMilli(number * windowLength.toMillis());
    }

    /** A member's share where there is no agreement. */
    public double minShare() {
        return floorFraction / roster.size();
    }

    /** The roster's names, sorted; their positions are the bits of sets that are sent. */
    List<String> orderedNames() {
        return roster.stream().sorted().toList();
    }
}
