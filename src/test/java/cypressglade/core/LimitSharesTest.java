package cypressglade.core;

import static cypressglade.core.PolicyHarness.LIMITED;
import static cypressglade.core.PolicyHarness.MS;
import static cypressglade.core.PolicyHarness.READ;
import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.State;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the module makes of its parts of what a fleet shares. */
class LimitSharesTest {
    private static final long VOLUME = 7;
    private static final long NODE = 100;
    private final PolicyHarness head = new PolicyHarness();
    private int asked;
    private int read;

    /** Units of the limited volume that leave when far more is asked for over a time. */
    private double spend(long ms) {
        long before = head.count("send");
        for (long end = head.now + ms * MS; head.now < end; head.pass(5)) {
            int id = ++asked;
            head.ask(id, id % 9, READ, LIMITED, 2, 1500, id);
            answerSent();
        }
        return 2.0 * (head.count("send") - before);
    }

    /** Each node answers what it was sent. */
    private void answerSent() {
        for (; read < head.log.size(); read++) {
            String[] words = head.log.get(read).split(" ");
            if (words[0].equals("send")) {
                head.end(
                        Long.parseLong(words[1]),
                        0,
                        Integer.parseInt(words[2]),
                        Scheduler.Status.OK,
                        1);
            }
        }
    }

    private void parts(double own, double rest, double least, long holdsMs) {
        head.brain()
                .applyLimitShares(
                        head.now,
                        new Scheduler.LimitShares(
                                Map.of(VOLUME, own),
                                Map.of(),
                                rest,
                                least,
                                head.now + holdsMs * MS));
    }

    /** The plan allows 10 units a second and 32 at once; a fleet's part stands in place of half. */
    @Test
    void aPartStandsInPlaceOfAnEvenOneAndEndsWithItsTime() {
        head.heads = 2;
        head.start(9);
        parts(0.9, 0.1, 0.1, 60_000);
        spend(4000); // what was in the store is gone
        assertThat(spend(4000)).isBetween(30.0, 38.0);
        parts(0.9, 0.1, 0.1, 0);
        spend(1000);
        assertThat(spend(4000)).as("word of later is lacking: the least").isBetween(2.0, 6.0);
    }

    /**
     * A store that was filled by a large part is cut at once, and one that grows fills from where
     * it is.
     */
    @Test
    void aPartThatChangesNeitherKeepsNorMakesUnits() {
        head.heads = 1;
        head.start(9);
        parts(1, 0, 0.05, 60_000);
        head.pass(20_000);
        parts(0.1, 0, 0.05, 60_000);
        assertThat(spend(10)).as("a tenth of 32").isLessThanOrEqualTo(4);
        parts(1, 0, 0.05, 60_000);
        assertThat(spend(500)).as("half a second's rate").isLessThanOrEqualTo(8);
    }

    @Test
    void aColdNodeGetsThisHeadsPartAndNoTurns() {
        head.heads = 4;
        head.youngUnits = 40;
        head.start(1);
        head.list(ListKind.DELTA, PolicyHarness.entry(0, State.READY, head.now));
        head.brain()
                .applyLimitShares(
                        head.now,
                        new Scheduler.LimitShares(
                                Map.of(), Map.of(NODE, 0.5), 0, 0, head.now + 60_000 * MS));
        assertThat(head.brain().nodeViews(head.now).get(0).coldCapacityUnits())
                .isBetween(19.0, 21.0);
        head.brain()
                .applyLimitShares(
                        head.now,
                        new Scheduler.LimitShares(
                                Map.of(), Map.of(NODE, 0.01), 0, 0, head.now + 60_000 * MS));
        assertThat(head.brain().nodeViews(head.now).get(0).coldCapacityUnits()).isLessThan(1);
    }
}
