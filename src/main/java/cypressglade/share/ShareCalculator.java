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
 * Keeps the members' reports and calculates from them one member's share of each shared limit, for
 * each window. The operators fix the roster of {@code n} names. Each member always has a floor of
 * {@code floorFraction / n}; the rest of a limit is allotted by demand among the members that agree
 * on who is alive.
 *
 * <p>Rule: let {@code X} be a set of more than half of the roster, each member of which reported,
 * for the window {@code lagWindows} ago, {@code X} as the live members. Then a member of {@code X}
 * gets its floor and, in proportion to its demand, a part of {@code 1 - floorFraction}. A member
 * that lacks one of these reports, or finds that they differ, gets only its floor.
 *
 * <p>The shares never add up to more than 1: two such sets for one window have a member in common,
 * as each is more than half of the roster, and that member made a single report; so they are the
 * same set, and its members calculate from the same reports. Their shares add up to {@code 1 -
 * floorFraction} plus a floor each, and every other member gets at most its floor: 1 in total.
 * Messages that are lost, delayed, duplicated or cut off don't change this; they only cost shares
 * above the floor.
 *
 * <p>After a restart a member must not report a window that it may have reported before the
 * restart: it reports only windows that begin after its start. Not safe for use by several threads.
 */
public final class ShareCalculator {
    private final String self;
    private final Set<String> roster;
    private final double floorFraction;
    private final int lagWindows;
    private final long firstWindow;
    private final TreeMap<Long, Map<String, Report>> reports = new TreeMap<>();
    private long rejected;

    /**
     * Calculates the shares of one member.
     *
     * @param self name of that member
     * @param roster all names, this member's among them
     * @param floorFraction of each limit, allotted evenly to the whole roster, 0 to 1
     * @param lagWindows windows after its end within which a report has to reach all members, at
     *     least 1
     * @param startedIn number of the window in which this process started
     * @throws IllegalArgumentException if {@code self} is not in the roster, or a number is out of
     *     its range
     */
    public ShareCalculator(
            String self, Set<String> roster, double floorFraction, int lagWindows, long startedIn) {
        if (!roster.contains(self) || floorFraction < 0 || floorFraction > 1 || lagWindows < 1) {
            throw new IllegalArgumentException(
                    self + " of " + roster + ", floor " + floorFraction + ", lag " + lagWindows);
        }
        this.self = self;
        this.roster = Set.copyOf(roster);
        this.floorFraction = floorFraction;
        this.lagWindows = lagWindows;
        firstWindow = startedIn + 1;
    }

    /**
     * Makes and keeps this member's report of a window that has ended. If it made one before, that
     * one stays and is returned.
     *
     * @return the report; empty if it may have reported this window before a restart
     */
    public Optional<Report> recordOwnReport(
            long window, Set<String> aliveMembers, Map<String, Double> demand) {
        if (window < firstWindow) {
            return Optional.empty();
        }
        Report own = new Report(self, window, aliveMembers, demand);
        addReport(own);
        return Optional.ofNullable(reportsOf(window).get(self));
    }

    /**
     * Keeps a report, unless there is one of that member and window already. Rejects and counts a
     * report by or about names that are not in the roster.
     */
    public void addReport(Report report) {
        if (!roster.contains(report.name()) || !roster.containsAll(report.aliveMembers())) {
            rejected++;
            return;
        }
        reports.computeIfAbsent(report.window(), window -> new HashMap<>())
                .putIfAbsent(report.name(), report);
    }

    /** Number of reports rejected because of names that are not in the roster. */
    public long rejected() {
        return rejected;
    }

    /** The reports of this window and later ones, for members that may lack them. */
    public List<Report> reportsSince(long window) {
        return reports.tailMap(window, true).values().stream()
                .flatMap(ofWindow -> ofWindow.values().stream())
                .toList();
    }

    /** Drops the reports that no share of this window or a later one is calculated from. */
    public void forgetBefore(long window) {
        reports.headMap(window - lagWindows, false).clear();
    }

    /**
     * The reports held of a window, as bits: bit {@code i} for the {@code i}th of {@code names},
     * which is the roster in order.
     */
    long heldReportBits(long window, List<String> names) {
        Map<String, Report> ofWindow = reportsOf(window);
        long bits = 0;
        for (int i = 0; i < names.size(); i++) {
            bits |= ofWindow.containsKey(names.get(i)) ? 1L << i : 0;
        }
        return bits;
    }

    /** This member's share for a key in a window, {@code floorFraction / n} to 1. */
    public double share(String key, long window) {
        return share(key, agreedReports(window));
    }

    /** This member's shares in a window, of all keys that were reported. */
    public Allocation allocation(long window) {
        List<Report> agreed = agreedReports(window);
        Map<String, Double> shares = new HashMap<>();
        for (Report report : agreed) {
            for (String key : report.demand().keySet()) {
                shares.computeIfAbsent(key, each -> share(each, agreed));
            }
        }
        double unreportedShare = share("", agreed); // no report has an empty key
        return new Allocation(window, shares, unreportedShare, unreportedShare, agreed.size());
    }

    private double share(String key, List<Report> agreed) {
        double minShare = floorFraction / roster.size();
        if (agreed.isEmpty()) {
            return minShare;
        }
        double totalDemand = 0;
        double ownDemand = 0;
        for (Report report : agreed) {
            double demand = report.demand().getOrDefault(key, 0.0);
            totalDemand += demand;
            ownDemand = report.name().equals(self) ? demand : ownDemand;
        }
        return minShare
                + (1 - floorFraction)
                        * (totalDemand > 0 ? ownDemand / totalDemand : 1.0 / agreed.size());
    }

    /**
     * The reports that decide the shares of a window: those of a majority, each member of which
     * reported exactly that majority as alive; empty if this member does not hold them all. Sorted
     * by name, because floating-point sums depend on the order.
     */
    private List<Report> agreedReports(long window) {
        Map<String, Report> ofWindow = reportsOf(window - lagWindows);
        Report own = ofWindow.get(self);
        if (own == null
                || 2 * own.aliveMembers().size() <= roster.size()
                || !own.aliveMembers().contains(self)) {
            return List.of();
        }
        List<Report> agreed = new ArrayList<>();
        for (String name : new TreeSet<>(own.aliveMembers())) {
            Report report = ofWindow.get(name);
            if (report == null || !report.aliveMembers().equals(own.aliveMembers())) {
                return List.of();
            }
            agreed.add(report);
        }
        return agreed;
    }

    private Map<String, Report> reportsOf(long window) {
        return reports.getOrDefault(window, Map.of());
    }
}
