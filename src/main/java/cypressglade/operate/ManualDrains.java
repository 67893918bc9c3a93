package cypressglade.operate;

import cypressglade.core.NodeList;
import cypressglade.core.NodeList.Entry;
import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler.State;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Manual drains and bans of storage nodes, applied to the node lists that discovery sources
 * announce. A drain applies to one run of one node, whatever state the sources announce, until an
 * operator removes it, the node leaves the list, or the node returns with a later start time. A ban
 * applies to every run of a node until an operator removes it. The announced list is stored, so
 * that removing a drain or a ban restores the state that the sources announce at that moment.
 *
 * <p>Safe for use by several threads. The lock is held from a decision until the list consumer has
 * returned, so that a list from a source and an operator's order reach it in the order in which
 * they were applied; the consumer must not block.
 */
public final class ManualDrains {
    private static final int MAX_REMEMBERED_COMMANDS = 256;
    private static final int MAX_SUGGESTED_NODES = 5;
    private static final String NODE_PREFIX = "node ";
    private static final String EXCLUDE = "exclude";
    private static final String INCLUDE = "include";
    private static final String DRAIN_PREFIX = "drain ";
    private static final String UNDRAIN = "undrain";

    private final Consumer<NodeList> effectiveLists;
    private final DecisionListener decisionListener;
    private final Map<String, Entry> announced = new LinkedHashMap<>();
    private final Map<String, ManualDrain> drains = new LinkedHashMap<>();

    /** Banned ids. They outlast restarts of the nodes and lists without them. */
    private final Set<String> bans = new LinkedHashSet<>();

    private final LinkedHashMap<String, Result> commands = new LinkedHashMap<>();
    private long version;

    /** The outcome of an order. */
    public enum Kind {
        /** The order was carried out. */
        DONE,
        /** Nothing changed: the order was carried out before, or its effect holds already. */
        ALREADY,
        /** Nothing changed: no listed node has this id or prefix. */
        UNKNOWN_NODE,
        /** Nothing changed: several listed nodes have this prefix. */
        AMBIGUOUS,
        /** Nothing changed: no other ready node serves the shard, and the order is not forced. */
        ONLY_NODE
    }

    /**
     * The result of an order.
     *
     * @param kind the outcome
     * @param node the id that the order resolved to, or the name as given
     * @param names for UNKNOWN_NODE and AMBIGUOUS, up to {@value #MAX_SUGGESTED_NODES} node ids to
     *     choose from; for ONLY_NODE, the number of the shard that would have no node left; empty
     *     otherwise
     */
    public record Result(Kind kind, String node, List<String> names) {}

    /**
     * An operator's order to drain a node or to remove its drain.
     *
     * @param commandId idempotency key, made up by the sender: while it is among the last {@value
     *     #MAX_REMEMBERED_COMMANDS} that were carried out, a repeated order has no effect
     * @param node a node's id, or a prefix of exactly one listed id
     * @param operatorName who gave the order; may be empty
     * @param reason the operator's reason; may be empty
     * @param isForced whether to drain also the only ready node of a shard
     */
    public record Order(
            String commandId, String node, String operatorName, String reason, boolean isForced) {}

    /** Receives the decisions made here, for announcement to other instances; must not block. */
    public interface DecisionListener {
        /**
         * Called under the lock after each decision.
         *
         * @param subject {@code "node ID"} for bans, {@code "drain ID"} for drains
         * @param decision {@code exclude} or {@code include} for bans; {@code undrain}, or {@code
         *     drain} with the start of the drained run in milliseconds since 1970, for drains
         */
        void onDecision(String subject, String decision);
    }

    /** Creates an empty state whose decisions are not announced to other instances. */
    public ManualDrains(Consumer<NodeList> effectiveLists) {
        this(effectiveLists, (subject, decision) -> {});
    }

    /**
     * Creates an empty state.
     *
     * @param effectiveLists receives node lists with drained and banned nodes as DRAINING; must not
     *     block
     * @param decisionListener receives the decisions made here
     */
    public ManualDrains(Consumer<NodeList> effectiveLists, DecisionListener decisionListener) {
        this.effectiveLists = effectiveLists;
        this.decisionListener = decisionListener;
    }

    /**
     * Restores the drains of a former process; call before the first list. Drains of runs that have
     * ended are removed as node lists show it.
     */
    public synchronized void restoreDrains(Collection<ManualDrain> restored) {
        restored.forEach(drain -> drains.put(drain.node(), drain));
    }

