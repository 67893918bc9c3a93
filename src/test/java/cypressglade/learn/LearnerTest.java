package cypressglade.learn;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.State;
import cypressglade.learn.Learner.Count;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which hints follow from the observations of other instances. */
class LearnerTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Origin SELF = new Origin("b", 2);
    private static final Origin OTHER = new Origin("a", 1);
    private static final double SERVICE_TIME_MICROS = 5_000;

    private final Learner learner = new Learner(SELF, 100);

    private static NodeObservation observation(
            Origin origin, boolean silent, long startedMicros, Duration age) {
        return new NodeObservation(
                "s-1",
                startedMicros,
                SERVICE_TIME_MICROS,
                1000,
                0.3,
                0.1,
                50,
                silent ? Duration.ofSeconds(1) : Duration.ZERO,
                NOW.minus(age),
                origin);
    }

    private static NodeStatus fact(
            boolean guarded,
            boolean silent,
            long startedUs,
            double serviceTimeMicros,
            int answers,
            Duration seenAgo) {
        long ago = seenAgo == null ? -1 : seenAgo.toNanos() / 1000;
        return new NodeStatus(
                new NodeDirectory.ListedNode(
                        "s-1",
                        new InetSocketAddress("127.0.0.1", 1),
                        0,
                        State.READY,
                        Instant.EPOCH,
                        Instant.EPOCH),
                new NodeView(
                        1,
                        0,
                        true,
                        guarded,
                        silent,
                        startedUs,
                        serviceTimeMicros,
                        0,
                        0.3,
                        0,
                        answers,
                        ago,
                        ago,
                        0,
                        32,
                        0,
                        Double.MAX_VALUE));
    }

    private static NodeStatus unseen() {
        return fact(false, false, 0, 13_000, 0, null);
    }

    private List<NodeHint> hints(NodeStatus fact) {
        return learner.hints(List.of(fact), NOW);
    }

    /**
     * Ages in seconds of an observation that the node answers, and of one that it is silent; -1 for
     * none.
     */
    @ParameterizedTest
    @CsvSource({
        "0, -1, false",
        "-1, 0, true",
        "-1, 59, true",
        "-1, 61, false",
        "1, 2, false",
        "2, 1, true",
        "4.9, 30, false",
        "5.1, 30, true",
        "5.1, 61, false",
        "30, 20, true"
    })
    void healthObservationsExpireSoonerThanSilence(
            double answered, double silent, boolean hintedSilent) {
        if (answered >= 0) {
            learner.receive(
                    List.of(
                            observation(
                                    OTHER, false, 0, Duration.ofMillis((long) (answered * 1000)))),
                    NOW);
        }
        if (silent >= 0) {
            learner.receive(
                    List.of(
                            observation(
                                    new Origin("c", 3),
                                    true,
                                    0,
                                    Duration.ofMillis((long) (silent * 1000)))),
                    NOW);
        }
        assertThat(hints(unseen()))
                .singleElement()
                .extracting(NodeHint::silent)
                .isEqualTo(hintedSilent);
    }

    @ParameterizedTest
    @CsvSource({"0, 5000, 1", "20, 5000, 100000", "119, 5000, 100000"})
    void serviceTimeMovesToTheAverageWithAge(
            int seconds, double observedMicros, double otherMicros) {
        NodeObservation other =
                new NodeObservation("s-2", 0, otherMicros, 0, 0, 0, 50, Duration.ZERO, NOW, OTHER);
        learner.receive(
                List.of(observation(OTHER, false, 0, Duration.ofSeconds(seconds)), other), NOW);
        double average = (observedMicros + otherMicros) / 2;
        assertThat(hints(unseen()).get(0).serviceTimePerUnitMicros())
                .isCloseTo(
                        average + Math.pow(2, -seconds / 20.0) * (observedMicros - average),
                        org.assertj.core.data.Offset.offset(1.0));
    }

    @Test
    void expiredObservationsYieldNoHint() {
        learner.receive(List.of(observation(OTHER, false, 0, Duration.ofSeconds(121))), NOW);
        assertThat(hints(unseen())).isEmpty();
        assertThat(learner.count(Count.WORDS_AGED_OUT)).isEqualTo(1);
    }

    /**
     * Starts of the node according to the own node list and the observation; the start that is
     * hinted, and whether there is a hint.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, true",
        "0, 7, 7, true",
        "9, 7, -1, false",
        "7, 7, 0, true",
        "7, 9, 9, true"
    })
    void laterStartTakesPrecedenceAndEarlierRunsYieldNoHint(
            long listed, long observed, long hinted, boolean isUsed) {
        learner.receive(List.of(observation(OTHER, false, observed, Duration.ZERO)), NOW);
        List<NodeHint> hints = hints(fact(false, false, listed, 13_000, 0, null));
        assertThat(hints).hasSize(isUsed ? 1 : 0);
        hints.forEach(hint -> assertThat(hint.startedMicros()).isEqualTo(hinted));
    }

    /**
     * Guards against observations of others that override what the instance observed itself, and
     * against repeated hints.
     */
    @ParameterizedTest
    @CsvSource({"100, false, 0", "1900, false, 0", "2100, false, 1", "0, true, 0"})
    void ownObservationsTakePrecedenceOverPeers(int seenAgoMs, boolean silent, int hints) {
        learner.receive(List.of(observation(OTHER, !silent, 0, Duration.ZERO)), NOW);
        NodeStatus fact =
                fact(false, silent, 0, SERVICE_TIME_MICROS, 20, Duration.ofMillis(seenAgoMs));
        assertThat(hints(fact)).hasSize(hints);
        assertThat(hints(fact)).isEmpty();
    }

    /**
     * Guards against an instance's own observation coming back as evidence of another, and against
     * copies that look younger.
     */
    @Test
    void echoesAreIgnoredAndAgesNeverShrinkWhenPassedOn() {
        Learner first = new Learner(OTHER, 100);
        first.observe(
                List.of(fact(false, false, 0, SERVICE_TIME_MICROS, 30, Duration.ofMillis(100))),
                NOW);
        List<NodeObservation> sent = first.observations(NOW, 10);
        assertThat(sent)
                .singleElement()
                .extracting(observation -> observation.age(NOW))
                .isEqualTo(Duration.ofMillis(100));
        for (int i = 1; i <= 50; i++) { // 20 ms each way, without a new observation at the first
            Instant now = NOW.plusMillis(40L * i);
            assertThat(learner.receive(sent, now.minusMillis(20))).isEqualTo(i == 1 ? 1 : 0);
            assertThat(first.receive(learner.observations(now, 10), now)).isZero();
            sent = first.observations(now, 10);
            assertThat(sent)
                    .extracting(observation -> observation.age(now))
                    .containsExactly(Duration.ofMillis(100 + 40L * i));
        }
        assertThat(first.count(Count.WORDS_ECHOED)).isEqualTo(50);
        assertThat(learner.count(Count.WORDS_TAKEN)).isEqualTo(1);
        Learner restarted = new Learner(new Origin(OTHER.name(), 77), 100);
        assertThat(
                        restarted.receive(
                                learner.observations(NOW.plusSeconds(3), 10), NOW.plusSeconds(3)))
                .isEqualTo(1);
    }

    /**
     * Guards against a hint for a node that was drained, or left the list, while an observation of
     * it was on its way.
     */
    @Test
    void unusableNodesGetNoHint() {
        learner.receive(List.of(observation(OTHER, true, 0, Duration.ZERO)), NOW);
        NodeView view = unseen().view();
        NodeView drained =
                new NodeView(
                        1,
                        0,
                        false,
                        false,
                        false,
                        0,
                        view.serviceTimePerUnitUs(),
                        0,
                        0.3,
                        0,
                        0,
                        -1,
                        -1,
                        0,
                        32,
                        0,
                        0);
        assertThat(hints(new NodeStatus(unseen().node(), drained))).isEmpty();
        assertThat(learner.hints(List.of(), NOW)).isEmpty();
        assertThat(hints(unseen())).hasSize(1);
    }

    @Test
    void guardedViewsAreNotPassedOn() {
        learner.observe(List.of(fact(true, true, 0, SERVICE_TIME_MICROS, 0, null)), NOW);
        assertThat(learner.observations(NOW, 10)).isEmpty();
        learner.observe(
                List.of(fact(false, true, 0, SERVICE_TIME_MICROS, 0, null)), NOW.plusSeconds(1));
        learner.observe(
                List.of(fact(false, true, 0, SERVICE_TIME_MICROS, 0, null)), NOW.plusSeconds(4));
        assertThat(learner.observations(NOW.plusSeconds(4), 10))
                .singleElement()
                .matches(NodeObservation::isSilent)
                .extracting(NodeObservation::silentFor)
                .isEqualTo(Duration.ofMillis(3001));
    }

    /** Guards against forgetting silence when the last attempt at the node has timed out. */
    @Test
    void silenceLastsUntilASignOfLifeAndAges() {
        learner.observe(
                List.of(fact(false, true, 0, SERVICE_TIME_MICROS, 0, Duration.ofSeconds(3))), NOW);
        learner.observe(
                List.of(fact(false, false, 0, SERVICE_TIME_MICROS, 0, Duration.ofSeconds(5))),
                NOW.plusSeconds(2));
        assertThat(learner.observations(NOW.plusSeconds(2), 10))
                .singleElement()
                .matches(NodeObservation::isSilent)
                .extracting(NodeObservation::observedAt)
                .isEqualTo(NOW);
        learner.observe(
                List.of(fact(false, true, 0, SERVICE_TIME_MICROS, 0, Duration.ofSeconds(6))),
                NOW.plusSeconds(3));
        assertThat(learner.observations(NOW.plusSeconds(3), 10))
                .singleElement()
                .extracting(NodeObservation::silentFor)
                .isEqualTo(Duration.ofMillis(3001));
        NodeView probed =
                new NodeView(
                        1,
                        0,
                        true,
                        false,
                        false,
                        0,
                        SERVICE_TIME_MICROS,
                        0,
                        0,
                        0,
                        0,
                        -1,
                        10_000,
                        0,
                        32,
                        0,
                        0);
        learner.observe(List.of(new NodeStatus(unseen().node(), probed)), NOW.plusSeconds(4));
        assertThat(learner.observations(NOW.plusSeconds(4), 10)).isEmpty();
    }

    /**
     * Guards against reporting a view that is already moved towards the average as if it had been
     * observed.
     */
    @Test
    void ownObservationKeepsValuesOfLastAnswers() {
        learner.observe(
                List.of(fact(false, false, 0, SERVICE_TIME_MICROS, 30, Duration.ofMillis(100))),
                NOW);
        learner.observe(
                List.of(fact(false, false, 0, 13_000, 30, Duration.ofSeconds(9))),
                NOW.plusSeconds(9));
        assertThat(learner.observations(NOW.plusSeconds(9), 10))
                .singleElement()
                .matches(
                        observation ->
                                observation.serviceTimePerUnitMicros() == SERVICE_TIME_MICROS
                                        && observation.age(NOW.plusSeconds(9)).toMillis() == 9100);
        learner.observe(
                List.of(fact(false, false, 5, 13_000, 0, Duration.ofMillis(1))),
                NOW.plusSeconds(10));
        assertThat(learner.observations(NOW.plusSeconds(10), 10))
                .singleElement()
                .matches(observation -> observation.startedMicros() == 5);
        learner.observe(List.of(), NOW.plusSeconds(11));
        assertThat(learner.observations(NOW.plusSeconds(11), 10)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "false, false, 5200, 1, 0",
        "false, false, 50000, 0, 1",
        "true, false, 5000, 0, 1",
        "true, true, 5000, 1, 0",
        "false, true, 5000, 0, 1"
    })
    void hintsAreJudgedByOwnAnswersAndContradictedOriginsLoseTrust(
            boolean reportedSilent,
            boolean silent,
            double ownMicros,
            int confirmed,
            int contradicted) {
        learner.receive(List.of(observation(OTHER, reportedSilent, 0, Duration.ZERO)), NOW);
        assertThat(hints(unseen())).hasSize(1);
        learner.observe(List.of(fact(true, reportedSilent, 0, SERVICE_TIME_MICROS, 0, null)), NOW);
        assertThat(learner.count(Count.HINTS_CONFIRMED) + learner.count(Count.HINTS_CONTRADICTED))
                .isZero();
        for (int i = 0; i < 2; i++) {
            learner.observe(
                    List.of(fact(false, silent, 0, ownMicros, 9, silent ? null : Duration.ZERO)),
                    NOW);
        }
        assertThat(learner.count(Count.HINTS_CONFIRMED)).isEqualTo(confirmed);
        assertThat(learner.count(Count.HINTS_CONTRADICTED)).isEqualTo(contradicted);
        NodeObservation later =
                new NodeObservation(
                        "s-1",
                        0,
                        99_000,
                        0,
                        0,
                        0,
                        50,
                        Duration.ZERO,
                        NOW.plusSeconds(2),
                        new Origin("d", 4));
        learner.receive(
                List.of(later, observation(OTHER, false, 0, Duration.ofSeconds(-2))),
                NOW.plusSeconds(2));
        double mean = (99_000 + SERVICE_TIME_MICROS) / 2;
        NodeHint hint =
                learner.hints(List.of(fact(false, false, 0, 1, 0, null)), NOW.plusSeconds(2))
                        .get(0);
        assertThat(hint.serviceTimePerUnitMicros())
                .matches(value -> contradicted == 1 == value > mean + 2000);
    }

    @ParameterizedTest
    @CsvSource({
        "NaN, 0, 0, 0, 0",
        "0, 0, 0, 0, 0",
        "-1, 0, 0, 0, 0",
        "Infinity, 0, 0, 0, 0",
        "1e9, 0, 0, 0, 0",
        "1, NaN, 0, 0, 0",
        "1, -1, 0, 0, 0",
        "1, 0, NaN, 0, 0",
        "1, 0, 1e3, 0, 0",
        "1, 0, 0, 1.1, 0",
        "1, 0, 0, NaN, 0",
        "1, 0, 0, 0, -1"
    })
    void onlyImplausibleObservationsAreRefused(
            double serviceTimeMicros,
            double backlogMicros,
            double latencyRatio,
            double errorRatio,
            int answers) {
        NodeObservation implausible =
                new NodeObservation(
                        "s-1",
                        0,
                        serviceTimeMicros,
                        backlogMicros,
                        latencyRatio,
                        errorRatio,
                        answers,
                        Duration.ZERO,
                        NOW,
                        OTHER);
        assertThat(
                        learner.receive(
                                List.of(implausible, observation(OTHER, false, 0, Duration.ZERO)),
                                NOW))
                .isEqualTo(1);
        assertThat(learner.count(Count.WORDS_REFUSED)).isEqualTo(1);
        assertThat(hints(unseen()).get(0).serviceTimePerUnitMicros())
                .isEqualTo(SERVICE_TIME_MICROS);
    }

    /**
     * Guards against a flood of observations that fills the memory, and against hints outside the
     * range of the observations that they rest on.
     */
    @Test
    void floodIsBoundedAndHintsStayWithinObservedRanges() {
        SplittableRandom random = new SplittableRandom(7);
        List<NodeObservation> flood = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            flood.add(randomObservation(random));
        }
        learner.receive(flood, NOW);
        assertThat(learner.peerObservationCount())
                .isLessThanOrEqualTo(100 * PeerObservations.MAX_ORIGINS_PER_NODE);
        assertThat(learner.count(Count.WORDS_NO_ROOM)).isPositive();
        flood.stream()
                .map(NodeObservation::nodeId)
                .distinct()
                .map(
                        node -> {
                            List<NodeObservation> ofNode =
                                    flood.stream()
                                            .filter(
                                                    observation ->
                                                            observation.nodeId().equals(node))
                                            .toList();
                            return new HintEstimator(ofNode, NOW, 13_000, origin -> 0.5)
                                    .hint(node, 0);
                        })
                .flatMap(Optional::stream)
                .forEach(
                        hint ->
                                assertThat(hint)
                                        .matches(
                                                value ->
                                                        value.serviceTimePerUnitMicros() >= 1
                                                                && value.serviceTimePerUnitMicros()
                                                                        <= 1e6 + 1
                                                                && value.backlogMicros() <= 1e6
                                                                && value.latencyRatio() <= 100
                                                                && value.errorRatio() <= 1));
        learner.observe(List.of(), NOW.plus(ObservationWeights.MAX_AGE).plusSeconds(1));
        assertThat(learner.peerObservationCount()).isZero();
    }

    private static NodeObservation randomObservation(SplittableRandom random) {
        return new NodeObservation(
                "s-" + random.nextInt(1000),
                0,
                1 + random.nextDouble() * 1e6,
                random.nextDouble() * 1e6,
                random.nextDouble() * 100,
                random.nextDouble(),
                random.nextInt(1000),
                Duration.ofMillis(random.nextInt(2)),
                NOW.minusMillis(random.nextInt(120_000)),
                new Origin("o-" + random.nextInt(40), random.nextLong()));
    }
}
