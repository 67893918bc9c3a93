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
 * Drains by hand over what the sources tell. A drain holds for one run of one node, whatever the
 * sources say of it, until it is taken back, the node leaves the list, or it comes back with a
 * later start. The list as told is kept, so that taking a drain back shows what the sources say by
 * then.
 *
 * <p>The lock holds from the decision to the end of {@code out}, so that a list from a source and
 * an order of an operator cannot overtake each other; {@code out} must not block.
 */
public final class ManualDrains {
    private static final int MOST_COMMANDS = 256;
    private static final int MOST_NAMED = 5;
    private static final String NODE = "node ";
    private static final String EXCLUDE = "exclude";
    private static final String INCLUDE = "include";
    private static final String DRAIN = "drain ";
    private static final String UNDRAIN = "undrain";

    private final Consumer<NodeList> out;
    private final ManualDrains.DecisionListener decided;
    private final Map<String, Entry> told = new LinkedHashMap<>();
    private final Map<String, ManualDrain> drains = new LinkedHashMap<>();

    /**
     * Nodes out by the operators' door: held over restarts and lists that lack them, until taken
     * back.
     */
    private final Set<String> bans = new LinkedHashSet<>();

    private final LinkedHashMap<String, Result> commands = new LinkedHashMap<>();
    private long version;

    /** What became of an order. */
    public enum Kind {
        DONE,
        ALREADY,
        UNKNOWN_NODE,
        AMBIGUOUS,
        ONLY_NODE
    }

    /**
     * The answer to an order.
     *
     * @param node the id that the order came to mean, or the name as given
     * @param names of nodes to choose from, or the shard that would be left without a node
     */
    public record Result(Kind kind, String node, List<String> names) {}

    /**
     * An order.
     *
     * @param commandId a name that its giver made up: an order under a name that was carried out is
     *     not again
     * @param node a node's id, or the beginning of just one
     * @param isForced also where no other node holds the shard
     */
    public record Order(
            String commandId, String node, String operatorName, String reason, boolean isForced) {}

    /** Hears what was decided here, so that others can be told of it; must not block. */
    public interface DecisionListener {
        /** A subject, as {@code node s-1}, and what was decided on it, as {@code exclude}. */
        void onDecision(String subject, String word);
    }

    /** Drains over nothing yet; what holds goes to {@code out}. */
    public ManualDrains(Consumer<NodeList> out) {
        this(out, (subject, word) -> {});
    }

    /** The same, for one whose decisions others share. */
    public ManualDrains(Consumer<NodeList> out, ManualDrains.DecisionListener decided) {
        this.out = out;
        this.decided = decided;
    }

    /**
     * Takes drains of a former life, before any list; those of runs that are over end as lists tell
     * it.
     */
    public synchronized void restoreDrains(Collection<ManualDrain> kept) {
        kept.forEach(drain -> drains.put(drain.node(), drain));
    }

    /** Takes what a source told, and hands on what holds. */
    public synchronized void updateNodes(NodeList list) {
        version = list.version();
        Set<String> before = Set.copyOf(told.keySet());
        if (list.full()) {
            told.clear();
        }
        for (Entry entry : list.entries()) {
            if (entry.state() == State.GONE) {
                told.remove(entry.id());
            } else {
                told.put(entry.id(), entry);
            }
        }
        drains.values()
                .removeIf(
                        drain -> {
                            // The first list after a restart may be the configuration's, older or
                            // shorter than the sources':
                            // a node has left only if it was there in this life.
                            Entry entry = told.get(drain.node());
                            return entry == null
                                    ? before.contains(drain.node())
                                    : entry.started().isAfter(drain.started());
                        });
        out.accept(
                new NodeList(
                        list.version(),
                        list.full(),
                        list.entries().stream().map(this::held).toList()));
    }

    /** Whether {@code one} is another node of the entry's cell, and ready. */
    private boolean standsIn(Entry one, Entry entry) {
        return one.shard() == entry.shard()
                && !one.id().equals(entry.id())
                && held(one).state() == State.READY;
    }