    /** Applies a source's list and passes it on with drained and banned nodes as DRAINING. */
    public synchronized void updateNodes(NodeList list) {
        version = list.version();
        Set<String> known = Set.copyOf(announced.keySet());
        if (list.full()) {
            announced.clear();
        }
        for (Entry entry : list.entries()) {
            if (entry.state() == State.GONE) {
                announced.remove(entry.id());
            } else {
                announced.put(entry.id(), entry);
            }
        }
        drains.values()
                .removeIf(
                        drain -> {
                            // The first list after a restart may come from the configuration and
                            // be older or shorter than the sources' list, so a node has left
                            // only if this process has seen it listed.
                            Entry entry = announced.get(drain.node());
                            return entry == null
                                    ? known.contains(drain.node())
                                    : entry.started().isAfter(drain.started());
                        });
        effectiveLists.accept(
                new NodeList(
                        list.version(),
                        list.full(),
                        list.entries().stream().map(this::effectiveEntry).toList()));
    }

    /** Whether {@code one} is another node of the entry's shard, and ready. */
    private boolean canReplace(Entry one, Entry entry) {
        return one.shard() == entry.shard()
                && !one.id().equals(entry.id())
                && effectiveEntry(one).state() == State.READY;
    }

    private Entry effectiveEntry(Entry entry) {
        return entry.state() == State.READY
                        && (drains.containsKey(entry.id()) || bans.contains(entry.id()))
                ? new Entry(
                        entry.id(),
                        entry.address(),
                        entry.zone(),
                        entry.kind(),
                        entry.shard(),
                        State.DRAINING,
                        entry.weight(),
                        entry.started())
                : entry;
    }

    /** Drains a node; after a result of DONE no new attempt starts there. */
    public synchronized Result drain(Order order, Instant now) {
        return executeOnce(
                order,
                () -> {
                    Result resolved = resolve(order.node());
                    if (resolved.kind() != Kind.DONE) {
                        return resolved;
                    }
                    Entry entry = announced.get(resolved.node());
                    if (drains.containsKey(entry.id())) {
                        return new Result(Kind.ALREADY, entry.id(), List.of());
                    }
                    boolean hasReplacement =
                            announced.values().stream().anyMatch(one -> canReplace(one, entry));
                    if (!hasReplacement && entry.state() == State.READY && !order.isForced()) {
                        return new Result(
                                Kind.ONLY_NODE,
                                entry.id(),
                                List.of(Integer.toString(entry.shard())));
                    }
                    drains.put(
                            entry.id(),
                            new ManualDrain(
                                    entry.id(),
                                    entry.started(),
                                    order.operatorName(),
                                    now,
                                    order.reason(),
                                    false));
                    publish(entry);
                    decisionListener.onDecision(
                            DRAIN_PREFIX + entry.id(),
                            DRAIN_PREFIX + entry.started().toEpochMilli());
                    return resolved;
                });
    }

    /** Removes a drain: the node has the state that the sources announce again. */
    public synchronized Result undrain(Order order) {
        return executeOnce(
                order,
                () -> {
                    Result resolved =
                            drains.containsKey(order.node())
                                    ? new Result(Kind.DONE, order.node(), List.of())
                                    : resolve(order.node());
                    if (resolved.kind() != Kind.DONE) {
                        return resolved;
                    }
                    if (drains.remove(resolved.node()) == null) {
                        return new Result(Kind.ALREADY, resolved.node(), List.of());
                    }
                    publishIfListed(resolved.node());
                    decisionListener.onDecision(DRAIN_PREFIX + resolved.node(), UNDRAIN);
                    return resolved;
                });
    }

    private Result executeOnce(Order order, Supplier<Result> act) {
        Result earlier = commands.get(order.commandId());
        if (earlier != null) {
            return new Result(Kind.ALREADY, earlier.node(), earlier.names());
        }
        Result result = act.get();
        if (result.kind() == Kind.DONE) {
            commands.put(order.commandId(), result);
            if (commands.size() > MAX_REMEMBERED_COMMANDS) {
                commands.remove(commands.keySet().iterator().next());
            }
        }
        return result;
    }

    private void publishIfListed(String node) {
        if (announced.containsKey(node)) {
            publish(announced.get(node));
        }
    }

    /**
     * Applies another member's decision, in the form of {@link DecisionListener}, whether or not
     * the node is listed here yet. An unreadable decision changes nothing.
     *
     * @param by the member that announced the decision
     * @param when the time of the decision
     * @return whether the decision was a readable one about a node
     */
    public synchronized boolean applyDecision(
            String subject, String decision, String by, Instant when) {
        boolean isNodeSubject = subject.startsWith(NODE_PREFIX);
        String id = subject.substring(subject.indexOf(' ') + 1);
        if (isNodeSubject && decision.equals(EXCLUDE)) {
            bans.add(id);
        } else if (isNodeSubject && decision.equals(INCLUDE)) {
            bans.remove(id);
        } else if (subject.startsWith(DRAIN_PREFIX) && decision.equals(UNDRAIN)) {
            drains.remove(id);
        } else if (subject.startsWith(DRAIN_PREFIX)
                && decision.matches(DRAIN_PREFIX + "[0-9]{1,15}")) {
            Instant run =
                    Instant.ofEpochMilli(Long.parseLong(decision.substring(DRAIN_PREFIX.length())));
            if (announced.containsKey(id) && announced.get(id).started().isAfter(run)) {
                return true; // the drained run has ended
            }
            drains.put(id, new ManualDrain(id, run, by, when, "", false));
        } else {
            return false;
        }
        publishIfListed(id);
        return true;
    }

