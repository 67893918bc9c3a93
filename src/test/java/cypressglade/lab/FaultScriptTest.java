package cypressglade.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.lab.FaultScript.Verb;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Scripts of faults, and what they do to links. */
class FaultScriptTest {
    @Test
    void stepsGoByTimeAndAct() throws Exception {
        FaultScript script =
                FaultScript.parse(
                        "s",
                        """
                # a split, with one link that loses half
                2s cut 0,1 2
                0s loss 0 1 0.5
                500ms kill 2
                3s mend
                """,
                        3);
        assertThat(script.steps())
                .extracting(FaultScript.Step::verb)
                .containsExactly(Verb.LOSS, Verb.KILL, Verb.CUT, Verb.MEND);
        Faults faults = new Faults(7);
        assertThat(script.steps())
                .extracting(step -> FaultScript.apply(step, faults))
                .containsExactly(true, false, true, true);
        long passed = IntStream.range(0, 1000).filter(i -> !faults.fate(0, 1).isEmpty()).count();
        assertThat(passed).isBetween(440L, 560L);
        assertThat(faults.fate(0, 2)).hasSize(1);
        FaultScript.apply(script.steps().get(2), faults);
        assertThat(faults.fate(0, 2)).isEmpty();
        assertThat(faults.fate(2, 1)).isEmpty();
        assertThat(faults.fate(1, 0)).hasSize(1);
    }

    @Test
    void oneSeedGivesEachLinkTheSameFates() {
        List<Faults> twice = List.of(new Faults(3), new Faults(3));
        Faults.Rule rule =
                Faults.Rule.NONE
                        .loss(0.3)
                        .twice(0.3)
                        .outOfTurn(0.3)
                        .delay(Duration.ofMillis(1), Duration.ofMillis(20));
        twice.forEach(faults -> faults.all(rule));
        twice.get(1).fate(1, 0); // what another link carried is of no account
        List<List<List<Duration>>> fates =
                twice.stream()
                        .map(
                                faults ->
                                        IntStream.range(0, 200)
                                                .mapToObj(i -> faults.fate(0, 1))
                                                .toList())
                        .toList();
        assertThat(fates.get(0)).isEqualTo(fates.get(1));
        assertThat(fates.get(0)).extracting(List::size).contains(0, 1, 2);
        assertThat(fates.get(0).stream().flatMap(List::stream))
                .allMatch(
                        late ->
                                !late.minusMillis(1).isNegative()
                                        && late.compareTo(Duration.ofMillis(70)) <= 0)
                .anyMatch(late -> late.toMillis() > 50);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            cut 0 1            | s:2: 'cut' is no time: give 250ms or 12s
            1s burn 1          | s:2: a line is TIME VERB ..., VERB one of delay loss
            1s cut 0           | s:2: cut takes 2 words, not 1
            1s kill 3          | s:2: '3' is no member: give numbers from 0 to 2
            1s kill -1         | s:2: '-1' is no member
            1s loss * * 1.5    | s:2: '1.5' is no share from 0 to 1
            61m mend           | s:2: '61m' is no time
            9999s mend         | s:2: '9999s' is over an hour
            """)
    void unusableLineIsNamedWithItsRemedy(String line, String message) {
        assertThatThrownBy(() -> FaultScript.parse("s", "0s mend\n" + line, 3))
                .isInstanceOf(FaultScript.Unusable.class)
                .hasMessageStartingWith(message);
    }
}
