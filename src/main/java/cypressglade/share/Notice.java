package cypressglade.share;

import cypressglade.share.Verdicts.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one member tells another in one datagram.
 *
 * @param digest of the verdicts that the sender holds
 * @param heldReports where an answer is wanted, whose reports the sender holds, by window: bit
 *     {@code i} stands for the {@code i}th name of the roster; empty where none is wanted
 * @param fragments of reports
 * @param verdicts some of those that the sender holds
 */
public record Notice(
        long digest,
        Map<Long, Long> heldReports,
        List<Fragment> fragments,
        List<Verdict> verdicts) {
    /** Keys of a report that fit one datagram beside the rest. */
    private static final int KEYS = 20;

    public Notice {
        heldReports = Map.copyOf(heldReports);
        fragments = List.copyOf(fragments);
        verdicts = List.copyOf(verdicts);
    }

    /**
     * A part of a report that is small enough for one datagram.
     *
     * @param index from 0
     * @param count how many the report has
     * @param aliveBits bit {@code i} for the {@code i}th name of the roster
     */
    public record Fragment(
            String name,
            long window,
            int index,
            int count,
            long aliveBits,
            Map<String, Double> demand) {
        public Fragment {
            demand = Map.copyOf(demand);
        }
    }

    /** A report cut into pieces. */
    static List<Fragment> fragmentsOf(Report report, List<String> names) {
        List<Map.Entry<String, Double>> all =
                List.copyOf(new TreeMap<>(report.demand()).entrySet());
        int of = Math.max(1, (all.size() + KEYS - 1) / KEYS);
        long heard = 0;
        for (int i = 0; i < names.size(); i++) {
            heard |= report.aliveMembers().contains(names.get(i)) ? 1L << i : 0;
        }
        List<Fragment> pieces = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            Map<String, Double> wanted = new TreeMap<>();
            all.subList(i * KEYS, Math.min(all.size(), (i + 1) * KEYS))
                    .forEach(one -> wanted.put(one.getKey(), one.getValue()));
            pieces.add(new Fragment(report.name(), report.window(), i, of, heard, wanted));
        }
        return pieces;
    }
}
