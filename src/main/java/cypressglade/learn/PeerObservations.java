package cypressglade.learn;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The observations of other instances: the latest of each origin, of a few origins per node, for a
 * bounded number of nodes. They are not merged here: an observation keeps its origin and its age
 * however often it is passed on, so that it can be weighed again at any time and never looks
 * younger than it is. Not safe for use by several threads.
 */
final class PeerObservations {
    static final int MAX_ORIGINS_PER_NODE = 3;

    private final int maxNodes;
    private final Map<String, List<NodeObservation>> byNode = new HashMap<>();

    /** The result of adding an observation. */
    enum Result {
        /** Stored. */
        ADDED,
        /** Not newer than what is stored. */
        KNOWN,
        /** Dropped: the maximum number of nodes is reached. */
        NO_ROOM
    }

    PeerObservations(int maxNodes) {
        this.maxNodes = maxNodes;
    }

    /** Adds an observation that was found plausible. */
    Result add(NodeObservation observation) {
        List<NodeObservation> ofNode = byNode.get(observation.nodeId());
        if (ofNode == null) {
            if (byNode.size() >= maxNodes) {
                return Result.NO_ROOM;
            }
            byNode.put(observation.nodeId(), new ArrayList<>(List.of(observation)));
            return Result.ADDED;
        }
        // An instance has one observation of a node, its latest, whatever its generation was.
        for (int i = 0; i < ofNode.size(); i++) {
            if (ofNode.get(i).origin().name().equals(observation.origin().name())) {
                if (!observation.observedAt().isAfter(ofNode.get(i).observedAt())) {
                    return Result.KNOWN;
                }
                ofNode.set(i, observation);
                return Result.ADDED;
            }
        }
        if (ofNode.size() >= MAX_ORIGINS_PER_NODE) {
            NodeObservation oldest =
                    ofNode.stream()
                            .min(Comparator.comparing(NodeObservation::observedAt))
                            .orElseThrow();
            if (!observation.observedAt().isAfter(oldest.observedAt())) {
                return Result.KNOWN;
            }
            ofNode.remove(oldest);
        }
        ofNode.add(observation);
        return Result.ADDED;
    }

    /** The observations of one node; empty where there are none. */
    List<NodeObservation> observationsOf(String nodeId) {
        return byNode.getOrDefault(nodeId, List.of());
    }

    Stream<NodeObservation> all() {
        return byNode.values().stream().flatMap(List::stream);
    }

    /** Removes observations older than the maximum age; returns how many there were. */
    int removeExpired(Instant now) {
        int before = size();
        byNode.values()
                .forEach(
                        ofNode ->
                                ofNode.removeIf(
                                        observation ->
                                                observation
                                                                .age(now)
                                                                .compareTo(
                                                                        ObservationWeights.MAX_AGE)
                                                        > 0));
        byNode.values().removeIf(List::isEmpty);
        return before - size();
    }

    int size() {
        return byNode.values().stream().mapToInt(List::size).sum();
    }
}