    private void publish(Entry entry) {
        effectiveLists.accept(new NodeList(version, false, List.of(effectiveEntry(entry))));
    }

    /** Finds a listed node by its id or by a prefix of exactly one id. */
    private Result resolve(String name) {
        if (announced.containsKey(name)) {
            return new Result(Kind.DONE, name, List.of());
        }
        List<String> matches =
                announced.keySet().stream()
                        .filter(id -> !name.isEmpty() && id.startsWith(name))
                        .sorted()
                        .toList();
        if (matches.size() == 1) {
            return new Result(Kind.DONE, matches.get(0), List.of());
        }
        return matches.isEmpty()
                ? unknownNode(name)
                : new Result(
                        Kind.AMBIGUOUS, name, matches.stream().limit(MAX_SUGGESTED_NODES).toList());
    }

    /** The result for a name that no listed node has, with some listed ids as suggestions. */
    private Result unknownNode(String name) {
        return new Result(
                Kind.UNKNOWN_NODE,
                name,
                announced.keySet().stream().sorted().limit(MAX_SUGGESTED_NODES).toList());
    }

    /** Adds the bans of a former process or of the process that this one replaces in an upgrade. */
    public synchronized void restoreBans(Collection<String> restored) {
        bans.addAll(restored);
        restored.forEach(this::publishIfListed);
    }

    /** Replaces the bans by those of the other process of this instance, during an upgrade. */
    public synchronized void setBans(Collection<String> replacement) {
        Set<String> changed = new LinkedHashSet<>(bans);
        changed.addAll(replacement);
        bans.clear();
        bans.addAll(replacement);
        changed.forEach(this::publishIfListed);
    }

    /**
     * Bans a node by its exact id: no new attempt starts there once this returns, whatever later
     * lists announce and however often the node restarts, until {@link #include}. Returns ALREADY
     * for a banned id, listed or not, and UNKNOWN_NODE, without effect, for an id that is neither
     * banned nor listed.
     */
    public synchronized Result exclude(String node) {
        if (bans.contains(node)) {
            return new Result(Kind.ALREADY, node, List.of());
        }
        Entry entry = announced.get(node);
        if (entry == null) {
            return unknownNode(node);
        }
        bans.add(node);
        publish(entry);
        decisionListener.onDecision(NODE_PREFIX + node, EXCLUDE);
        return new Result(Kind.DONE, node, List.of());
    }

    /**
     * Removes a ban, however often it was ordered: the node has the state that the sources announce
     * again. Returns ALREADY for a listed id without a ban, and UNKNOWN_NODE for an id that is
     * neither banned nor listed.
     */
    public synchronized Result include(String node) {
        if (!bans.remove(node)) {
            return announced.containsKey(node)
                    ? new Result(Kind.ALREADY, node, List.of())
                    : unknownNode(node);
        }
        publishIfListed(node);
        decisionListener.onDecision(NODE_PREFIX + node, INCLUDE);
        return new Result(Kind.DONE, node, List.of());
    }

    /** The ids of the banned nodes, in the order of the bans. */
    public synchronized List<String> bans() {
        return List.copyOf(bans);
    }

    /**
     * Marks drains as done whose nodes have no units in flight and no queued requests.
     *
     * @return the drains that this call marked
     */
    public synchronized List<ManualDrain> markFinishedDrains(List<NodeStatus> statuses) {
        Set<String> busy =
                statuses.stream()
                        .filter(
                                status ->
                                        status.view().inFlightUnits() > 0
                                                || status.view().queued() > 0)
                        .map(status -> status.node().id())
                        .collect(Collectors.toSet());
        List<ManualDrain> done =
                drains.values().stream()
                        .filter(drain -> !drain.done() && !busy.contains(drain.node()))
                        .map(ManualDrain::asDone)
                        .toList();
        done.forEach(drain -> drains.put(drain.node(), drain));
        return done;
    }

    /** The drains in force, in the order in which they were ordered. */
    public synchronized List<ManualDrain> list() {
        return List.copyOf(drains.values());
    }
}
