package cypressglade.core;

import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sums the cost units that clients requested from this instance, for the limits that the instances
 * share: by volume with a rate limit, and by shard. Nothing is summed before the first {@link
 * #takeDemand}. Owned by the engine thread; not safe for use by other threads.
 */
public final class DemandTracker {
    /**
     * Bounds the memory of each map. Demand on further volumes and shards is not summed; their
     * requests still run under the share of the volumes that are not named.
     */
    private static final int MAX_KEYS = 4096;

    private final Map<Long, Double> unitsByVolume = new HashMap<>();
    private final Map<Integer, Double> unitsByShard = new HashMap<>();
    private boolean isTracking;

    DemandTracker() {}

    /**
     * Demand since the previous call of {@link #takeDemand}.
     *
     * @param unitsByVolume requested cost units, by the number of the volume
     * @param unitsByColdNode requested cost units of the node's shard, by cold node
     */
    public record Demand(Map<Long, Double> unitsByVolume, Map<ColdNode, Double> unitsByColdNode) {}

    /**
     * One run of a cold node.
     *
     * @param id the node's id in the node list
     * @param startedUs when its process started, in microseconds since the epoch
     */
    public record ColdNode(String id, long startedUs) {}

    void add(Request request, boolean hasRateLimit) {
        if (isTracking && hasRateLimit) {
            add(unitsByVolume, request.volume(), request.units());
        }
        if (isTracking && request.shard() >= 0) {
            add(unitsByShard, request.shard(), request.units());
        }
    }

    private static <K> void add(Map<K, Double> sums, K key, double units) {
        if (sums.size() < MAX_KEYS || sums.containsKey(key)) {
            sums.merge(key, units, Double::sum);
        }
    }

    /**
     * Returns the demand since the previous call and starts again from zero. Cold nodes are those
     * that the scheduling policy sends only a limited load to.
     */
    Demand takeDemand(List<NodeStatus> nodes) {
        isTracking = true;
        Map<ColdNode, Double> unitsByColdNode = new HashMap<>();
        nodes.stream()
                .filter(status -> isCold(status.view()))
                .forEach(
                        status ->
                                unitsByColdNode.put(
                                        coldNode(status),
                                        unitsByShard.getOrDefault(status.view().shard(), 0.0)));
        Demand demand = new Demand(Map.copyOf(unitsByVolume), unitsByColdNode);
        unitsByVolume.clear();
        unitsByShard.clear();
        return demand;
    }

    static boolean isCold(NodeView view) {
        return view.ready() && view.coldCapacityUnits() < Double.MAX_VALUE;
    }

    static ColdNode coldNode(NodeStatus status) {
        return new ColdNode(status.node().id(), status.view().startedUs());
    }
}
