package cypressglade.core;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What was told of the nodes last. Ids are stable and addresses are not, so the module knows a node by a
 * number given to its id here. The links ask here before the first byte of an attempt.
 */
public final class NodeDirectory {
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, NodeList.Entry> nodes = new HashMap<>();
    private long version;

    /** Takes in a list; returns the module's form of it. */
    synchronized List<NodeEntry> update(NodeList list) {
        version = list.version();
        Set<Long> named = new HashSet<>();
        List<NodeEntry> entries = new ArrayList<>();
        for (NodeList.Entry entry : list.entries()) {
            long number = numbers.computeIfAbsent(entry.id(), id -> (long) numbers.size() + 1);
            named.add(number);
            nodes.put(number, entry);
            entries.add(new NodeEntry(number, entry.zone(), entry.state(), entry.cell(), entry.weight(),
                    Micros.of(entry.started()), entry.kind()));
        }
        if (list.full()) {
            nodes.keySet().retainAll(named);
        }
        nodes.values().removeIf(entry -> entry.state() == State.GONE);
        return entries;
    }

    static ListKind kind(NodeList list) {
        return list.full() ? ListKind.FULL : ListKind.DELTA;
    }

    public synchronized long version() {
        return version;
    }

    /** Where a node listens, if work may start there now: it is known, and neither draining nor gone. */
    public synchronized Optional<NodeList.Entry> ready(long node) {
        return Optional.ofNullable(nodes.get(node)).filter(entry -> entry.state() == State.READY);
    }

    /** Whether any node of the shard is told to drain while none is ready. */
    public synchronized boolean draining(int shard) {
        return nodes.values().stream().anyMatch(node -> node.cell() == shard && node.state() == State.DRAINING)
                && nodes.values().stream().noneMatch(node -> node.cell() == shard && node.state() == State.READY);
    }
}
