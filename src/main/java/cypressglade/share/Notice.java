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
 * @param held where an answer is wanted, whose reports the sender holds, by window: bit {@code i}
 *     stands for the {@code i}th name of the roster; empty where none is wanted
 * @param pieces of reports
 * @param verdicts some of those that the sender holds
 */
public record Notice(
        long digest, Map<Long, Long> held, List<Piece> pieces, List<Verdict> verdicts) {
    /** Keys of a report that fit one datagram beside the rest. */
    private static final int KEYS = 20;

    public Notice {
        held = Map.copyOf(held);
        pieces = List.copyOf(pieces);
        verdicts = List.copyOf(verdicts);
    }

    /**
     * A part of a report that is small enough for one datagram.
     *
     * @param number from 0
     * @param of how many the report has
     * @param heard bit {@code i} for the {@code i}th name of the roster
     */
    public record Piece(
            String name, long window, int number, int of, long heard, Map<String, Double> wanted) {
        public Piece {
            wanted = Map.copyOf(wanted);
        }
    }

    /** A report cut into pieces. */
    static List<Piece> pieces(Report report, List<String> names) {
        List<Map.Entry<String, Double>> all =
                List.copyOf(new TreeMap<>(report.wanted()).entrySet());
        int of = Math.max(1, (all.size() + KEYS - 1) / KEYS);
        long heard = 0;
        for (int i = 0; i < names.size(); i++) {
            heard |= report.heard().contains(names.get(i)) ? 1L << i : 0;
        }
        List<Piece> pieces = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            Map<String, Double> wanted = new TreeMap<>();
            all.subList(i * KEYS, Math.min(all.size(), (i + 1) * KEYS))
                    .forEach(one -> wanted.put(one.getKey(), one.getValue()));
            pieces.add(new Piece(report.name(), report.window(), i, of, heard, wanted));
        }
        return pieces;
    }
}
