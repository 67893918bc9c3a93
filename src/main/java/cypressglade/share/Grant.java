package cypressglade.share;

import java.util.Map;

/**
 * What one member may take of the whole in a window.
 *
 * @param parts by key, of the keys that anybody reported
 * @param rest of every other volume
 * @param coldRest of every other cold node
 * @param agreed how many reported the same whom they hear; 0 where that is not known, and all are
 *     floors
 */
public record Grant(
        long window, Map<String, Double> parts, double rest, double coldRest, int agreed) {
    public Grant {
        parts = Map.copyOf(parts);
    }
}
