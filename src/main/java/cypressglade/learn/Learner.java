package cypressglade.learn;

import cypressglade.core.NodeFact;
import cypressglade.core.Scheduler.NodeView;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What one instance knows of the nodes: its own words, made of the module's views, and the words of
 * others. It says what the module is to be told, and what to tell others. Own answers beat hearsay
 * at any age up to {@link #OWN_LIFE}: of such a node nothing is told to the module.
 *
 * <p>Not safe for use by several threads; its owner is one thread.
 */
public final class Learner {
    /** The module itself takes a node for average again by then. */
    static final Duration OWN_LIFE = Duration.ofSeconds(2);

    /** A view this fresh shows the node as its last answers did, not yet drawn to the average. */
    private static final Duration FRESH = Duration.ofMillis(600);

    /** Between two hints on one node: each takes its window back to the start. */
    private static final Duration HINT_GAP = Duration.ofSeconds(1);

    /** What is seen to be silent for the first time. */
    private static final Duration LEAST_SILENCE = Duration.ofMillis(1);

    /** A taught pace has held where the own one is within this factor. */
    private static final double HELD_FACTOR = 3;

    private static final int ANSWERS_TO_JUDGE = 4;
    private static final int MOST_ORIGINS = 256;
    private static final double START_PACE_US = 13_000;

    /** What became of words, over the life of the instance. */
    public enum Count {
        WORDS_TAKEN,
        WORDS_KNOWN,
        WORDS_ECHOED,
        WORDS_REFUSED,
        WORDS_NO_ROOM,
        WORDS_AGED_OUT,
        HINTS_TAKEN,
        HINTS_CONFIRMED,
        HINTS_CONTRADICTED
    }

    private final Origin self;
    private final Hearsay hearsay;
    private Map<String, Word> own = new LinkedHashMap<>();
    private final Map<String, Given> given = new HashMap<>();
    private final Map<Origin, Double> standing = new LinkedHashMap<>();
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);

    /** A hint that is not yet judged, or was. */
    private record Given(Taught taught, Instant at, boolean judged) {}

    /**
     * Nothing is known at first.
     *
     * @param mostNodes nodes that words of others are kept of, at three words each
     */
    public Learner(Origin self, int mostNodes) {
        this.self = self;
        this.hearsay = new Hearsay(mostNodes);
        for (Count count : Count.values()) {
            counts.put(count, 0L);
        }
    }

    public Origin self() {
        return self;
    }

    public long count(Count count) {
        return counts.get(count);
    }

    /**
     * Takes in what another told; each word was aged by its way before. Returns how many were new.
     */
    public int take(List<Word> words, Instant now) {
        int taken = 0;
        for (Word word : words) {
            Count count = judge(word, now);
            counts.merge(count, 1L, Long::sum);
            taken += count == Count.WORDS_TAKEN ? 1 : 0;
        }
        return taken;
    }

    private Count judge(Word word, Instant now) {
        if (word.origin().life() == self.life()) {
            return Count.WORDS_ECHOED; // what this instance said is no evidence to it
        } else if (!word.plausible(now)) {
            return Count.WORDS_REFUSED;
        } else if (word.age(now).compareTo(Trust.LIFE) > 0) {
            return Count.WORDS_AGED_OUT;
        }
        return switch (hearsay.take(word)) {
            case TAKEN -> Count.WORDS_TAKEN;
            case KNOWN -> Count.WORDS_KNOWN;
            case NO_ROOM -> Count.WORDS_NO_ROOM;
        };
    }

    /** Takes in the module's views: makes own words of them, and judges by them what was taught. */
    public void own(List<NodeFact> facts, Instant now) {
        counts.merge(Count.WORDS_AGED_OUT, (long) hearsay.forget(now), Long::sum);
        Map<String, Word> words = new LinkedHashMap<>();
        for (NodeFact fact : facts) {
            NodeView view = fact.view();
            String id = fact.known().id();
            Word before = own.get(id);
            if (!view.unconfirmed() && view.silent()) {
                Duration silentFor =
                        before != null && before.silent()
                                ? before.silentFor().plus(before.age(now))
                                : LEAST_SILENCE;
                words.put(id, Word.own(id, view, silentFor, now, self));
            } else if (!view.unconfirmed() && view.answeredAgoUs() >= 0) {
                Duration ago = Duration.ofNanos(view.answeredAgoUs() * 1000);
                boolean fresh = ago.compareTo(FRESH) <= 0;
                words.put(
                        id,
                        fresh || before == null || before.startedUs() != view.startedUs()
                                ? Word.own(id, view, Duration.ZERO, now.minus(ago), self)
                                : before);
            } else if (before != null
                    && before.startedUs() == view.startedUs()
                    && !(before.silent() && seenSince(before.at(), view, now))) {
                // The module holds a node for silent only while something is out there. Until a
                // sign of life comes the word stands, at the age of what it was seen by.
                words.put(id, before);
            }
            judge(fact);
        }
        words.values().removeIf(word -> word.age(now).compareTo(Trust.LIFE) > 0);
        own = words;
        given.keySet().retainAll(facts.stream().map(fact -> fact.known().id()).toList());
    }

    private static boolean seenSince(Instant then, NodeView view, Instant now) {
        return view.seenAgoUs() >= 0 && !now.minusNanos(view.seenAgoUs() * 1000).isBefore(then);
    }

    private void judge(NodeFact fact) {
        Given hint = given.get(fact.known().id());
        NodeView view = fact.view();
        if (hint == null || hint.judged() || view.unconfirmed()) {
            return;
        }
        boolean bothAnswer = !view.silent() && !hint.taught().silent();
        if (bothAnswer && view.answers() < ANSWERS_TO_JUDGE) {
            return; // the pace is judged by a few answers
        }
        double ratio = view.serviceTimePerUnitUs() / hint.taught().paceUs();
        boolean held =
                bothAnswer
                        ? ratio < HELD_FACTOR && ratio > 1 / HELD_FACTOR
                        : view.silent() == hint.taught().silent();
        counts.merge(held ? Count.HINTS_CONFIRMED : Count.HINTS_CONTRADICTED, 1L, Long::sum);
        hint.taught()
                .origins()
                .forEach(origin -> standing.put(origin, Trust.after(standing(origin), held)));
        while (standing.size() > MOST_ORIGINS) {
            standing.remove(standing.keySet().iterator().next());
        }
        given.put(fact.known().id(), new Given(hint.taught(), hint.at(), true));
    }

    private double standing(Origin origin) {
        return standing.getOrDefault(origin, 1.0);
    }

    /** What the module is to be told now; each call counts as told. */
    public List<Taught> hints(List<NodeFact> facts, Instant now) {
        double average =
                hearsay.all()
                        .filter(word -> !word.silent())
                        .mapToDouble(Word::paceUs)
                        .average()
                        .orElse(START_PACE_US);
        List<Taught> hints = new ArrayList<>();
        for (NodeFact fact : facts) {
            String id = fact.known().id();
            if (!fact.view().ready() || hearsay.of(id).isEmpty()) {
                continue;
            }
            new Belief(hearsay.of(id), now, average, this::standing)
                    .taught(id, fact.view().startedUs())
                    .filter(taught -> isNews(taught, fact.view(), now))
                    .ifPresent(
                            taught -> {
                                given.put(id, new Given(taught, now, false));
                                counts.merge(Count.HINTS_TAKEN, 1L, Long::sum);
                                hints.add(taught);
                            });
        }
        return hints;
    }

    /** Whether a belief tells more than the module knows and was told. */
    private boolean isNews(Taught taught, NodeView view, Instant now) {
        Given before = given.get(taught.node());
        boolean colder = taught.startedUs() > (before == null ? 0 : before.taught().startedUs());
        boolean ownKnowledge =
                !view.unconfirmed()
                        && (view.silent()
                                || view.seenAgoUs() >= 0
                                        && view.seenAgoUs() <= OWN_LIFE.toNanos() / 1000);
        boolean newer =
                before == null
                        || taught.newest().isAfter(before.taught().newest())
                                && Duration.between(before.at(), now).compareTo(HINT_GAP) >= 0;
        Instant seen = view.seenAgoUs() < 0 ? Instant.MIN : now.minusNanos(view.seenAgoUs() * 1000);
        return colder || !ownKnowledge && newer && taught.newest().isAfter(seen);
    }

    /**
     * What to tell others, the youngest first; a word of another goes on with its origin and its
     * age.
     */
    public List<Word> words(Instant now, int most) {
        return Stream.concat(own.values().stream(), hearsay.all())
                .filter(word -> word.age(now).compareTo(Trust.LIFE) <= 0)
                .sorted(Comparator.comparing(Word::at).reversed())
                .limit(most)
                .toList();
    }

    /** How many words of others are kept. */
    public int kept() {
        return hearsay.size();
    }
}
