package cypressglade.core;

import static cypressglade.core.PolicyHarness.LIMITED;
import static cypressglade.core.PolicyHarness.MS;
import static cypressglade.core.PolicyHarness.READ;
import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.State;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How the policy applies the shares of limits that are allotted to its instance. */
class LimitSharesTest {
    private static final long VOLUME = 7;
    private static final long NODE = 100;
    private final PolicyHarness instance = new PolicyHarness();
    private int submitted;
    private int logIndex;

    /** Returns the units sent for the limited volume while far more are requested. */
    private double spend(long ms) {
        long before = instance.count("send");
        for (long end = instance.now + ms * MS; instance.now < end; instance.advance(5)) {
            int id = ++submitted;
            instance.submit(id, id % 9, READ, LIMITED, 2, 1500, id);
            answerSent();
        }
        return 2.0 * (instance.count("send") - before);
    }

    /** Lets the nodes answer what they were sent. */
    private void answerSent() {
        for (; logIndex < instance.log.size(); logIndex++) {
            String[] words = instance.log.get(logIndex).split(" ");
            if (words[0].equals("send")) {
                instance.endAttempt(
                        Long.parseLong(words[1]),
                        0,
                        Integer.parseInt(words[2]),
                        Scheduler.Status.OK,
                        1);
            }
        }
    }

    private void applyShares(double own, double others, double min, long validMs) {
        instance.policy()
                .applyLimitShares(
                        instance.now,
                        new Scheduler.LimitShares(
                                Map.of(VOLUME, own),
                                Map.of(),
                                others,
                                min,
                                instance.now + validMs * MS));
    }

    /** The plan allows 10 units a second and 32 at once; the share replaces an even half. */
    @Test
    void allottedShareReplacesTheEvenOneUntilItExpires() {
        instance.instances = 2;
        instance.start(9);
        applyShares(0.9, 0.1, 0.1, 60_000);
        spend(4000); // the token bucket is empty
        assertThat(spend(4000)).isBetween(30.0, 38.0);
        applyShares(0.9, 0.1, 0.1, 0);
        spend(1000);
        assertThat(spend(4000)).as("expired: the minimum").isBetween(2.0, 6.0);
    }

    /** A smaller share cuts a full token bucket at once; a larger one fills it from where it is. */
    @Test
    void changedShareNeitherKeepsNorCreatesUnits() {
        instance.instances = 1;
        instance.start(9);
        applyShares(1, 0, 0.05, 60_000);
        instance.advance(20_000);
        applyShares(0.1, 0, 0.05, 60_000);
        assertThat(spend(10)).as("a tenth of 32").isLessThanOrEqualTo(4);
        applyShares(1, 0, 0.05, 60_000);
        assertThat(spend(500)).as("half a second's rate").isLessThanOrEqualTo(8);
    }

    @Test
    void coldNodeGetsTheAllottedShareWithoutTurns() {
        instance.instances = 4;
        instance.coldNodeUnits = 40;
        instance.start(1);
        instance.updateNodes(ListKind.DELTA, PolicyHarness.entry(0, State.READY, instance.now));
        instance.policy()
                .applyLimitShares(
                        instance.now,
                        new Scheduler.LimitShares(
                                Map.of(), Map.of(NODE, 0.5), 0, 0, instance.now + 60_000 * MS));
        assertThat(instance.policy().nodeViews(instance.now).get(0).coldCapacityUnits())
                .isBetween(19.0, 21.0);
        instance.policy()
                .applyLimitShares(
                        instance.now,
                        new Scheduler.LimitShares(
                                Map.of(), Map.of(NODE, 0.01), 0, 0, instance.now + 60_000 * MS));
        assertThat(instance.policy().nodeViews(instance.now).get(0).coldCapacityUnits())
                .isLessThan(1);
    }
}
