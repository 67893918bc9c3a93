package cypressglade.share;

import cypressglade.share.Verdicts.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A gossip notice: what one member sends another in one datagram.
 *
 * @param digest of the verdicts that the sender holds ({@link Verdicts#digest})
 * @param heldReports in a query, the reports that the sender holds, by window number: bit {@code i}
 *     is set if it holds the report of the roster's {@code i}th name in order; empty if no answer
 *     is wanted
 * @param fragments of reports
 * @param verdicts some of the verdicts that the sender holds
 */
public record Notice(
        long digest,
        Map<Long, Long> heldReports,
        List<Fragment> fragments,
        List<Verdict> verdicts) {
    /** Keys of a report that fit into one datagram beside the other fields. */
    private static final int KEYS_PER_FRAGMENT = 20;

    /** Copies the collections. */
    public Notice {
        heldReports = Map.copyOf(heldReports);
        fragments = List.copyOf(fragments);
        verdicts = List.copyOf(verdicts);
    }

    /**
     * A fragment of a {@link Report}, small enough for one datagram.
     *
     * @param name of the member that made the report
     * @param window number of the reported window
     * @param index of this fragment, from 0
     * @param count of the report's fragments, at least 1
     * @param aliveBits the report's live members: bit {@code i} for the roster's {@code i}th name
     *     in order
     * @param demand this fragment's part of the report's demand, in units by key
     */
    public record Fragment(
            String name,
            long window,
            int index,
            int count,
            long aliveBits,
            Map<String, Double> demand) {
        /** Copies the demand. */
        public Fragment {
            demand = Map.copyOf(demand);
        }
    }

    /** Splits a report into fragments; {@code names} is the roster in order. */
    static List<Fragment> fragmentsOf(Report report, List<String> names) {
        List<Map.Entry<String, Double>> entries =
                List.copyOf(new TreeMap<>(report.demand()).entrySet());
        int count = Math.max(1, (entries.size() + KEYS_PER_FRAGMENT - 1) / KEYS_PER_FRAGMENT);
        long aliveBits = 0;
        for (int i = 0; i < names.size(); i++) {
            aliveBits |= report.aliveMembers().contains(names.get(i)) ? 1L << i : 0;
        }
        List<Fragment> fragments = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Map<String, Double> demand = new TreeMap<>();
            entries.subList(
                            i * KEYS_PER_FRAGMENT,
                            Math.min(entries.size(), (i + 1) * KEYS_PER_FRAGMENT))
                    .forEach(entry -> demand.put(entry.getKey(), entry.getValue()));
            fragments.add(
                    new Fragment(report.name(), report.window(), i, count, aliveBits, demand));
        }
        return fragments;
    }
}
