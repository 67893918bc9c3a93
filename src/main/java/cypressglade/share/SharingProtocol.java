package cypressglade.share;

import cypressglade.share.Verdicts.Verdict;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One member's side of what a fleet shares. Each window it asks its scheduler what was wanted,
 * tells that to all, and reckons its parts of the window that begins ({@link ShareCalculator}); in
 * between it asks a few others what they hold, so that what a link lost comes another way. Verdicts
 * go out once when they are new and are compared by digest after that.
 *
 * <p>Time and chance come in as arguments; what goes out goes through {@link Out}. Not safe for use
 * by several threads.
 *
 * @param <A> how another member is reached
 */
public final class SharingProtocol<A> {
    /** Looks within a window. */
    public static final int TICKS = 4;

    /**
     * Keys that a report names: those asked for most. All others share what is left as unknown ones
     * do.
     */
    public static final int MAX_KEYS = 256;

    private static final int ASKED_A_TICK = 2;
    private static final int PIECES_AN_ANSWER = 8;
    private static final int VERDICTS_A_NOTICE = 3;
    private static final int MOST_KEY = 40; // letters: a datagram holds a piece's keys

    /** Most letters of a subject or a word: a datagram holds a few of them. */
    public static final int MAX_TEXT_LENGTH = 128;

    private final String self;
    private final SharingSettings terms;
    private final List<String> names;
    private final int span;
    private final RandomGenerator random;
    private final Out<A> out;
    private final ShareCalculator shares;
    private final Verdicts verdicts;
    private final TreeMap<Long, Map<String, Map<Integer, Notice.Fragment>>> partial =
            new TreeMap<>();
    private Map<String, A> present = Map.of();
    private long current;
    private Allocation granted;
    private boolean stale;
    private long strangers;

    /** What it orders. */
    public interface Out<A> {
        /** One datagram to a member. */
        void send(A to, Notice notice);

        /** Exchange all verdicts with a member over a way that loses nothing. */
        void fetchVerdicts(A with);

        /**
         * A verdict holds from now on that did not before; not told of those that this member
         * gives.
         */
        void verdictAccepted(Verdict verdict);

        /** These parts hold to the end of their window. */
        void allocationChanged(Allocation grant);

        /**
         * Asks what was wanted in a window that is over, to be told by {@link
         * SharingProtocol#reportDemand}.
         */
        void requestDemand(long window);
    }

    /**
     * A member that starts now.
     *
     * @param held how long what was sent counts against a part: a part that does not fill anew, as
     *     of a cold node, is the least of those of so long a time
     * @param kept verdicts of the former life
     */
    public SharingProtocol(
            String self,
            SharingSettings terms,
            Duration held,
            Collection<Verdict> kept,
            RandomGenerator random,
            Out<A> out,
            Instant now) {
        this.self = self;
        this.terms = terms;
        this.names = terms.orderedNames();
        this.span = (int) Math.ceil((double) held.toMillis() / terms.windowLength().toMillis());
        this.random = random;
        this.out = out;
        current = terms.windowAt(now);
        shares =
                new ShareCalculator(
                        self, terms.roster(), terms.floorFraction(), terms.lagWindows(), current);
        verdicts = new Verdicts(self, kept);
        granted = shares.allocation(current);
    }

    /** Tells what holds at the start: the floors, and the verdicts of the former life. */
    public void start() {
        verdicts.all().forEach(out::verdictAccepted);
        out.allocationChanged(granted);
    }

    /** When to look next. */
    public Instant nextTick(Instant now) {
        long step = Math.max(1, terms.windowLength().toMillis() / TICKS);
        return Instant.ofEpochMilli((Math.floorDiv(now.toEpochMilli(), step) + 1) * step);
    }

