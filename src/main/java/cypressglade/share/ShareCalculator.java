package cypressglade.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One member's part of what all members together may send, for each window. The roster of names is
 * fixed by the operators; a part is a floor of {@code floor/n}, and the rest of the whole goes by
 * demand among those that agree on who is there.
 *
 * <p>The rule: with a set {@code X} of more than half of the roster, of which each member reported
 * {@code X} as whom it hears, {@code lag} windows ago, a member of {@code X} takes {@code floor/n}
 * and its part by demand of {@code 1 - floor}. Whoever lacks one of these reports, or finds that
 * they differ, takes the floor alone.
 *
 * <p>Why it never adds up to more than the whole: two such sets of one window share a member, as
 * both are more than half, and that member made one report; so they are one set, and its members
 * reckon from the same reports. Their parts add up to {@code 1 - floor} and a floor each; everybody
 * else takes a floor at most: 1 in all. No message that is lost, late, doubled, or cut off changes
 * that; it only costs the part above the floor.
 *
 * <p>A restart must not report a window that its former life may have reported: the first is the
 * one that begins after its start. Not safe for use by several threads.
 */
public final class ShareCalculator {
    private final String self;
    private final Set<String> roster;
    private final double floor;
    private final int lag;
    private final long firstWindow;
    private final TreeMap<Long, Map<String, Report>> reports = new TreeMap<>();
    private long turnedAway;

    /**
     * The parts of one member.
     *
     * @param roster all names, this one's among them
     * @param floor of the whole, dealt out evenly whatever is heard, 0 to 1
     * @param lag windows after its end that a report has to reach all, at least 1
     * @param startedIn the window in which this process started
     */
    public ShareCalculator(String self, Set<String> roster, double floor, int lag, long startedIn) {
        if (!roster.contains(self) || floor < 0 || floor > 1 || lag < 1) {
            throw new IllegalArgumentException(
                    self + " of " + roster + ", floor " + floor + ", lag " + lag);
        }
        this.self = self;
        this.roster = Set.copyOf(roster);
        this.floor = floor;
        this.lag = lag;
        firstWindow = startedIn + 1;
    }

    /**
     * This member's report of a window that is over; none where its former life may have made one.
     */
    public Optional<Report> recordOwnReport(
            long window, Set<String> heard, Map<String, Double> wanted) {
        if (window < firstWindow) {
            return Optional.empty();
        }
        Report own = new Report(self, window, heard, wanted);
        addReport(own);
        return Optional.ofNullable(of(window).get(self));
    }

    /** Takes a report; the first of a member and window holds. Word of strangers is turned away. */
    public void addReport(Report report) {
        if (!roster.contains(report.name()) || !roster.containsAll(report.aliveMembers())) {
            turnedAway++;
            return;
        }
        reports.computeIfAbsent(report.window(), window -> new HashMap<>())
                .putIfAbsent(report.name(), report);
    }

    /** Reports that are not of the roster. */
    public long rejected() {
        return turnedAway;
    }

    /** Reports since a window, for whoever may lack them. */
    public List<Report> reportsSince(long window) {
        return reports.tailMap(window, true).values().stream()
                .flatMap(of -> of.values().stream())
                .toList();
    }

    /** Forgets windows that no part is reckoned from any more. */
    public void forgetBefore(long window) {
        reports.headMap(window - lag, false).clear();
    }

    /**
     * Of the roster in order, whose reports of a window are held: bit {@code i} for the {@code
     * i}th.
     */
    long heldReportBits(long window, List<String> names) {
        Map<String, Report> of = of(window);
        long bits = 0;
        for (int i = 0; i < names.size(); i++) {
            bits |= of.containsKey(names.get(i)) ? 1L << i : 0;
        }
        return bits;
    }

    /** This member's part of the whole for a key in a window, {@code floor/n} to 1. */
    public double share(String key, long window) {
        return share(key, agreed(window));
    }

    /** This member's parts in a window, of all keys that were reported. */
    public Allocation allocation(long window) {
        List<Report> agreed = agreed(window);
        Map<String, Double> parts = new HashMap<>();
        for (Report report : agreed) {
            for (String key : report.demand().keySet()) {
                parts.computeIfAbsent(key, each -> share(each, agreed));
            }
        }
        double rest = share("", agreed);
        return new Allocation(window, parts, rest, rest, agreed.size());
    }

    private double share(String key, List<Report> agreed) {
        double least = floor / roster.size();
        if (agreed.isEmpty()) {
            return least;
        }
        double all = 0;
        double own = 0;
        for (Report report : agreed) {
            double wanted = report.demand().getOrDefault(key, 0.0);
            all += wanted;
            own = report.name().equals(self) ? wanted : own;
        }
        return least + (1 - floor) * (all > 0 ? own / all : 1.0 / agreed.size());
    }

    /**
     * Reports of one set of members, each of which reported that set; in one order, as sums hang on
     * it.
     */
    private List<Report> agreed(long window) {
        Map<String, Report> of = of(window - lag);
        Report own = of.get(self);
        if (own == null
                || 2 * own.aliveMembers().size() <= roster.size()
                || !own.aliveMembers().contains(self)) {
            return List.of();
        }
        List<Report> agreed = new ArrayList<>();
        for (String name : new TreeSet<>(own.aliveMembers())) {
            Report report = of.get(name);
            if (report == null || !report.aliveMembers().equals(own.aliveMembers())) {
                return List.of();
            }
            agreed.add(report);
        }
        return agreed;
    }

    private Map<String, Report> of(long window) {
        return reports.getOrDefault(window, Map.of());
    }
}
