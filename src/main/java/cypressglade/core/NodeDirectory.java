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
 * The nodes of the latest node list. Ids are stable while addresses change, so the directory gives
 * each id a number, by which the scheduling policy and the links know the node. The links look a
 * node up here just before the first byte of an attempt. Safe for use by several threads.
 */
public final class NodeDirectory {
    /**
     * A node of the list.
     *
     * @param id stable id of the node
     * @param address where it serves requests; null is allowed where the node is gone
     * @param shard shard that the node holds
     * @param state whether it may get new requests
     * @param wallClockStart when its process started, as discovery reported it by the wall clock
     * @param monotonicStart the same by {@link MonotonicClock}
     */
    public record ListedNode(
            String id,
            InetSocketAddress address,
            int shard,
            State state,
            Instant wallClockStart,
            Instant monotonicStart) {}

    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, ListedNode> nodes = new HashMap<>();
    private final StartTimeConverter startTimes = new StartTimeConverter();
    private long version;
    private long lastNumber;

    /** Applies a list, or a change to it; returns it in the scheduling policy's form. */
    public synchronized List<NodeEntry> update(NodeList list) {
        version = list.version();
        Instant now = MonotonicClock.now();
        Instant wall = Instant.now();
        Set<Long> listed = new HashSet<>();
        List<NodeEntry> entries = new ArrayList<>();
        for (NodeList.Entry entry : list.entries()) {
            long number = numbers.computeIfAbsent(entry.id(), id -> ++lastNumber);
            listed.add(number);
            Instant start = startTimes.toMonotonic(entry.id(), entry.started(), now, wall);
            nodes.put(
                    number,
                    new ListedNode(
                            entry.id(),
                            entry.address(),
                            entry.shard(),
                            entry.state(),
                            entry.started(),
                            start));
            entries.add(
                    new NodeEntry(
                            number,
                            entry.zone(),
                            entry.state(),
                            entry.shard(),
                            entry.weight(),
                            Micros.of(start),
                            entry.kind()));
        }
        if (list.full()) {
            nodes.keySet().retainAll(listed);
        }
        nodes.values().removeIf(node -> node.state() == State.GONE);
        // Replaced nodes come back under new ids all the time, so these tables must not grow.
        numbers.values().retainAll(nodes.keySet());
        startTimes.retain(numbers.keySet());
        return entries;
    }

    static ListKind listKind(NodeList list) {
        return list.full() ? ListKind.FULL : ListKind.DELTA;
    }

    /** The number of the node that has the id now; empty where the list has no such id. */
    synchronized OptionalLong numberOf(String id) {
        Long number = numbers.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /**
     * Pairs the scheduling policy's views with the nodes of the list; views of nodes that have left
     * the list are omitted.
     */
    synchronized List<NodeStatus> statuses(List<NodeView> views) {
        return views.stream()
                .filter(view -> nodes.containsKey(view.node()))
                .map(view -> new NodeStatus(nodes.get(view.node()), view))
                .toList();
    }

    /**
     * {@link #statuses}, followed by the listed nodes that the scheduling policy has no view of,
     * such as drained ones.
     */
    synchronized List<NodeStatus> allStatuses(List<NodeView> views) {
        List<NodeStatus> all = new ArrayList<>(statuses(views));
        Set<Long> seen = views.stream().map(NodeView::node).collect(Collectors.toSet());
        nodes.forEach(
                (number, node) -> {
                    if (!seen.contains(number)) {
                        all.add(new NodeStatus(node, NodeView.unknown(number, node.shard())));
                    }
                });
        return all;
    }

    /** How many nodes have a number. */
    synchronized int size() {
        return numbers.size();
    }

    /** The version of the latest list; 0 before the first. */
    public synchronized long version() {
        return version;
    }

    /** The node with this number, if it may get work now; empty if it is drained or not listed. */
    public synchronized Optional<ListedNode> findReady(long number) {
        return Optional.ofNullable(nodes.get(number)).filter(node -> node.state() == State.READY);
    }

    /** Whether a shard accepts no work because all nodes that hold it are draining. */
    public synchronized boolean isDraining(int shard) {
        Set<State> states =
                nodes.values().stream()
                        .filter(node -> node.shard() == shard)
                        .map(ListedNode::state)
                        .collect(Collectors.toSet());
        return states.contains(State.DRAINING) && !states.contains(State.READY);
    }
}
