package cypressglade.share;

import cypressglade.share.Notice.Fragment;
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
 * One member's side of the protocol by which a fleet shares limits and verdicts. At the start of
 * each window the member asks its scheduler for the demand of the window before, sends that to all
 * members as its report, and calculates its shares of the new window ({@link ShareCalculator}).
 * Several times a window it sends queries to a few random members (anti-entropy), so that what one
 * link lost arrives by another. A new verdict is sent to all members once; after that, members
 * compare digests of their verdicts.
 *
 * <p>Time and randomness are passed in as arguments; messages and orders go through {@link Out}.
 * Not safe for use by several threads.
 *
 * @param <A> address of another member
 */
public final class SharingProtocol<A> {
    /** Calls of {@link #tick} in a window. */
    public static final int TICKS_PER_WINDOW = 4;

    /**
     * Most keys in a report: those with the highest demand. The others get the share of keys that
     * nobody reported.
     */
    public static final int MAX_KEYS = 256;

    private static final int QUERIES_PER_TICK = 2;
    private static final int MAX_FRAGMENTS_PER_ANSWER = 8;
    private static final int MAX_VERDICTS_PER_NOTICE = 3;

    /** In characters, so that a fragment's keys fit into one datagram. */
    private static final int MAX_KEY_LENGTH = 40;

    /**
     * Longest subject or action of a verdict in characters, so that several verdicts fit into one
     * datagram.
     */
    public static final int MAX_TEXT_LENGTH = 128;

    private final String self;
    private final SharingSettings settings;
    private final List<String> names;
    private final int coldSpanWindows;
    private final RandomGenerator random;
    private final Out<A> out;
    private final ShareCalculator calculator;
    private final Verdicts verdicts;

    /** Fragments of reports that are not complete, by window, member and index. */
    private final TreeMap<Long, Map<String, Map<Integer, Fragment>>> incomplete = new TreeMap<>();

    private Map<String, A> aliveMembers = Map.of();
    private long currentWindow;
    private Allocation allocation;

    /** Whether a new window or a late report may have changed the allocation. */
    private boolean isStale;

    private long rejected;

    /**
     * What the protocol sends, orders and asks for. Its owner implements this.
     *
     * @param <A> address of another member
     */
    public interface Out<A> {
        /** Sends one datagram to a member; it may be lost. */
        void send(A to, Notice notice);

        /**
         * Fetches all verdicts of a member over a reliable connection; they come back by {@link
         * SharingProtocol#acceptVerdicts}.
         */
        void fetchVerdicts(A from);

        /**
         * A verdict of another member came into force, or one from before a restart at the start.
         * Not called for verdicts that this member issues.
         */
        void verdictAccepted(Verdict verdict);

        /** These shares apply until the end of their window. */
        void allocationChanged(Allocation allocation);

        /**
         * Asks for the demand of a window that has ended; the answer comes by {@link
         * SharingProtocol#reportDemand}.
         */
        void requestDemand(long window);
    }

    /**
     * Creates the protocol of a member that starts now.
     *
     * @param self name of this member, one of the roster
     * @param coldSpan how long a unit sent to a cold node counts against this member's share. A
     *     cold node's capacity does not refill like a token bucket, so this member's share of it is
     *     the smallest of all windows in that time.
     * @param kept verdicts in force before a restart
     * @param now decides which window is the current one
     * @throws IllegalArgumentException if {@code self} is not in the roster
     */
    public SharingProtocol(
            String self,
            SharingSettings settings,
            Duration coldSpan,
            Collection<Verdict> kept,
            RandomGenerator random,
            Out<A> out,
            Instant now) {
        this.self = self;
        this.settings = settings;
        this.names = settings.orderedNames();
        this.coldSpanWindows =
                (int) Math.ceil((double) coldSpan.toMillis() / settings.windowLength().toMillis());
        this.random = random;
        this.out = out;
        currentWindow = settings.windowAt(now);
        calculator =
                new ShareCalculator(
                        self,
                        settings.roster(),
                        settings.floorFraction(),
                        settings.lagWindows(),
                        currentWindow);
        verdicts = new Verdicts(self, kept);
        allocation = calculator.allocation(currentWindow);
    }

    /** Announces what applies at the start: the floors, and the verdicts from before a restart. */
    public void start() {
        verdicts.all().forEach(out::verdictAccepted);
        out.allocationChanged(allocation);
    }

