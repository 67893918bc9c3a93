package cypressglade.core;

import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Units that this instance was asked for, of what the schedulers of a fleet share: by volume under
 * a limit, and by shard. Kept from the first {@link #take} on, and by the engine's thread alone.
 */
public final class Asked {
    /**
     * Volumes and shards beyond that are not reckoned: their requests still go by the part of the
     * rest.
     */
    private static final int MOST = 4096;

    private final Map<Long, Double> volumes = new HashMap<>();
    private final Map<Integer, Double> shards = new HashMap<>();
    private boolean kept;

    Asked() {}

    /**
     * Demand since the last look.
     *
     * @param volumes units by volume
     * @param cold units by cold node
     */
    public record Demand(Map<Long, Double> volumes, Map<ColdNode, Double> cold) {}

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
    Demand take(List<NodeFact> facts) {
        kept = true;
        Map<ColdNode, Double> cold = new HashMap<>();
        facts.stream()
                .filter(fact -> cold(fact.view()))
                .forEach(
                        fact ->
                                cold.put(
                                        node(fact), shards.getOrDefault(fact.view().shard(), 0.0)));
        Demand demand = new Demand(Map.copyOf(volumes), cold);
        volumes.clear();
        shards.clear();
        return demand;
    }

    static boolean cold(NodeView view) {
        return view.ready() && view.coldCapacityUnits() < Double.MAX_VALUE;
    }

    static ColdNode node(NodeFact fact) {
        return new ColdNode(fact.known().id(), fact.view().startedUs());
    }
}
