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
final class Hearsay {
    static final int ORIGINS = 3;

    private final int mostNodes;
    private final Map<String, List<Word>> byNode = new HashMap<>();

    /** What became of a word. */
    enum Result {
        TAKEN,
        KNOWN,
        NO_ROOM
    }

    Hearsay(int mostNodes) {
        this.mostNodes = mostNodes;
    }

    /** Takes a word that was checked. */
    Result take(Word word) {
        List<Word> words = byNode.get(word.node());
        if (words == null) {
            if (byNode.size() >= mostNodes) {
                return Result.NO_ROOM;
            }
            byNode.put(word.node(), new ArrayList<>(List.of(word)));
            return Result.TAKEN;
        }
        // One instance has one view of a node, through all of its lives: its latest.
        for (int i = 0; i < words.size(); i++) {
            if (words.get(i).origin().name().equals(word.origin().name())) {
                if (!word.at().isAfter(words.get(i).at())) {
                    return Result.KNOWN;
                }
                words.set(i, word);
                return Result.TAKEN;
            }
        }
        if (words.size() >= ORIGINS) {
            Word oldest = words.stream().min(Comparator.comparing(Word::at)).orElseThrow();
            if (!word.at().isAfter(oldest.at())) {
                return Result.KNOWN;
            }
            words.remove(oldest);
        }
        words.add(word);
        return Result.TAKEN;
    }

    List<Word> of(String node) {
        return byNode.getOrDefault(node, List.of());
    }

    Stream<Word> all() {
        return byNode.values().stream().flatMap(List::stream);
    }

    /** Forgets what is too old; returns how many words that were. */
    int forget(Instant now) {
        int before = size();
        byNode.values()
                .forEach(words -> words.removeIf(word -> word.age(now).compareTo(Trust.LIFE) > 0));
        byNode.values().removeIf(List::isEmpty);
        return before - size();
    }

    int size() {
        return byNode.values().stream().mapToInt(List::size).sum();
    }
}
