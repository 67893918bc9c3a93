package cypressglade.core;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.State;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What was told of the nodes last. Ids are stable and addresses are not, so the module knows a node
 * by a number given to its id here. The links ask here before the first byte of an attempt.
 */
public final class NodeDirectory {
    /**
     * A node that is in the list.
     *
     * @param wallClockStart since when its process runs, as discovery told it: by the wall clock
     * @param monotonicStart the same on the clock of {@link MonotonicClock}
     */
    public record ListedNode(
            String id,
            InetSocketAddress address,
            int shard,
            State state,
            Instant wallClockStart,
            Instant monotonicStart) {}

    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, NodeDirectory.ListedNode> nodes = new HashMap<>();
    private final StartTimeConverter starts = new StartTimeConverter();
    private long version;
    private long lastNumber;

    /** Takes in a list; returns the module's form of it. */
    public synchronized List<NodeEntry> update(NodeList list) {
        version = list.version();
        Instant now = MonotonicClock.now();
        Instant wall = Instant.now();
        Set<Long> named = new HashSet<>();
        List<NodeEntry> entries = new ArrayList<>();
        for (NodeList.Entry entry : list.entries()) {
            long number = numbers.computeIfAbsent(entry.id(), id -> ++lastNumber);
            named.add(number);
            Instant runsSince = starts.toMonotonic(entry.id(), entry.started(), now, wall);
            nodes.put(
                    number,
                    new NodeDirectory.ListedNode(
                            entry.id(),
                            entry.address(),
                            entry.shard(),
                            entry.state(),
                            entry.started(),
                            runsSince));
            entries.add(
                    new NodeEntry(
                            number,
                            entry.zone(),
                            entry.state(),
                            entry.shard(),
                            entry.weight(),
                            Micros.of(runsSince),
                            entry.kind()));
        }
        if (list.full()) {
            nodes.keySet().retainAll(named);
        }
        nodes.values().removeIf(node -> node.state() == State.GONE);
        numbers.values()
                .retainAll(nodes.keySet()); // replaced nodes come with new ids, all day long
        starts.retain(numbers.keySet());
        return entries;
    }

    static ListKind listKind(NodeList list) {
        return list.full() ? ListKind.FULL : ListKind.DELTA;
    }

    /** The number of the node that has the id now. */
    synchronized OptionalLong numberOf(String id) {
        Long number = numbers.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /**
     * The module's views by the ids of their nodes; one that left the list meanwhile is left out.
     */
    synchronized List<NodeStatus> statuses(List<NodeView> views) {
        return views.stream()
                .filter(view -> nodes.containsKey(view.node()))
                .map(view -> new NodeStatus(nodes.get(view.node()), view))
                .toList();
    }

    /**
     * The same, and after them those of the list that the module keeps nothing of, such as drained
     * ones.
     */
    synchronized List<NodeStatus> allStatuses(List<NodeView> views) {
        List<NodeStatus> all = new ArrayList<>(statuses(views));
        Set<Long> seen = views.stream().map(NodeView::node).collect(Collectors.toSet());
        nodes.forEach(
                (number, known) -> {
                    if (!seen.contains(number)) {
                        all.add(new NodeStatus(known, NodeView.unknown(number, known.shard())));
                    }
                });
        return all;
    }

    /** How many nodes are known. */
    synchronized int size() {
        return numbers.size();
    }

    public synchronized long version() {
        return version;
    }

    /** A node, if work may start there now: it is known, and neither draining nor gone. */
    public synchronized Optional<NodeDirectory.ListedNode> findReady(long node) {
        return Optional.ofNullable(nodes.get(node)).filter(known -> known.state() == State.READY);
    }

    /** Whether a shard can take no work because what holds it drains. */
    public synchronized boolean isDraining(int shard) {
        Set<State> states =
                nodes.values().stream()
                        .filter(node -> node.shard() == shard)
                        .map(NodeDirectory.ListedNode::state)
                        .collect(Collectors.toSet());
        return states.contains(State.DRAINING) && !states.contains(State.READY);
    }
}
