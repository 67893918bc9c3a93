package cypressglade.share;

import java.util.Map;
import java.util.Set;

/**
 * One member's report of one window that has ended. A report never changes, so all members that
 * hold it hold the same, and members that calculate from the same reports get the same result.
 *
 * @param name of the member, one of the roster
 * @param window number of the window, as {@link SharingSettings#windowAt} counts
 * @param aliveMembers the members, itself included, that the member held alive when the window
 *     ended
 * @param demand units that clients asked of the member in the window, by key ({@link ShareKey}: a
 *     volume, or a generation of a cold node); keys with a demand of 0 are left out
 */
public record Report(
        String name, long window, Set<String> aliveMembers, Map<String, Double> demand) {
    /** Copies the collections. */
    public Report {
        aliveMembers = Set.copyOf(aliveMembers);
        demand = Map.copyOf(demand);
    }
}
