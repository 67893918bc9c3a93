package cypressglade.learn;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeDirectory.Known;
import cypressglade.core.NodeFact;
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

/** What is believed of what others say. */
class LearnerTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Origin SELF = new Origin("b", 2);
    private static final Origin OTHER = new Origin("a", 1);
    private static final double PACE = 5_000;

    private final Learner learner = new Learner(SELF, 100);

    private static Word word(Origin origin, boolean silent, long startedUs, Duration age) {
        return new Word(
                "s-1",
                startedUs,
                PACE,
                1000,
                0.3,
                0.1,
                50,
                silent ? Duration.ofSeconds(1) : Duration.ZERO,
                NOW.minus(age),
                origin);
    }

    private static NodeFact fact(
            boolean guarded,
            boolean silent,
            long startedUs,
            double pace,
            int answers,
            Duration seenAgo) {
        long ago = seenAgo == null ? -1 : seenAgo.toNanos() / 1000;
        return new NodeFact(
                new Known(
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
                        pace,
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

    private static NodeFact unseen() {
        return fact(false, false, 0, 13_000, 0, null);
    }

    private List<Taught> hints(NodeFact fact) {
        return learner.hints(List.of(fact), NOW);
    }

    /** Ages in seconds of a word that it answers and one that it is silent; -1 for none. */
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
    void healthAgesFastAndSilenceSlowly(double answered, double silent, boolean believedSilent) {
        if (answered >= 0) {
            learner.take(
                    List.of(word(OTHER, false, 0, Duration.ofMillis((long) (answered * 1000)))),
                    NOW);
        }
        if (silent >= 0) {
            learner.take(
                    List.of(
                            word(
                                    new Origin("c", 3),
                                    true,
                                    0,
                                    Duration.ofMillis((long) (silent * 1000)))),
                    NOW);
        }
        assertThat(hints(unseen()))
                .singleElement()
                .extracting(Taught::silent)
                .isEqualTo(believedSilent);
    }

    @ParameterizedTest
    @CsvSource({"0, 5000, 1", "20, 5000, 100000", "119, 5000, 100000"})
    void paceIsDrawnToTheAverageAsTheWordAges(int seconds, double told, double otherPace) {
        Word other = new Word("s-2", 0, otherPace, 0, 0, 0, 50, Duration.ZERO, NOW, OTHER);
        learner.take(List.of(word(OTHER, false, 0, Duration.ofSeconds(seconds)), other), NOW);
        double average = (told + otherPace) / 2;
        assertThat(hints(unseen()).get(0).paceUs())
                .isCloseTo(
                        average + Math.pow(2, -seconds / 20.0) * (told - average),
                        org.assertj.core.data.Offset.offset(1.0));
    }

    @Test
    void wordOlderThanItsLifeTeachesNothing() {
        learner.take(List.of(word(OTHER, false, 0, Duration.ofSeconds(121))), NOW);
        assertThat(hints(unseen())).isEmpty();
        assertThat(learner.count(Count.WORDS_AGED_OUT)).isEqualTo(1);
    }

    /**
     * Starts by the own list and by the word; which one is taught, and whether the pace is
     * believed.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, true",
        "0, 7, 7, true",
        "9, 7, -1, false",
        "7, 7, 0, true",
        "7, 9, 9, true"
    })
    void ofTwoWordsOnWarmthTheColderHoldsAndAnEarlierRunTeachesNothing(
            long listed, long told, long taught, boolean believed) {
        learner.take(List.of(word(OTHER, false, told, Duration.ZERO)), NOW);
        List<Taught> hints = hints(fact(false, false, listed, 13_000, 0, null));
        assertThat(hints).hasSize(believed ? 1 : 0);
        hints.forEach(hint -> assertThat(hint.startedUs()).isEqualTo(taught));
    }

    /** Guards against hearsay that overrules what the instance saw itself, and against repeats. */
    @ParameterizedTest
    @CsvSource({"100, false, 0", "1900, false, 0", "2100, false, 1", "0, true, 0"})
    void ownSightBeatsHearsay(int seenAgoMs, boolean silent, int hints) {
        learner.take(List.of(word(OTHER, !silent, 0, Duration.ZERO)), NOW);
        NodeFact fact = fact(false, silent, 0, PACE, 20, Duration.ofMillis(seenAgoMs));
        assertThat(hints(fact)).hasSize(hints);
        assertThat(hints(fact)).isEmpty();
    }

    /**
     * Guards against evidence of one that comes back as evidence of another, and against younger
     * copies.
     */
    @Test
    void echoesCountForNothingAndWordsNeverGrowYoungerThroughHands() {
        Learner first = new Learner(OTHER, 100);
        first.own(List.of(fact(false, false, 0, PACE, 30, Duration.ofMillis(100))), NOW);
        List<Word> told = first.words(NOW, 10);
        assertThat(told)
                .singleElement()
                .extracting(word -> word.age(NOW))
                .isEqualTo(Duration.ofMillis(100));
        for (int i = 1; i <= 50; i++) { // to and fro, 20 ms a way, while the first sees nothing new
            Instant now = NOW.plusMillis(40L * i);
            assertThat(learner.take(told, now.minusMillis(20))).isEqualTo(i == 1 ? 1 : 0);
            assertThat(first.take(learner.words(now, 10), now)).isZero();
            told = first.words(now, 10);
            assertThat(told)
                    .extracting(word -> word.age(now))
                    .containsExactly(Duration.ofMillis(100 + 40L * i));
        }
        assertThat(first.count(Count.WORDS_ECHOED)).isEqualTo(50);
        assertThat(learner.count(Count.WORDS_TAKEN)).isEqualTo(1);
        Learner restarted = new Learner(new Origin(OTHER.name(), 77), 100);
        assertThat(restarted.take(learner.words(NOW.plusSeconds(3), 10), NOW.plusSeconds(3)))
                .isEqualTo(1);
    }

    /**
     * Guards against a node that was drained, or left the list, while word of it was on its way.
     */
    @Test
    void nodesThatMayNotBeUsedAreNotTaughtOf() {
        learner.take(List.of(word(OTHER, true, 0, Duration.ZERO)), NOW);
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
        assertThat(hints(new NodeFact(unseen().known(), drained))).isEmpty();
        assertThat(learner.hints(List.of(), NOW)).isEmpty();
        assertThat(hints(unseen())).hasSize(1);
    }

    @Test
    void whatTheModuleHasByHearsayIsNeverToldOn() {
        learner.own(List.of(fact(true, true, 0, PACE, 0, null)), NOW);
        assertThat(learner.words(NOW, 10)).isEmpty();
        learner.own(List.of(fact(false, true, 0, PACE, 0, null)), NOW.plusSeconds(1));
        learner.own(List.of(fact(false, true, 0, PACE, 0, null)), NOW.plusSeconds(4));
        assertThat(learner.words(NOW.plusSeconds(4), 10))
                .singleElement()
                .matches(Word::silent)
                .extracting(Word::silentFor)
                .isEqualTo(Duration.ofMillis(3001));
    }

    /** Guards against silence that is forgotten when the last attempt there has timed out. */
    @Test
    void silenceStandsUntilASignOfLifeAndAges() {
        learner.own(List.of(fact(false, true, 0, PACE, 0, Duration.ofSeconds(3))), NOW);
        learner.own(
                List.of(fact(false, false, 0, PACE, 0, Duration.ofSeconds(5))), NOW.plusSeconds(2));
        assertThat(learner.words(NOW.plusSeconds(2), 10))
                .singleElement()
                .matches(Word::silent)
                .extracting(Word::at)
                .isEqualTo(NOW);
        learner.own(
                List.of(fact(false, true, 0, PACE, 0, Duration.ofSeconds(6))), NOW.plusSeconds(3));
        assertThat(learner.words(NOW.plusSeconds(3), 10))
                .singleElement()
                .extracting(Word::silentFor)
                .isEqualTo(Duration.ofMillis(3001));
        NodeView probed =
                new NodeView(
                        1, 0, true, false, false, 0, PACE, 0, 0, 0, 0, -1, 10_000, 0, 32, 0, 0);
        learner.own(List.of(new NodeFact(unseen().known(), probed)), NOW.plusSeconds(4));
        assertThat(learner.words(NOW.plusSeconds(4), 10)).isEmpty();
    }

    /** Guards against views that are already drawn to the average, told as what was learned. */
    @Test
    void ownWordKeepsWhatItsLastAnswersTold() {
        learner.own(List.of(fact(false, false, 0, PACE, 30, Duration.ofMillis(100))), NOW);
        learner.own(
                List.of(fact(false, false, 0, 13_000, 30, Duration.ofSeconds(9))),
                NOW.plusSeconds(9));
        assertThat(learner.words(NOW.plusSeconds(9), 10))
                .singleElement()
                .matches(
                        word ->
                                word.paceUs() == PACE
                                        && word.age(NOW.plusSeconds(9)).toMillis() == 9100);
        learner.own(
                List.of(fact(false, false, 5, 13_000, 0, Duration.ofMillis(1))),
                NOW.plusSeconds(10));
        assertThat(learner.words(NOW.plusSeconds(10), 10))
                .singleElement()
                .matches(word -> word.startedUs() == 5);
        learner.own(List.of(), NOW.plusSeconds(11));
        assertThat(learner.words(NOW.plusSeconds(11), 10)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "false, false, 5200, 1, 0",
        "false, false, 50000, 0, 1",
        "true, false, 5000, 0, 1",
        "true, true, 5000, 1, 0",
        "false, true, 5000, 0, 1"
    })
    void hintsAreJudgedByOwnSightAndLiarsBelievedLess(
            boolean toldSilent, boolean silent, double pace, int confirmed, int contradicted) {
        learner.take(List.of(word(OTHER, toldSilent, 0, Duration.ZERO)), NOW);
        assertThat(hints(unseen())).hasSize(1);
        learner.own(List.of(fact(true, toldSilent, 0, PACE, 0, null)), NOW);
        assertThat(learner.count(Count.HINTS_CONFIRMED) + learner.count(Count.HINTS_CONTRADICTED))
                .isZero();
        for (int i = 0; i < 2; i++) {
            learner.own(
                    List.of(fact(false, silent, 0, pace, 9, silent ? null : Duration.ZERO)), NOW);
        }
        assertThat(learner.count(Count.HINTS_CONFIRMED)).isEqualTo(confirmed);
        assertThat(learner.count(Count.HINTS_CONTRADICTED)).isEqualTo(contradicted);
        Word later =
                new Word(
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
        learner.take(
                List.of(later, word(OTHER, false, 0, Duration.ofSeconds(-2))), NOW.plusSeconds(2));
        double mean = (99_000 + PACE) / 2;
        Taught taught =
                learner.hints(List.of(fact(false, false, 0, 1, 0, null)), NOW.plusSeconds(2))
                        .get(0);
        assertThat(taught.paceUs()).matches(value -> contradicted == 1 == value > mean + 2000);
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
    void figuresThatMakeNoSenseAreRefusedAndNothingElse(
            double pace, double backlog, double strain, double errors, int answers) {
        Word bad =
                new Word(
                        "s-1",
                        0,
                        pace,
                        backlog,
                        strain,
                        errors,
                        answers,
                        Duration.ZERO,
                        NOW,
                        OTHER);
        assertThat(learner.take(List.of(bad, word(OTHER, false, 0, Duration.ZERO)), NOW))
                .isEqualTo(1);
        assertThat(learner.count(Count.WORDS_REFUSED)).isEqualTo(1);
        assertThat(hints(unseen()).get(0).paceUs()).isEqualTo(PACE);
    }

    /**
     * Guards against memory that a flood of words fills, and against figures that a mix of words
     * breaks.
     */
    @Test
    void floodStaysWithinTheRoomAndBeliefsWithinTheWords() {
        SplittableRandom random = new SplittableRandom(7);
        List<Word> flood = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            flood.add(anyWord(random));
        }
        learner.take(flood, NOW);
        assertThat(learner.kept()).isLessThanOrEqualTo(100 * Hearsay.ORIGINS);
        assertThat(learner.count(Count.WORDS_NO_ROOM)).isPositive();
        flood.stream()
                .map(Word::node)
                .distinct()
                .map(
                        node -> {
                            List<Word> words =
                                    flood.stream()
                                            .filter(word -> word.node().equals(node))
                                            .toList();
                            return new Belief(words, NOW, 13_000, origin -> 0.5).taught(node, 0);
                        })
                .flatMap(Optional::stream)
                .forEach(
                        taught ->
                                assertThat(taught)
                                        .matches(
                                                hint ->
                                                        hint.paceUs() >= 1
                                                                && hint.paceUs() <= 1e6 + 1
                                                                && hint.backlogUs() <= 1e6
                                                                && hint.strain() <= 100
                                                                && hint.errors() <= 1));
        learner.own(List.of(), NOW.plus(Trust.LIFE).plusSeconds(1));
        assertThat(learner.kept()).isZero();
    }

    private static Word anyWord(SplittableRandom random) {
        return new Word(
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
