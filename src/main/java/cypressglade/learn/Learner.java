package cypressglade.learn;

import cypressglade.core.NodeStatus;
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
 * What one instance knows of the nodes: its own observations, taken from the views of the
 * scheduling policy, and the observations of other instances. It decides which hints the policy
 * gets, and what is sent to other instances. Own answers take precedence over the observations of
 * others until they are {@link #MAX_OWN_AGE} old: the policy gets no hint for such a node, unless
 * another instance knows of a later start of it.
 *
 * <p>Not safe for use by several threads; its owner is one thread.
 */
public final class Learner {
    /** Age of own answers at which the policy itself takes a node for average again. */
    static final Duration MAX_OWN_AGE = Duration.ofSeconds(2);

    /**
     * Age of the last answer up to which a view shows what the answers said; an older view is
     * already moved towards the average.
     */
    private static final Duration MAX_FRESH_AGE = Duration.ofMillis(600);

    /** Between two hints for one node: each resets the node's window to its start value. */
    private static final Duration MIN_HINT_INTERVAL = Duration.ofSeconds(1);

    /** Silence of a node that is seen to be silent for the first time. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(1);

    /** A hinted service time is confirmed if this instance's own is within this factor of it. */
    private static final double MAX_CONFIRMED_RATIO = 3;

    private static final int MIN_ANSWERS_TO_JUDGE = 4;
    private static final int MAX_ORIGINS = 256;
    private static final double DEFAULT_SERVICE_TIME_MICROS = 13_000;

    /**
     * Counters since the start of the instance. They are reported to operators by their names,
     * which must not change; WORDS stands for observations.
     */
    public enum Count {
        /** Observations of others that were stored. */
        WORDS_TAKEN,
        /** Observations that are not newer than what is stored. */
        WORDS_KNOWN,
        /** Observations that this instance made itself, received back. */
        WORDS_ECHOED,
        /** Observations with values out of range. */
        WORDS_REFUSED,
        /** Observations dropped because too many nodes are known. */
        WORDS_NO_ROOM,
        /** Observations older than the maximum age, on receipt or later. */
        WORDS_AGED_OUT,
        /** Hints given to the scheduling policy. */
        HINTS_TAKEN,
        /** Hints that this instance's own answers confirmed. */
        HINTS_CONFIRMED,
        /** Hints that this instance's own answers contradicted. */
        HINTS_CONTRADICTED
    }

    private final Origin self;
    private final PeerObservations peerObservations;
    private Map<String, NodeObservation> ownObservations = new LinkedHashMap<>();
    private final Map<String, GivenHint> givenHints = new HashMap<>();
    private final Map<Origin, Double> trustByOrigin = new LinkedHashMap<>();
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);

    /** The last hint for a node, and whether own answers have confirmed or contradicted it yet. */
    private record GivenHint(NodeHint hint, Instant at, boolean isJudged) {}

    /**
     * Starts without any observations.
     *
     * @param self this instance in its present generation
     * @param maxNodes number of nodes of which observations of others are kept, at most three each
     */
    public Learner(Origin self, int maxNodes) {
        this.self = self;
        this.peerObservations = new PeerObservations(maxNodes);
        for (Count count : Count.values()) {
            counts.put(count, 0L);
        }
    }

    /** This instance in its present generation. */
    public Origin self() {
        return self;
    }

    /** The value of a counter. */
    public long count(Count count) {
        return counts.get(count);
    }

    /**
     * Stores the observations that another instance sent; their ages must include the time that
     * they took to arrive. Returns how many were new.
     */
    public int receive(List<NodeObservation> observations, Instant now) {
        int added = 0;
        for (NodeObservation observation : observations) {
            Count count = receive(observation, now);
            counts.merge(count, 1L, Long::sum);
            added += count == Count.WORDS_TAKEN ? 1 : 0;
        }
        return added;
    }

    private Count receive(NodeObservation observation, Instant now) {
        if (observation.origin().generation() == self.generation()) {
            return Count.WORDS_ECHOED; // What this instance observed is no further evidence to it.
        } else if (!observation.isPlausible(now)) {
            return Count.WORDS_REFUSED;
        } else if (observation.age(now).compareTo(ObservationWeights.MAX_AGE) > 0) {
            return Count.WORDS_AGED_OUT;
        }
        return switch (peerObservations.add(observation)) {
            case ADDED -> Count.WORDS_TAKEN;
            case KNOWN -> Count.WORDS_KNOWN;
            case NO_ROOM -> Count.WORDS_NO_ROOM;
        };
    }

    /**
     * Takes the scheduling policy's views of all nodes: makes own observations of them, and judges
     * by them the hints that were given.
     */
    public void observe(List<NodeStatus> facts, Instant now) {
        counts.merge(Count.WORDS_AGED_OUT, (long) peerObservations.removeExpired(now), Long::sum);
        Map<String, NodeObservation> observations = new LinkedHashMap<>();
        for (NodeStatus fact : facts) {
            NodeView view = fact.view();
            String id = fact.node().id();
            NodeObservation before = ownObservations.get(id);
            if (!view.unconfirmed() && view.silent()) {
                Duration silentFor =
                        before != null && before.isSilent()
                                ? before.silentFor().plus(before.age(now))
                                : MIN_SILENCE;
                observations.put(id, NodeObservation.fromView(id, view, silentFor, now, self));
            } else if (!view.unconfirmed() && view.answeredAgoUs() >= 0) {
                Duration ago = Duration.ofNanos(view.answeredAgoUs() * 1000);
                boolean isFresh = ago.compareTo(MAX_FRESH_AGE) <= 0;
                observations.put(
                        id,
                        isFresh || before == null || before.startedMicros() != view.startedUs()
                                ? NodeObservation.fromView(
                                        id, view, Duration.ZERO, now.minus(ago), self)
                                : before);
            } else if (before != null
                    && before.startedMicros() == view.startedUs()
                    && !(before.isSilent() && seenSince(before.observedAt(), view, now))) {
                // The policy takes a node for silent only while an attempt is in flight there. The
                // observation stays until there is a sign of life, and keeps its age.
                observations.put(id, before);
            }
            judgeHint(fact);
        }
        observations
                .values()
                .removeIf(
                        observation ->
                                observation.age(now).compareTo(ObservationWeights.MAX_AGE) > 0);
        ownObservations = observations;
        givenHints.keySet().retainAll(facts.stream().map(fact -> fact.node().id()).toList());
    }

    /** Whether a sign of life came from a node at or after a time. */
    private static boolean seenSince(Instant then, NodeView view, Instant now) {
        return view.seenAgoUs() >= 0 && !now.minusNanos(view.seenAgoUs() * 1000).isBefore(then);
    }

    /** Compares the last hint for a node with this instance's own view, once there is one. */
    private void judgeHint(NodeStatus fact) {
        GivenHint given = givenHints.get(fact.node().id());
        NodeView view = fact.view();
        if (given == null || given.isJudged() || view.unconfirmed()) {
            return;
        }
        boolean bothAnswer = !view.silent() && !given.hint().silent();
        if (bothAnswer && view.answers() < MIN_ANSWERS_TO_JUDGE) {
            return; // A service time is judged by several answers.
        }
        double ratio = view.serviceTimePerUnitUs() / given.hint().serviceTimePerUnitMicros();
        boolean isConfirmed =
                bothAnswer
                        ? ratio < MAX_CONFIRMED_RATIO && ratio > 1 / MAX_CONFIRMED_RATIO
                        : view.silent() == given.hint().silent();
        counts.merge(isConfirmed ? Count.HINTS_CONFIRMED : Count.HINTS_CONTRADICTED, 1L, Long::sum);
        given.hint()
                .origins()
                .forEach(
                        origin ->
                                trustByOrigin.put(
                                        origin,
                                        ObservationWeights.updatedTrust(
                                                trust(origin), isConfirmed)));
        while (trustByOrigin.size() > MAX_ORIGINS) {
            trustByOrigin.remove(trustByOrigin.keySet().iterator().next());
        }
        givenHints.put(fact.node().id(), new GivenHint(given.hint(), given.at(), true));
    }

    private double trust(Origin origin) {
        return trustByOrigin.getOrDefault(origin, 1.0);
    }

    /** The hints to give to the scheduling policy now; those returned count as given. */
    public List<NodeHint> hints(List<NodeStatus> facts, Instant now) {
        double averageMicros =
                peerObservations
                        .all()
                        .filter(observation -> !observation.isSilent())
                        .mapToDouble(NodeObservation::serviceTimePerUnitMicros)
                        .average()
                        .orElse(DEFAULT_SERVICE_TIME_MICROS);
        List<NodeHint> hints = new ArrayList<>();
        for (NodeStatus fact : facts) {
            String id = fact.node().id();
            if (!fact.view().ready() || peerObservations.observationsOf(id).isEmpty()) {
                continue;
            }
            new HintEstimator(peerObservations.observationsOf(id), now, averageMicros, this::trust)
                    .hint(id, fact.view().startedUs())
                    .filter(hint -> isUseful(hint, fact.view(), now))
                    .ifPresent(
                            hint -> {
                                givenHints.put(id, new GivenHint(hint, now, false));
                                counts.merge(Count.HINTS_TAKEN, 1L, Long::sum);
                                hints.add(hint);
                            });
        }
        return hints;
    }

    /** Whether a hint says more than the policy observed itself and was told before. */
    private boolean isUseful(NodeHint hint, NodeView view, Instant now) {
        GivenHint before = givenHints.get(hint.nodeId());
        boolean isColder =
                hint.startedMicros() > (before == null ? 0 : before.hint().startedMicros());
        boolean hasOwnKnowledge =
                !view.unconfirmed()
                        && (view.silent()
                                || view.seenAgoUs() >= 0
                                        && view.seenAgoUs() <= MAX_OWN_AGE.toNanos() / 1000);
        boolean isNewer =
                before == null
                        || hint.newestObservedAt().isAfter(before.hint().newestObservedAt())
                                && Duration.between(before.at(), now).compareTo(MIN_HINT_INTERVAL)
                                        >= 0;
        Instant seen = view.seenAgoUs() < 0 ? Instant.MIN : now.minusNanos(view.seenAgoUs() * 1000);
        return isColder || !hasOwnKnowledge && isNewer && hint.newestObservedAt().isAfter(seen);
    }

    /**
     * The observations to send to other instances, the youngest first: own ones, and those of
     * others with their origin and age unchanged.
     *
     * @param max how many are returned at most
     */
    public List<NodeObservation> observations(Instant now, int max) {
        return Stream.concat(ownObservations.values().stream(), peerObservations.all())
                .filter(
                        observation ->
                                observation.age(now).compareTo(ObservationWeights.MAX_AGE) <= 0)
                .sorted(Comparator.comparing(NodeObservation::observedAt).reversed())
                .limit(max)
                .toList();
    }

    /** Number of observations of others that are stored. */
    public int peerObservationCount() {
        return peerObservations.size();
    }
}
