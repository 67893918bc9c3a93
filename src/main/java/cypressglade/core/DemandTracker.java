package cypressglade.core;

import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Units that this instance was asked for, of what the schedulers of a fleet share: by volume under
 * a limit, and by shard. Kept from the first {@link #takeDemand} on, and by the engine's thread
 * alone.
 */
public final class DemandTracker {
    /**
     * Volumes and shards beyond that are not reckoned: their requests still go by the part of the
     * rest.
     */
    private static final int MOST = 4096;

    private final Map<Long, Double> volumes = new HashMap<>();
    private final Map<Integer, Double> shards = new HashMap<>();
    private boolean kept;

    DemandTracker() {}

    /**
     * Demand since the last look.
     *
     * @param unitsByVolume units by volume
     * @param unitsByColdNode units by cold node
     */
    public record Demand(Map<Long, Double> unitsByVolume, Map<ColdNode, Double> unitsByColdNode) {}

    /** A cold node: its id, and its start in microseconds of the epoch. */
    public record ColdNode(String id, long startedUs) {}

    void add(Request request, boolean limited) {
        if (kept && limited) {
            add(volumes, request.volume(), request.units());
        }
        if (kept && request.shard() >= 0) {
            add(shards, request.shard(), request.units());
        }
    }

    private static <K> void add(Map<K, Double> to, K key, double units) {
        if (to.size() < MOST || to.containsKey(key)) {
            to.merge(key, units, Double::sum);
        }
    }

    /**
     * What was asked since the last call; cold are those nodes to which the module sends by their
     * warmth.
     */
    Demand takeDemand(List<NodeStatus> facts) {
        kept = true;
        Map<ColdNode, Double> cold = new HashMap<>();
        facts.stream()
                .filter(fact -> isCold(fact.view()))
                .forEach(
                        fact ->
                                cold.put(
                                        coldNode(fact),
                                        shards.getOrDefault(fact.view().shard(), 0.0)));
        Demand demand = new Demand(Map.copyOf(volumes), cold);
        volumes.clear();
        shards.clear();
        return demand;
    }

    static boolean isCold(NodeView view) {
        return view.ready() && view.coldRoom() < Double.MAX_VALUE;
    }

    static ColdNode coldNode(NodeStatus fact) {
        return new ColdNode(fact.node().id(), fact.view().startedUs());
    }
}
