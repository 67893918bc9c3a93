package cypressglade.share;

import java.util.Map;

/**
 * The fractions of the shared limits that one member may use in one window.
 *
 * @param window number of the window, as {@link SharingSettings#windowAt} counts
 * @param shares this member's share by key ({@link ShareKey}), over 0 and at most 1, for each key
 *     in the reports of the agreed members
 * @param otherVolumesShare share of each volume that is not in {@code shares}
 * @param otherColdNodesShare share of each cold node that is not in {@code shares}
 * @param agreedMembers how many members reported the same set of live members; 0 if there is no
 *     agreement, in which case every share is the floor
 */
public record Allocation(
        long window,
        Map<String, Double> shares,
        double otherVolumesShare,
        double otherColdNodesShare,
        int agreedMembers) {
    /** Copies the shares. */
    public Allocation {
        shares = Map.copyOf(shares);
    }
}