    /** When {@link #tick} has to be called next. */
    public Instant nextTick(Instant now) {
        long step = Math.max(1, settings.windowLength().toMillis() / TICKS_PER_WINDOW);
        return Instant.ofEpochMilli((Math.floorDiv(now.toEpochMilli(), step) + 1) * step);
    }

    /**
     * Starts a new window if it is time, and sends queries to a few random members.
     *
     * @param alive the other members that this one holds alive, with their addresses
     */
    public void tick(Map<String, A> alive, Instant now) {
        aliveMembers =
                alive.entrySet().stream()
                        .filter(
                                member ->
                                        settings.roster().contains(member.getKey())
                                                && !member.getKey().equals(self))
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        Map.Entry::getValue,
                                        (a, b) -> a,
                                        TreeMap::new));
        long window = settings.windowAt(now);
        if (window > currentWindow) {
            currentWindow = window;
            calculator.forgetBefore(window - coldSpanWindows);
            incomplete.headMap(window - settings.lagWindows(), false).clear();
            isStale = true;
            out.requestDemand(window - 1);
        }
        recalculateIfStale();
        List<A> others = new ArrayList<>(aliveMembers.values());
        for (int i = 0; i < QUERIES_PER_TICK && !others.isEmpty(); i++) {
            out.send(
                    others.remove(random.nextInt(others.size())),
                    new Notice(verdicts.digest(), heldReports(), List.of(), List.of()));
        }
    }

    /**
     * Takes the demand of a window that has ended, in units by key, and sends it to all members as
     * this member's report.
     */
    public void reportDemand(long window, Map<String, Double> demand) {
        Map<String, Double> largest =
                demand.entrySet().stream()
                        .filter(
                                entry ->
                                        entry.getValue() > 0
                                                && entry.getKey().length() <= MAX_KEY_LENGTH)
                        .sorted(
                                Map.Entry.<String, Double>comparingByValue()
                                        .reversed()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(MAX_KEYS)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Set<String> alive = new HashSet<>(aliveMembers.keySet());
        alive.add(self);
        calculator
                .recordOwnReport(window, alive, largest)
                .ifPresent(report -> Notice.fragmentsOf(report, names).forEach(this::broadcast));
        isStale |= window <= currentWindow - settings.lagWindows();
        recalculateIfStale();
    }

    /** Takes a notice of another member, and answers it if it is a query. */
    public void receive(Notice notice, A from) {
        notice.fragments().forEach(this::acceptFragment);
        acceptVerdicts(notice.verdicts());
        if (!notice.heldReports().isEmpty()) {
            answer(notice, from);
        }
        recalculateIfStale();
    }

    /**
     * Takes verdicts of other members; those that come into force are announced and sent on.
     * Rejects and counts verdicts of issuers that are not in the roster.
     */
    public void acceptVerdicts(List<Verdict> others) {
        for (Verdict verdict : others) {
            if (!settings.roster().contains(verdict.issuer())) {
                rejected++;
            } else if (verdicts.accept(verdict)) {
                out.verdictAccepted(verdict);
                broadcast(verdict);
            }
        }
    }

    /**
     * Issues an operator's verdict at this member and sends it to all. It survives a restart once
     * the caller has stored it ({@link #verdicts}).
     */
    public Verdict issueVerdict(String subject, String action, Instant now) {
        Verdict verdict = verdicts.issue(subject, action, now);
        broadcast(verdict);
        return verdict;
    }

    private void broadcast(Fragment fragment) {
        for (A to : aliveMembers.values()) {
            out.send(to, new Notice(verdicts.digest(), Map.of(), List.of(fragment), List.of()));
        }
    }

    private void broadcast(Verdict verdict) {
        for (A to : aliveMembers.values()) {
            out.send(to, new Notice(verdicts.digest(), Map.of(), List.of(), List.of(verdict)));
        }
    }

    private void acceptFragment(Fragment fragment) {
        if (fragment.window() < currentWindow - settings.lagWindows() - coldSpanWindows
                || fragment.window() > currentWindow + 1
                || !settings.roster().contains(fragment.name())
                || fragment.count() < 1
                || fragment.count() > MAX_KEYS
                || fragment.index() < 0
                || fragment.index() >= fragment.count()) {
            rejected += settings.roster().contains(fragment.name()) ? 0 : 1;
            return;
        }
        Map<String, Map<Integer, Fragment>> ofWindow =
                incomplete.computeIfAbsent(fragment.window(), window -> new HashMap<>());
        Map<Integer, Fragment> fragments =
                ofWindow.computeIfAbsent(fragment.name(), name -> new TreeMap<>());
        fragments.putIfAbsent(fragment.index(), fragment);
        if (fragments.size() == fragment.count()) {
            Map<String, Double> demand = new LinkedHashMap<>();
            fragments.values().forEach(each -> demand.putAll(each.demand()));
            calculator.addReport(
                    new Report(
                            fragment.name(),
                            fragment.window(),
                            namesOf(fragment.aliveBits()),
                            demand));
            ofWindow.remove(fragment.name());
            isStale |= fragment.window() <= currentWindow - settings.lagWindows();
        }
    }

    private Set<String> namesOf(long bits) {
        return IntStream.range(0, names.size())
                .filter(i -> (bits & 1L << i) != 0)
                .mapToObj(names::get)
                .collect(Collectors.toSet());
    }

    private Map<Long, Long> heldReports() {
        Map<Long, Long> held = new TreeMap<>();
        for (long window = currentWindow - settings.lagWindows();
                window < currentWindow;
                window++) {
            held.put(window, calculator.heldReportBits(window, names));
        }
        return held;
    }

    /** Whether the sender of a query asks about the report's window and lacks the report. */
    private boolean lacks(Notice query, Report report) {
        return query.heldReports().containsKey(report.window())
                && (query.heldReports().get(report.window()) & 1L << names.indexOf(report.name()))
                        == 0;
    }

    private void answer(Notice query, A from) {
        List<Fragment> lacking =
                calculator.reportsSince(currentWindow - settings.lagWindows()).stream()
                        .filter(report -> lacks(query, report))
                        .sorted(
                                Comparator.comparingLong(Report::window)
                                        .thenComparing(Report::name))
                        .flatMap(report -> Notice.fragmentsOf(report, names).stream())
                        .limit(MAX_FRAGMENTS_PER_ANSWER)
                        .toList();
        for (Fragment fragment : lacking) {
            out.send(from, new Notice(verdicts.digest(), Map.of(), List.of(fragment), List.of()));
        }
        if (query.digest() != verdicts.digest()) {
            List<Verdict> all = verdicts.all();
            if (all.size() <= MAX_VERDICTS_PER_NOTICE) {
                out.send(from, new Notice(verdicts.digest(), Map.of(), List.of(), all));
            } else {
                out.fetchVerdicts(from); // each side sees the other's digest and fetches
            }
        }
    }

    /** Recalculates the shares if a report that counts by now arrived, or a window began. */
    private void recalculateIfStale() {
        if (!isStale) {
            return;
        }
        isStale = false;
        Allocation current = calculator.allocation(currentWindow);
        Map<String, Double> shares = new HashMap<>(current.shares());
        double otherColdNodesShare = current.otherVolumesShare();
        for (long window = currentWindow - coldSpanWindows; window < currentWindow; window++) {
            Allocation earlier = calculator.allocation(window);
            Set<String> keys = new TreeSet<>(shares.keySet());
            keys.addAll(earlier.shares().keySet());
            for (String key : keys) {
                if (key.startsWith(ShareKey.NODE_PREFIX)) {
                    shares.put(
                            key,
                            Math.min(
                                    shares.getOrDefault(key, otherColdNodesShare),
                                    earlier.shares()
                                            .getOrDefault(key, earlier.otherVolumesShare())));
                }
            }
            otherColdNodesShare = Math.min(otherColdNodesShare, earlier.otherVolumesShare());
        }
        Allocation next =
                new Allocation(
                        currentWindow,
                        shares,
                        current.otherVolumesShare(),
                        otherColdNodesShare,
                        current.agreedMembers());
        if (!next.equals(allocation)) {
            allocation = next;
            out.allocationChanged(next);
        }
    }

    /** The shares of the current window. */
    public Allocation allocation() {
        return allocation;
    }

    /** All verdicts in force, to send to other members and for the snapshot. */
    public List<Verdict> verdicts() {
        return verdicts.all();
    }

    /**
     * Number of reports and verdicts rejected because of names that are not in the roster, or
     * because there was no room.
     */
    public long rejected() {
        return rejected + calculator.rejected() + verdicts.rejected();
    }
}