    /**
     * Looks at the clock.
     *
     * @param alive the other members that this one holds alive, and how they are reached
     */
    public void tick(Map<String, A> alive, Instant now) {
        present =
                alive.entrySet().stream()
                        .filter(
                                one ->
                                        terms.roster().contains(one.getKey())
                                                && !one.getKey().equals(self))
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        Map.Entry::getValue,
                                        (a, b) -> a,
                                        TreeMap::new));
        long window = terms.windowAt(now);
        if (window > current) {
            current = window;
            shares.forgetBefore(window - span);
            partial.headMap(window - terms.lagWindows(), false).clear();
            stale = true;
            out.requestDemand(window - 1);
        }
        grant();
        List<A> others = new ArrayList<>(present.values());
        for (int i = 0; i < ASKED_A_TICK && !others.isEmpty(); i++) {
            out.send(
                    others.remove(random.nextInt(others.size())),
                    new Notice(verdicts.digest(), held(), List.of(), List.of()));
        }
    }

    /** What was wanted here in a window that is over, by key; goes out as this member's report. */
    public void reportDemand(long window, Map<String, Double> wanted) {
        Map<String, Double> most =
                wanted.entrySet().stream()
                        .filter(one -> one.getValue() > 0 && one.getKey().length() <= MOST_KEY)
                        .sorted(
                                Map.Entry.<String, Double>comparingByValue()
                                        .reversed()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(MAX_KEYS)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Set<String> heard = new HashSet<>(present.keySet());
        heard.add(self);
        shares.recordOwnReport(window, heard, most)
                .ifPresent(report -> Notice.fragmentsOf(report, names).forEach(this::spread));
        stale |= window <= current - terms.lagWindows();
        grant();
    }

    /** Takes what another member said, and answers where that is wanted. */
    public void receive(Notice notice, A from) {
        notice.fragments().forEach(this::take);
        acceptVerdicts(notice.verdicts());
        if (!notice.heldReports().isEmpty()) {
            answer(notice, from);
        }
        grant();
    }

    /** Takes verdicts of others. */
    public void acceptVerdicts(List<Verdict> others) {
        for (Verdict verdict : others) {
            if (!terms.roster().contains(verdict.issuer())) {
                strangers++;
            } else if (verdicts.accept(verdict)) {
                out.verdictAccepted(verdict);
                spread(verdict);
            }
        }
    }

    /** An operator decided here: all are told, and it holds over a restart once it is kept. */
    public Verdict issueVerdict(String subject, String word, Instant now) {
        Verdict verdict = verdicts.issue(subject, word, now);
        spread(verdict);
        return verdict;
    }

    private void spread(Notice.Fragment piece) {
        for (A to : present.values()) {
            out.send(to, new Notice(verdicts.digest(), Map.of(), List.of(piece), List.of()));
        }
    }

    private void spread(Verdict verdict) {
        for (A to : present.values()) {
            out.send(to, new Notice(verdicts.digest(), Map.of(), List.of(), List.of(verdict)));
        }
    }

    private void take(Notice.Fragment piece) {
        if (piece.window() < current - terms.lagWindows() - span
                || piece.window() > current + 1
                || !terms.roster().contains(piece.name())
                || piece.count() < 1
                || piece.count() > MAX_KEYS
                || piece.index() < 0
                || piece.index() >= piece.count()) {
            strangers += terms.roster().contains(piece.name()) ? 0 : 1;
            return;
        }
        Map<String, Map<Integer, Notice.Fragment>> window =
                partial.computeIfAbsent(piece.window(), number -> new HashMap<>());
        Map<Integer, Notice.Fragment> pieces =
                window.computeIfAbsent(piece.name(), name -> new TreeMap<>());
        pieces.putIfAbsent(piece.index(), piece);
        if (pieces.size() == piece.count()) {
            Map<String, Double> wanted = new LinkedHashMap<>();
            pieces.values().forEach(one -> wanted.putAll(one.demand()));
            shares.addReport(
                    new Report(piece.name(), piece.window(), heard(piece.aliveBits()), wanted));
            window.remove(piece.name());
            stale |= piece.window() <= current - terms.lagWindows();
        }
    }

    private Set<String> heard(long bits) {
        return IntStream.range(0, names.size())
                .filter(i -> (bits & 1L << i) != 0)
                .mapToObj(names::get)
                .collect(Collectors.toSet());
    }

    private Map<Long, Long> held() {
        Map<Long, Long> held = new TreeMap<>();
        for (long window = current - terms.lagWindows(); window < current; window++) {
            held.put(window, shares.heldReportBits(window, names));
        }
        return held;
    }

    /** Whether the sender of a notice names the report's window and does not hold the report. */
    private boolean lacks(Notice notice, Report report) {
        return notice.heldReports().containsKey(report.window())
                && (notice.heldReports().get(report.window()) & 1L << names.indexOf(report.name()))
                        == 0;
    }

    private void answer(Notice notice, A from) {
        List<Notice.Fragment> lacking =
                shares.reportsSince(current - terms.lagWindows()).stream()
                        .filter(report -> lacks(notice, report))
                        .sorted(
                                Comparator.comparingLong(Report::window)
                                        .thenComparing(Report::name))
                        .flatMap(report -> Notice.fragmentsOf(report, names).stream())
                        .limit(PIECES_AN_ANSWER)
                        .toList();
        for (Notice.Fragment piece : lacking) {
            out.send(from, new Notice(verdicts.digest(), Map.of(), List.of(piece), List.of()));
        }
        if (notice.digest() != verdicts.digest()) {
            List<Verdict> all = verdicts.all();
            if (all.size() <= VERDICTS_A_NOTICE) {
                out.send(from, new Notice(verdicts.digest(), Map.of(), List.of(), all));
            } else {
                out.fetchVerdicts(from); // each sees the other's digest, and fetches what it lacks
            }
        }
    }

    /** Reckons anew where a report has come that counts by now, or another window has begun. */
    private void grant() {
        if (!stale) {
            return;
        }
        stale = false;
        Allocation least = shares.allocation(current);
        Map<String, Double> parts = new HashMap<>(least.shares());
        double cold = least.otherVolumeShare();
        for (long before = current - span; before < current; before++) {
            Allocation then = shares.allocation(before);
            Set<String> keys = new TreeSet<>(parts.keySet());
            keys.addAll(then.shares().keySet());
            for (String key : keys) {
                if (key.startsWith(ShareKey.NODE)) {
                    parts.put(
                            key,
                            Math.min(
                                    parts.getOrDefault(key, cold),
                                    then.shares().getOrDefault(key, then.otherVolumeShare())));
                }
            }
            cold = Math.min(cold, then.otherVolumeShare());
        }
        Allocation next =
                new Allocation(
                        current, parts, least.otherVolumeShare(), cold, least.agreedMembers());
        if (!next.equals(granted)) {
            granted = next;
            out.allocationChanged(next);
        }
    }

    /** What holds in the present window. */
    public Allocation allocation() {
        return granted;
    }

    /** All verdicts that hold, for others and for the snapshot. */
    public List<Verdict> verdicts() {
        return verdicts.all();
    }

    /**
     * Reports and verdicts turned away: of names that are not of the roster, or for want of room.
     */
    public long rejected() {
        return strangers + shares.rejected() + verdicts.rejected();
    }
}
