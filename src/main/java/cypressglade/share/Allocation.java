package cypressglade.share;

import java.util.Map;

/**
 * What one member may take of the whole in a window.
 *
 * @param shares by key, of the keys that anybody reported
 * @param otherVolumeShare of every other volume
 * @param otherColdNodeShare of every other cold node
 * @param agreedMembers how many reported the same whom they hear; 0 where that is not known, and
 *     all are floors
 */
public record Allocation(
        long window,
        Map<String, Double> shares,
        double otherVolumeShare,
        double otherColdNodeShare,
        int agreedMembers) {
    public Allocation {
        shares = Map.copyOf(shares);
    }
}