    private Entry held(Entry entry) {
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

    /** Drains a node; once this returns DONE nothing new starts there. */
    public synchronized Result drain(Order order, Instant now) {
        return once(
                order,
                () -> {
                    Result named = named(order.node());
                    if (named.kind() != Kind.DONE) {
                        return named;
                    }
                    Entry entry = told.get(named.node());
                    if (drains.containsKey(entry.id())) {
                        return new Result(Kind.ALREADY, entry.id(), List.of());
                    }
                    boolean other = told.values().stream().anyMatch(one -> standsIn(one, entry));
                    if (!other && entry.state() == State.READY && !order.isForced()) {
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
                    show(entry);
                    decided.onDecision(DRAIN + entry.id(), DRAIN + entry.started().toEpochMilli());
                    return named;
                });
    }

    /** Takes a drain back: the node is what the sources say it is. */
    public synchronized Result undrain(Order order) {
        return once(
                order,
                () -> {
                    Result named =
                            drains.containsKey(order.node())
                                    ? new Result(Kind.DONE, order.node(), List.of())
                                    : named(order.node());
                    if (named.kind() != Kind.DONE) {
                        return named;
                    }
                    if (drains.remove(named.node()) == null) {
                        return new Result(Kind.ALREADY, named.node(), List.of());
                    }
                    showIfTold(named.node());
                    decided.onDecision(DRAIN + named.node(), UNDRAIN);
                    return named;
                });
    }

    private Result once(Order order, Supplier<Result> act) {
        Result before = commands.get(order.commandId());
        if (before != null) {
            return new Result(Kind.ALREADY, before.node(), before.names());
        }
        Result result = act.get();
        if (result.kind() == Kind.DONE) {
            commands.put(order.commandId(), result);
            if (commands.size() > MOST_COMMANDS) {
                commands.remove(commands.keySet().iterator().next());
            }
        }
        return result;
    }

    private void showIfTold(String node) {
        if (told.containsKey(node)) {
            show(told.get(node));
        }
    }

    /**
     * Takes what was decided at another member, in the words of {@link
     * ManualDrains.DecisionListener}: it holds here from now on, whether the node is listed here
     * yet or not. What it cannot read changes nothing.
     *
     * @return whether it is about nodes
     */
    public synchronized boolean applyDecision(
            String subject, String word, String by, Instant when) {
        boolean node = subject.startsWith(NODE);
        String id = subject.substring(subject.indexOf(' ') + 1);
        if (node && word.equals(EXCLUDE)) {
            bans.add(id);
        } else if (node && word.equals(INCLUDE)) {
            bans.remove(id);
        } else if (subject.startsWith(DRAIN) && word.equals(UNDRAIN)) {
            drains.remove(id);
        } else if (subject.startsWith(DRAIN) && word.matches(DRAIN + "[0-9]{1,15}")) {
            Instant run = Instant.ofEpochMilli(Long.parseLong(word.substring(DRAIN.length())));
            if (told.containsKey(id) && told.get(id).started().isAfter(run)) {
                return true; // that run of it is over
            }
            drains.put(id, new ManualDrain(id, run, by, when, "", false));
        } else {
            return false;
        }
        showIfTold(id);
        return true;
    }

    private void show(Entry entry) {
        out.accept(new NodeList(version, false, List.of(held(entry))));
    }

    private Result named(String name) {
        if (told.containsKey(name)) {
            return new Result(Kind.DONE, name, List.of());
        }
        List<String> fits =
                told.keySet().stream()
                        .filter(id -> !name.isEmpty() && id.startsWith(name))
                        .sorted()
                        .toList();
        if (fits.size() == 1) {
            return new Result(Kind.DONE, fits.get(0), List.of());
        }
        return fits.isEmpty()
                ? unknown(name)
                : new Result(Kind.AMBIGUOUS, name, fits.stream().limit(MOST_NAMED).toList());
    }

    /** No such node: the answer names some that are listed, to choose from. */
    private Result unknown(String name) {
        return new Result(
                Kind.UNKNOWN_NODE,
                name,
                told.keySet().stream().sorted().limit(MOST_NAMED).toList());
    }

    /**
     * Takes bans of a former life or of the process that this one upgrades, beside those that hold.
     */
    public synchronized void restoreBans(Collection<String> kept) {
        bans.addAll(kept);
        kept.forEach(this::showIfTold);
    }

    /**
     * Takes the bans that the process beside this one has decided on, in place of those that held
     * here.
     */
    public synchronized void setBans(Collection<String> decidedBeside) {
        Set<String> changed = new LinkedHashSet<>(bans);
        changed.addAll(decidedBeside);
        bans.clear();
        bans.addAll(decidedBeside);
        changed.forEach(this::showIfTold);
    }

    /**
     * Bans a node by its exact id: nothing new starts there once this returns, whatever later lists
     * say of it and however often it restarts, until {@link #include}. A ban that holds is ALREADY,
     * listed or not; an id that is neither banned nor listed is UNKNOWN_NODE, and changes nothing.
     */
    public synchronized Result exclude(String node) {
        if (bans.contains(node)) {
            return new Result(Kind.ALREADY, node, List.of());
        }
        Entry entry = told.get(node);
        if (entry == null) {
            return unknown(node);
        }
        bans.add(node);
        show(entry);
        decided.onDecision(NODE + node, EXCLUDE);
        return new Result(Kind.DONE, node, List.of());
    }

    /**
     * Takes a ban back, however many times it was given: the node is what the sources say of it.
     */
    public synchronized Result include(String node) {
        if (!bans.remove(node)) {
            return told.containsKey(node)
                    ? new Result(Kind.ALREADY, node, List.of())
                    : unknown(node);
        }
        showIfTold(node);
        decided.onDecision(NODE + node, INCLUDE);
        return new Result(Kind.DONE, node, List.of());
    }

    /** The bans that hold, in the order in which they were given. */
    public synchronized List<String> bans() {
        return List.copyOf(bans);
    }

    /**
     * Takes in the views: a drain is done when nothing is out or held there. Returns the newly
     * done.
     */
    public synchronized List<ManualDrain> markFinishedDrains(List<NodeStatus> facts) {
        Set<String> busy =
                facts.stream()
                        .filter(fact -> fact.view().inFlightUnits() > 0 || fact.view().queued() > 0)
                        .map(fact -> fact.node().id())
                        .collect(Collectors.toSet());
        List<ManualDrain> done =
                drains.values().stream()
                        .filter(drain -> !drain.done() && !busy.contains(drain.node()))
                        .map(ManualDrain::asDone)
                        .toList();
        done.forEach(drain -> drains.put(drain.node(), drain));
        return done;
    }

    /** What holds now, in the order in which it was ordered. */
    public synchronized List<ManualDrain> list() {
        return List.copyOf(drains.values());
    }
}
