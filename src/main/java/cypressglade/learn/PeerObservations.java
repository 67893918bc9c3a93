package cypressglade.learn;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Words of others, the latest of each origin, a few origins a node, and a bounded number of nodes.
 * Nothing is merged here: a word keeps its origin and its age through all hands, so that it can be
 * weighed anew at any time and never looks younger than it is.
 */
final class PeerObservations {
    static final int ORIGINS = 3;

    private final int mostNodes;
    private final Map<String, List<NodeObservation>> byNode = new HashMap<>();

    /** What became of a word. */
    enum Result {
        TAKEN,
        KNOWN,
        NO_ROOM
    }

    PeerObservations(int mostNodes) {
        this.mostNodes = mostNodes;
    }

    /** Takes a word that was checked. */
    Result add(NodeObservation word) {
        List<NodeObservation> words = byNode.get(word.nodeId());
        if (words == null) {
            if (byNode.size() >= mostNodes) {
                return Result.NO_ROOM;
            }
            byNode.put(word.nodeId(), new ArrayList<>(List.of(word)));
            return Result.TAKEN;
        }
        // One instance has one view of a node, through all of its lives: its latest.
        for (int i = 0; i < words.size(); i++) {
            if (words.get(i).origin().name().equals(word.origin().name())) {
                if (!word.observedAt().isAfter(words.get(i).observedAt())) {
                    return Result.KNOWN;
                }
                words.set(i, word);
                return Result.TAKEN;
            }
        }
        if (words.size() >= ORIGINS) {
            NodeObservation oldest =
                    words.stream()
                            .min(Comparator.comparing(NodeObservation::observedAt))
                            .orElseThrow();
            if (!word.observedAt().isAfter(oldest.observedAt())) {
                return Result.KNOWN;
            }
            words.remove(oldest);
        }
        words.add(word);
        return Result.TAKEN;
    }

    List<NodeObservation> observationsOf(String node) {
        return byNode.getOrDefault(node, List.of());
    }

    Stream<NodeObservation> all() {
        return byNode.values().stream().flatMap(List::stream);
    }

    /** Forgets what is too old; returns how many words that were. */
    int removeExpired(Instant now) {
        int before = size();
        byNode.values()
                .forEach(
                        words ->
                                words.removeIf(
                                        word ->
                                                word.age(now).compareTo(ObservationWeights.LIFE)
                                                        > 0));
        byNode.values().removeIf(List::isEmpty);
        return before - size();
    }

    int size() {
        return byNode.values().stream().mapToInt(List::size).sum();
    }
}
