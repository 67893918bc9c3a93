package cypressglade.lab;

import cypressglade.share.Report;
import cypressglade.share.Shares;
import cypressglade.share.Verdicts;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A fleet that shares a limit and verdicts, played window by window in virtual time with the code that the
 * program is to run ({@link Shares}, {@link Verdicts}), under a schedule of faults. After each window the
 * parts of all members are added up; after the last fault, quiet windows follow in which all is to agree
 * again.
 */
public final class ShareLab {
    private static final String KEY = "volume";
    private static final double FLOOR = 0.25;
    private static final int LAG = 2;
    /** Windows without a word after which a member is taken for dead; as many and the lag settle a fleet. */
    private static final int HEARD_WITHIN = 3;
    private static final int QUIET = 2 * HEARD_WITHIN + 2 * LAG;
    private static final int LATE_WINDOWS = 3;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<String> roster;
    private final List<Late> late = new ArrayList<>();

    /** What goes wrong. */
    public enum Kind { CUT_ONE_WAY, LOSE_HALF, LATE, TWICE, RESTART, DOWN, ODD_VIEW }

    /** A fault from a window on, for so many: on the link from one to the other, or of the first alone. */
    public record Fault(Kind kind, int one, int other, int from, int span) {
        boolean on(int window) {
            return window >= from && window < from + span;
        }
    }

    /**
     * What a play found.
     *
     * @param mostSum of all parts in any window; over 1 is an overshoot
     * @param lastSum in the last quiet window; under 1 the whole is not used
     * @param agreed whether all hold the same verdicts in the end
     * @param lost verdicts of which neither that nor a later one on its subject is held in the end
     */
    public record Found(double mostSum, double lastSum, boolean agreed, int lost) { }

    private record Late(int window, int to, List<Report> reports, List<Verdicts.Verdict> verdicts,
            String from) { }

    private static final class Node {
        private final String name;
        private Shares shares;
        private Verdicts verdicts;
        private final Map<String, Integer> heardAt = new HashMap<>();
        private boolean up = true;

        private Node(String name) {
            this.name = name;
        }
    }

    private ShareLab(int members, long seed) {
        random = new Random(seed);
        roster = IntStream.range(0, members).mapToObj(i -> "m-" + i).collect(Collectors.toUnmodifiableSet());
        for (int i = 0; i < members; i++) {
            Node node = new Node("m-" + i);
            start(node, -1, List.of());
            nodes.add(node);
        }
    }

    /** Plays a schedule on so many members. */
    public static Found play(int members, List<Fault> faults, long seed) {
        return new ShareLab(members, seed).run(faults);
    }

    private void start(Node node, int window, List<Verdicts.Verdict> kept) {
        node.shares = new Shares(node.name, roster, FLOOR, LAG, window);
        node.verdicts = new Verdicts(node.name, kept);
        node.heardAt.clear();
        node.up = true;
    }

    private Found run(List<Fault> faults) {
        int end = faults.stream().mapToInt(fault -> fault.from + fault.span).max().orElse(0) + QUIET;
        double most = 0;
        double last = 0;
        List<Verdicts.Verdict> given = new ArrayList<>();
        for (int window = 0; window <= end; window++) {
            int now = window;
            for (Fault fault : faults) {
                Node node = nodes.get(fault.one);
                if (fault.kind == Kind.RESTART && fault.from == now) {
                    start(node, now, node.verdicts.all());
                } else if (fault.kind == Kind.DOWN) {
                    if (fault.on(now)) {
                        node.up = false;
                    } else if (fault.from + fault.span == now) {
                        start(node, now, node.verdicts.all());
                    }
                }
            }
            if (now < end - QUIET && random.nextInt(3) == 0) {
                Node node = nodes.get(random.nextInt(nodes.size()));
                if (node.up) { // clocks differ by some windows
                    given.add(node.verdicts.give("node s-" + random.nextInt(3),
                            random.nextBoolean() ? "exclude" : "include",
                            Instant.ofEpochSecond(now + random.nextInt(5))));
                }
            }
            double sum = nodes.stream().filter(node -> node.up)
                    .mapToDouble(node -> node.shares.part(KEY, now)).sum();
            most = Math.max(most, sum);
            last = sum;
            exchange(faults, now);
        }
        List<Verdicts.Verdict> held = nodes.get(0).verdicts.all();
        boolean agreed = nodes.stream().allMatch(node -> node.verdicts.all().equals(held));
        int lost = (int) given.stream().filter(one -> held.stream().noneMatch(holds ->
                holds.subject().equals(one.subject()) && !holds.at().isBefore(one.at()))).count();
        return new Found(most, last, agreed, lost);
    }

    /** Reports of the window go out, with those of some windows before, as a lost one is told again. */
    private void exchange(List<Fault> faults, int window) {
        for (Node node : nodes) {
            if (node.up) {
                node.shares.report(window, heard(faults, node, window),
                        Map.of(KEY, 1.0 + random.nextInt(9)));
            }
        }
        for (int from = 0; from < nodes.size(); from++) {
            for (int to = 0; to < nodes.size(); to++) {
                if (from != to && nodes.get(from).up) {
                    send(faults, window, from, to);
                }
            }
        }
        List<Late> due = late.stream().filter(one -> one.window <= window).toList();
        late.removeAll(due);
        due.forEach(one -> receive(window, one));
        nodes.forEach(node -> node.shares.forgetBefore(window - LAG));
    }

    private void send(List<Fault> faults, int window, int from, int to) {
        Node sender = nodes.get(from);
        List<Kind> kinds = faults.stream().filter(fault -> fault.on(window) && fault.one == from
                && fault.other == to).map(Fault::kind).toList();
        if (kinds.contains(Kind.CUT_ONE_WAY) || kinds.contains(Kind.LOSE_HALF) && random.nextBoolean()) {
            return;
        }
        int lateBy = kinds.contains(Kind.LATE) ? 1 + random.nextInt(LATE_WINDOWS) : 0;
        Late message = new Late(window + lateBy, to, sender.shares.since(window - LAG),
                sender.verdicts.all(), sender.name);
        late.add(message);
        if (kinds.contains(Kind.TWICE)) {
            late.add(new Late(window + 1 + random.nextInt(LATE_WINDOWS), to, message.reports,
                    message.verdicts, message.from));
        }
    }

    private void receive(int window, Late message) {
        Node node = nodes.get(message.to);
        if (node.up) {
            message.reports.forEach(node.shares::take);
            message.verdicts.forEach(node.verdicts::take);
            node.heardAt.put(message.from, window);
        }
    }

    /** Whom a member takes for alive: who was heard from lately, or anybody at all under an odd view. */
    private Set<String> heard(List<Fault> faults, Node node, int window) {
        Set<String> heard = new HashSet<>(Set.of(node.name));
        boolean odd = faults.stream().anyMatch(fault -> fault.kind == Kind.ODD_VIEW && fault.on(window)
                && nodes.get(fault.one) == node);
        for (String name : new TreeSet<>(roster)) {
            if (odd ? random.nextBoolean()
                    : node.heardAt.getOrDefault(name, Integer.MIN_VALUE / 2) >= window - HEARD_WITHIN) {
                heard.add(name);
            }
        }
        return heard;
    }
}
