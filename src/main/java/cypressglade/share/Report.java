package cypressglade.share;

import java.util.Map;
import java.util.Set;

/**
 * What one member says of one window that is over. It never changes: two that hold it hold the
 * same, so whoever reckons from the same reports comes to the same.
 *
 * @param name of the member, one of the roster
 * @param window its number, by the time of day
 * @param aliveMembers whom the member held alive when the window ended, itself among them
 * @param demand units asked of it in the window, by key (a volume, or a cold node's start); what is
 *     0 is left out
 */
public record Report(
        String name, long window, Set<String> aliveMembers, Map<String, Double> demand) {
    public Report {
        aliveMembers = Set.copyOf(aliveMembers);
        demand = Map.copyOf(demand);
    }
}
