package cypressglade.core;

import static cypressglade.core.PolicyHarness.BULK;
import static cypressglade.core.PolicyHarness.KEYED;
import static cypressglade.core.PolicyHarness.LIMITED;
import static cypressglade.core.PolicyHarness.ORDERED;
import static cypressglade.core.PolicyHarness.PLAIN;
import static cypressglade.core.PolicyHarness.READ;
import static cypressglade.core.PolicyHarness.WRITE;
import static cypressglade.core.PolicyHarness.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.Scope;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The decisions of the scheduling policy, through its interface. */
class SchedulingPolicyTest {

    /** Fills a node until the next request is queued; returns how many were sent. */
    private static int fill(PolicyHarness instance) {
        int id = 0;
        while (instance.count("send") == id && id < 100) {
            id++;
            instance.submit(id, 0, WRITE, PLAIN, 2, 3000, id);
        }
        assertTrue(id < 100, "the bound must keep something queued");
        return id - 1;
    }

    @Test
    void queuedRequestsLeaveByEarliestDeadline() {
        PolicyHarness instance = new PolicyHarness().start(1);
        int sent = fill(instance);
        instance.submit(501, 0, READ, PLAIN, 1, 1500, 501);
        instance.endAttempt(1, 0, 0, Status.OK, 40);
        assertEquals(
                "send 501 0",
                instance.log.stream()
                        .filter(l -> l.startsWith("send"))
                        .skip(sent)
                        .findFirst()
                        .get());
    }

    @Test
    void refusesAtOnceRequestsThatArePredictedToMiss() {
        PolicyHarness instance = new PolicyHarness().start(1);
        for (int id = 1; id <= 60; id++) {
            instance.submitRead(id, 0);
        }
        assertTrue(instance.count("refuse") > 10, "the last of sixty cannot be served in time");
        assertTrue(instance.count("send") < 30);
    }

    /** Returns how many of a burst are sent at once after twelve answers of the given latency. */
    private static long sentAfterAnswersOf(long ms) {
        PolicyHarness instance = new PolicyHarness();
        instance.instances = 8; // so that the minimum in flight is one request
        instance.start(1);
        for (int id = 1; id <= 12; id++) {
            instance.submitRead(id, 0);
            instance.advance(ms);
            instance.endAttempt(id, 0, 0, Status.OK, ms);
        }
        long before = instance.count("send");
        for (int id = 100; id < 130; id++) {
            instance.submit(id, 0, WRITE, PLAIN, 2, 3000, id);
        }
        return instance.count("send") - before;
    }

    @Test
    void inFlightBoundFollowsTheLearnedSpeedUpToAMaximum() {
        long fast = sentAfterAnswersOf(30);
        long slow = sentAfterAnswersOf(200);
        assertTrue(slow < fast, slow + " sent to a slow node, " + fast + " to a fast one");
        assertTrue(slow >= 1 && sentAfterAnswersOf(1) <= 16, "one at least, the maximum at most");
    }

    @Test
    void backgroundIsQueuedNotRefusedAndAnsweredBeforeItsDeadline() {
        PolicyHarness instance = new PolicyHarness().start(1);
        fill(instance);
        instance.answersProbes = false;
        instance.submit(700, 0, BULK, PLAIN, 8, 6000, 700);
        assertEquals(0, instance.finalAnswers(700));
        instance.advance(5999);
        assertEquals(1, instance.finalAnswers(700), "answered before the client gives up");
    }

    @Test
    void newObjectGoesToTheLessLoadedNode() {
        PolicyHarness instance = new PolicyHarness().start(2);
        for (int id = 1; id <= 3; id++) {
            instance.submitRead(id, 0);
        }
        instance.submit(9, Scheduler.ANY_SHARD, WRITE, PLAIN, 2, 3000, 9);
        assertTrue(instance.log.contains("send 9 1"));
    }

    @Test
    void drainingNodeGetsNothingAndItsQueuedRequestsAreAnswered() {
        PolicyHarness instance = new PolicyHarness().start(2);
        int sent = fill(instance);
        instance.submit(500, 0, READ, PLAIN, 4, 1500, 1);
        instance.updateNodes(ListKind.DELTA, entry(0, State.DRAINING, 0));
        assertEquals(1, instance.finalAnswers(500));
        for (int id = 1; id <= sent; id++) {
            instance.endAttempt(id, 0, 0, Status.OK, 50);
        }
        instance.submitRead(600, 0);
        instance.advance(3000);
        assertEquals(sent, instance.count("send"));
        assertEquals(1, instance.finalAnswers(600));
    }

    @Test
    void unsafeRequestIsSentAgainOnlyWhenItNeverRan() {
        for (Status status : Status.values()) {
            PolicyHarness instance = new PolicyHarness().start(2);
            instance.submit(1, 0, WRITE, PLAIN, 2, 3000, 1);
            instance.endAttempt(1, 0, 0, status, 1);
            instance.advance(100);
            boolean again = instance.count("send") > 1 || instance.count("refuse") > 0;
            assertEquals(!status.mayHaveRun, again, status.name());
            assertEquals(
                    status.mayHaveRun && status != Status.OK ? 1 : 0,
                    instance.count("fail"),
                    status.name());
        }
    }

    @Test
    void keyedRequestIsRefusedAfterAnUncertainOutcomeOnlyWhenAllNodesDropRepeats() {
        PolicyHarness cell = new PolicyHarness().start(1);
        cell.submit(1, 0, KEYED, PLAIN, 2, 3000, 1);
        cell.endAttempt(1, 0, 0, Status.TIMEOUT, 10);
        assertEquals(List.of("send 1 0", "fail 1"), cell.log);
        PolicyHarness all = new PolicyHarness();
        all.scope = Scope.ALL;
        all.start(1);
        all.submit(1, 0, KEYED, PLAIN, 2, 3000, 1);
        all.endAttempt(1, 0, 0, Status.TIMEOUT, 10);
        assertEquals(List.of("send 1 0", "refuse 1"), all.log);
    }

    /**
     * Connections of live nodes are reset too: a request that may run twice is sent again, once;
     * one that may not fails at once.
     */
    @Test
    void oneResetIsAttemptedAgainWhereTheClassAllowsAndASecondMarksTheNodeDown() {
        PolicyHarness instance = new PolicyHarness().start(1);
        instance.submitRead(1, 0);
        instance.endAttempt(1, 0, 0, Status.RESET, 10);
        instance.submit(2, 0, KEYED, PLAIN, 2, 3000, 1);
        instance.submit(3, 0, WRITE, PLAIN, 2, 3000, 2);
        assertEquals(List.of("send 1 0", "send 1 0", "send 2 0", "send 3 0"), instance.log);
        instance.answersProbes = false;
        instance.endAttempt(1, 1, 0, Status.OK, 40);
        instance.advance(10);
        instance.endAttempt(3, 0, 0, Status.RESET, 10);
        assertEquals(1, instance.count("fail 3"), "it may have run, and must not run again");
        instance.endAttempt(2, 0, 0, Status.RESET, 10);
        assertEquals(
                1, instance.count("send 2"), "two resets with no answer between: " + instance.log);
        instance.submitRead(4, 0);
        assertEquals(0, instance.count("send 4"));
    }

    /**
     * Guards against a further attempt that waits behind others until the nodes have forgotten its
     * key, so that the request runs twice.
     */
    @Test
    void keyedRequestIsNotSentAgainInTheLastHalfOfItsKeysLifetime() {
        for (long waits : new long[] {500, 1500}) { // of 2 s, of which the first half is used
            PolicyHarness instance = new PolicyHarness().start(1);
            instance.submit(900, 0, KEYED, PLAIN, 2, 3000, 900);
            int id = 0;
            while (instance.count("send") == id + 1) {
                instance.submit(++id, 0, WRITE, PLAIN, 2, 3000, id);
            }
            instance.endAttempt(1, 0, 0, Status.FULL, 1); // the node is left alone for a short time
            instance.endAttempt(900, 0, 0, Status.RESET, 1);
            assertEquals(1, instance.count("send 900"), "queued while its node is left alone");
            instance.now += waits * PolicyHarness.MS; // the instance handled no event meanwhile
            for (int done = 2; done < id; done++) {
                instance.endAttempt(done, 0, 0, Status.OK, 40);
            }
            assertEquals(waits < 1000 ? 2 : 1, instance.count("send 900"));
            assertEquals(waits < 1000 ? 0 : 1, instance.count("fail 900"));
        }
    }

    @Test
    void keyedNewObjectIsSentAgainToTheSameNode() {
        PolicyHarness instance = new PolicyHarness().start(4);
        instance.submit(1, Scheduler.ANY_SHARD, KEYED, PLAIN, 2, 3000, 1);
        String first = instance.log.get(0);
        instance.endAttempt(1, 0, Integer.parseInt(first.substring(7)), Status.ERROR, 10);
        instance.advance(50);
        assertEquals(List.of(first, first), instance.log);
    }

    @Test
    void timeoutAtTheDeadlineIsAnsweredAtOnce() {
        PolicyHarness instance = new PolicyHarness().start(1);
        instance.submit(1, 0, WRITE, PLAIN, 2, 3000, 1);
        instance.advance(3000);
        instance.endAttempt(1, 0, 0, Status.TIMEOUT, 3000);
        assertEquals(1, instance.count("fail 1"));
    }

    /**
     * Guards against learning only from answers in time: with short deadlines an overloaded node
     * would look fast.
     */
    @Test
    void attemptsThatAShortDeadlineEndedTeachThatTheNodeIsSlow() {
        PolicyHarness instance = new PolicyHarness();
        instance.mayProbe = false;
        instance.start(1);
        List<Long> sent = new ArrayList<>();
        for (int round = 0; round < 8; round++) {
            long before = instance.count("send");
            for (int id = round * 20; id < round * 20 + 20; id++) {
                instance.submit(id, 0, READ, PLAIN, 2, 120, id + 1);
            }
            instance.advance(120);
            for (int id = round * 20; id < round * 20 + 20; id++) {
                instance.endAttempt(id, 0, 0, Status.TIMEOUT, 120);
            }
            sent.add(instance.count("send") - before);
        }
        assertTrue(sent.get(7) < sent.get(0), "sent by round: " + sent);
    }

    @Test
    void nothingIsSentOrAnsweredAfterWithdrawal() {
        PolicyHarness instance = new PolicyHarness().start(1);
        int sent = fill(instance);
        instance.withdraw(sent + 1);
        instance.withdraw(1);
        instance.endAttempt(1, 0, 0, Status.ERROR, 10);
        instance.withdraw(1);
        instance.advance(4000);
        assertEquals(0, instance.finalAnswers(1) + instance.finalAnswers(sent + 1));
        assertEquals(sent, instance.count("send"));
    }

    @Test
    void requestWithAlmostNoTimeLeftIsRefusedAtOnce() {
        PolicyHarness instance = new PolicyHarness().start(1);
        fill(instance);
        instance.submit(900, 0, READ, PLAIN, 2, 5, 900);
        assertEquals(1, instance.finalAnswers(900));
    }

    @Test
    void retryAfterTheTargetOfItsOriginalIsRefusedAtOnce() {
        PolicyHarness instance = new PolicyHarness().start(1);
        instance.submit(1, 7, READ, PLAIN, 2, 1500, 1);
        instance.submit(2, 7, READ, PLAIN, 2, 1500, 2);
        instance.advance(100);
        instance.submit(11, 0, READ, PLAIN, 2, 1400, 1);
        instance.advance(250);
        instance.submit(12, 0, READ, PLAIN, 2, 1150, 2);
        assertEquals(
                2, instance.finalAnswers(1) + instance.finalAnswers(2), "no node serves shard 7");
        assertTrue(instance.log.contains("send 11 0"));
        assertEquals(
                1, instance.finalAnswers(12), "350 ms after the original, with a target of 300 ms");
    }

    @Test
    void requestsWithShortDeadlinesAreNotTakenForRetries() {
        PolicyHarness instance = new PolicyHarness().start(1);
        instance.submit(1, 0, READ, PLAIN, 2, 1500, 1);
        instance.submit(2, 0, READ, PLAIN, 2, 700, 2);
        assertTrue(instance.log.contains("send 2 0"));
    }

    @Test
    void limitIsKeptOverRestartsAndInstances() {
        double sent = 0;
        for (int start = 0; start < 3; start++) {
            PolicyHarness instance = new PolicyHarness();
            instance.instances = 2;
            instance.start(9);
            for (int id = 1; id <= 500; id++) {
                instance.submit(id, id % 9, READ, LIMITED, 2, 1500, id);
                instance.advance(10);
                if (instance.log.contains("send " + id + " " + id % 9)) {
                    instance.endAttempt(id, 0, id % 9, Status.OK, 5);
                }
            }
            sent += 2.0 * instance.count("send");
        }
        assertTrue(
                sent <= 15.0 * 10 / 2 + 3 * 4,
                "three starts in 15 s at half of 10 units/s and slack: " + sent);
        assertTrue(sent >= 40, "most of its share is used: " + sent);
    }

    @Test
    void allInstancesTogetherSendLessThanAColdNodeBears() {
        double sum = 0;
        for (int rank = 0; rank < 4; rank++) {
            PolicyHarness instance = new PolicyHarness();
            instance.instances = 4;
            instance.start(1);
            instance.updateNodes(ListKind.DELTA, entry(0, State.READY, instance.now));
            for (int id = 1; id <= 60; id++) {
                instance.submitRead(id, 0);
                instance.advance(10);
                if (instance.log.contains("send " + id + " 0")) {
                    instance.endAttempt(id, 0, 0, Status.OK, 5);
                }
            }
            sum += 2.0 * instance.count("send");
        }
        assertTrue(sum > 0 && sum <= 40 * 1.3, "sent to a cold node in its first 0.6 s: " + sum);
    }

    /** Returns the units that one instance sends for a limited volume under a burst of requests. */
    private static double spendAll(PolicyHarness instance, int from) {
        long before = instance.count("send");
        for (int id = from; id < from + 40; id++) {
            instance.submit(id, id % 9, READ, LIMITED, 2, 1500, id);
        }
        return 2.0 * (instance.count("send") - before);
    }

    @Test
    void restartOfEveryInstanceKeepsTheLimitWithinItsSlack() {
        double sent = 0;
        for (int rank = 0; rank < 2; rank++) {
            PolicyHarness instance = new PolicyHarness();
            instance.instances = 2;
            instance.start(9);
            instance.advance(20_000); // its token bucket is full
            sent += spendAll(instance, 1);
            PolicyHarness again = new PolicyHarness();
            again.instances = 2;
            again.start(9);
            sent += spendAll(again, 1);
        }
        assertTrue(sent >= 32 && sent <= 32 + 8, "burst 32 and slack 8: " + sent);
    }

    @Test
    void manyInstancesTakeTurnsAtAColdNode() {
        double sum = 0;
        for (int rank = 0; rank < 150; rank++) {
            PolicyHarness instance = new PolicyHarness();
            instance.instances = 150;
            instance.rank = rank;
            instance.start(10);
            for (int id = 1; id <= 20; id++) { // one request each 300 ms, one in ten for node 0
                instance.submitRead(id, (id * 7 + rank) % 9 + 1);
                instance.advance(300);
                instance.endAttempt(id, 0, (id * 7 + rank) % 9 + 1, Status.OK, 40);
            }
            instance.updateNodes(ListKind.DELTA, entry(0, State.READY, instance.now));
            instance.advance(rank * 20);
            instance.submitRead(100, 0);
            sum += 2.0 * instance.count("send 100 0");
        }
        assertTrue(sum >= 8, "a cold node gets work early: " + sum);
        // Nodes were seen to take 2 units in 40 ms, 4.6 units of work with the latency; a quarter
        // of it when cold.
        double overloadUnits = 3 * 3 * 4.6 / 0.040 * 0.25 * 1.9;
        assertTrue(
                sum <= 0.5 * overloadUnits,
                "and at 3 s of its ramp at most half of what overloads it: " + sum);
    }

    @Test
    void furtherAttemptsStayWithinTheBudgetWhenQueuedOnesLeaveLater() {
        PolicyHarness instance = new PolicyHarness();
        instance.hasAttemptBudget = true;
        instance.freeFurtherAttempts = 1;
        instance.start(1);
        for (int id = 1; id <= 4; id++) {
            instance.submit(id, 0, READ, PLAIN, 1, 1500, id);
        }
        for (int id = 1; id <= 4; id++) {
            instance.endAttempt(id, 0, 0, Status.FULL, 1);
        }
        instance.advance(1500);
        assertTrue(
                instance.count("send") <= 5,
                "four first attempts and one further: " + instance.log);
    }

    @Test
    void failedConnectionStopsSendsUntilAProbeSucceeds() {
        PolicyHarness instance = new PolicyHarness().start(2);
        instance.submitRead(1, 0);
        instance.answersProbes = false;
        instance.endAttempt(1, 0, 0, Status.CONNECT_FAILED, 250);
        instance.submitRead(2, 0);
        assertEquals(1, instance.count("send"));
        instance.advance(600);
        assertTrue(instance.count("probe 0") >= 1);
        instance.endProbe(0, Status.OK);
        instance.submitRead(3, 0);
        assertTrue(instance.log.contains("send 3 0"));
    }

    @Test
    void withoutProbesAResetExcludesANodeOnlyUntilItsNextTest() {
        PolicyHarness instance = new PolicyHarness();
        instance.mayProbe = false;
        instance.start(2);
        instance.submitRead(1, 0);
        instance.endAttempt(1, 0, 0, Status.RESET, 5);
        instance.endAttempt(1, 1, 0, Status.RESET, 5);
        instance.submitRead(2, 0);
        assertEquals(
                2,
                instance.count("send"),
                "a second reset with no answer between: nothing new at once");
        assertEquals(1, instance.finalAnswers(2));
        instance.advance(400);
        instance.submitRead(3, 0);
        assertTrue(instance.log.contains("send 3 0"), "the test is a request: " + instance.log);
        instance.endAttempt(3, 0, 0, Status.OK, 40);
        instance.submitRead(4, 0);
        assertTrue(instance.log.contains("send 4 0"), "an answer ends the exclusion");
        assertEquals(0, instance.count("probe"));
    }

    @Test
    void nodeThatAnswersWithErrorsGetsNoNewObjects() {
        PolicyHarness instance = new PolicyHarness().start(2);
        for (int id = 1; id <= 20; id++) {
            instance.submitRead(id, 1);
            instance.endAttempt(id, 0, 1, Status.OK, 40);
            instance.submit(100 + id, 0, WRITE, PLAIN, 2, 3000, id);
            instance.endAttempt(100 + id, 0, 0, Status.ERROR, 2);
        }
        instance.submit(200, Scheduler.ANY_SHARD, WRITE, PLAIN, 2, 3000, 200);
        assertTrue(
                instance.log.contains("send 200 1"),
                "errors come fast, but the node serves no request");
    }

    @Test
    void silentNodeGetsNothingButProbes() {
        PolicyHarness instance = new PolicyHarness().start(2);
        instance.submitRead(1, 0);
        instance.answersProbes = false;
        instance.advance(450);
        instance.submitRead(2, 0);
        instance.advance(50);
        assertEquals(1, instance.finalAnswers(2), "units are in flight and nothing came back");
        instance.endProbe(0, Status.OK);
        instance.submitRead(3, 0);
        assertEquals(2, instance.count("send"), "a good probe allows requests for a while");
        instance.advance(200);
        instance.submitRead(4, 0);
        instance.advance(50);
        assertEquals(2, instance.count("send"), "but not for longer");
        instance.endAttempt(3, 0, 0, Status.OK, 40);
        instance.submitRead(5, 0);
        assertTrue(instance.log.contains("send 5 0"), "an answer ends the silence");
    }

    @Test
    void attemptsWhoseAnswersAreLostDoNotUseUpTheBound() {
        PolicyHarness instance = new PolicyHarness();
        instance.instances = 8; // so that two may be in flight at a slow node
        instance.start(1);
        instance.submit(1, 0, WRITE, PLAIN, 2, 3000, 1);
        for (int id = 2; id <= 7; id++) {
            instance.submit(id, 0, WRITE, PLAIN, 2, 3000, id);
            instance.advance(200);
            instance.endAttempt(id, 0, 0, Status.OK, 200);
        }
        instance.submit(8, 0, WRITE, PLAIN, 2, 3000, 8);
        instance.submit(9, 0, WRITE, PLAIN, 2, 3000, 9);
        assertTrue(
                instance.log.contains("send 9 0"), "the first no longer counts: " + instance.log);
    }

    @Test
    void requestsOfOneKeyKeepTheirOrderAndPauseAfterAnUncertainOutcome() {
        PolicyHarness instance = new PolicyHarness().start(1);
        instance.submit(1, 0, ORDERED, PLAIN, 1, 3000, 77);
        instance.submit(2, 0, ORDERED, PLAIN, 1, 3000, 77);
        instance.submit(3, 0, ORDERED, PLAIN, 1, 3000, 78);
        assertEquals(List.of("send 1 0", "send 3 0"), instance.log);
        instance.endAttempt(1, 0, 0, Status.TIMEOUT, 30);
        instance.advance(150);
        assertFalse(instance.log.contains("send 2 0"));
        instance.advance(100);
        assertTrue(instance.log.contains("send 2 0"));
    }

    @Test
    void listOnRequestIsSubscribedToAndRequestedAgainAfterAFailure() {
        PolicyHarness instance = new PolicyHarness();
        instance.listOnRequest = true;
        instance.start(1);
        instance.updateNodes(ListKind.FAILED);
        instance.advance(1000);
        assertEquals(2, instance.count("watch true"));
    }

    @Test
    void lateAnswersGetRequestsOfLowWorthRefusedFirst() {
        PolicyHarness instance = new PolicyHarness().start(1);
        for (int id = 1; id <= 40; id++) {
            instance.submitRead(id, 0);
            instance.advance(320);
            instance.endAttempt(id, 0, 0, Status.OK, 320);
        }
        instance.submit(100, 0, WRITE, PLAIN, 2, 3000, 100);
        instance.submit(101, 0, READ, PLAIN, 2, 1500, 101);
        instance.submit(102, 0, WRITE, PLAIN, 2, 3000, 102);
        assertEquals(1, instance.finalAnswers(101));
        assertEquals(0, instance.finalAnswers(100) + instance.finalAnswers(102));
    }

    @Test
    void longTargetsDoNotFillTheNodeBeyondWhatShortOnesBear() {
        PolicyHarness instance = new PolicyHarness().start(1);
        for (int id = 1; id <= 40; id++) {
            instance.submit(id, 0, WRITE, PLAIN, 2, 3000, id);
        }
        assertTrue(
                40 - instance.count("refuse") <= 15,
                "their target is 600 ms, but that of reads is 300 ms");
    }

    /** Guards against a request being refused because its own process was held up, not its node. */
    @Test
    void requestThatAwaitsAProbeIsNotRefusedWhenTheProcessWasHeldUp() {
        PolicyHarness instance = new PolicyHarness();
        instance.answersProbes = false;
        instance.start(1);
        instance.submitRead(1, 0);
        instance.holdUp(100);
        instance.advance(10);
        assertEquals(List.of("probe 0"), instance.log, "its result may be yet to be handled");
        instance.endProbe(0, Status.OK);
        assertEquals(List.of("probe 0", "send 1 0"), instance.log);
    }

    /** Guards against a request being left undecided in a process that is late all the time. */
    @Test
    void requestThatAwaitsAProbeIsDecidedThoughEachTickIsLate() {
        PolicyHarness instance = new PolicyHarness();
        instance.answersProbes = false;
        instance.start(1);
        instance.submitRead(1, 0);
        instance.holdUp(100);
        instance.holdUp(100);
        assertEquals(List.of("probe 0", "refuse 1"), instance.log);
    }

    @Test
    void instanceWithoutObservationsProbesTheNodeFirst() {
        PolicyHarness instance = new PolicyHarness();
        instance.answersProbes = false;
        instance.start(1);
        instance.submitRead(1, 0);
        assertEquals(List.of("probe 0"), instance.log);
        instance.endProbe(0, Status.OK);
        assertEquals(1, instance.count("send 1 0"), "the node is not overloaded");
        instance.endAttempt(1, 0, 0, Status.OK, 40);
        instance.advance(1000);
        instance.submit(2, 0, READ, LIMITED, 1, 1500, 2);
        instance.advance(50);
        assertEquals(
                1,
                instance.finalAnswers(2) + instance.count("send 2"),
                "decided also when the probe is lost");
    }

    @Test
    void nodeWhoseAnswersWereSlowIsUsedAgain() {
        PolicyHarness instance = new PolicyHarness().start(1);
        for (int id = 1; id <= 10; id++) {
            instance.submitRead(id, 0);
            instance.advance(900);
            instance.endAttempt(id, 0, 0, Status.OK, 900);
        }
        instance.advance(3000);
        instance.submitRead(50, 0);
        assertEquals(
                1, instance.count("send 50 0"), "what was learned under overload is forgotten");
    }

    @Test
    void requestForAKeyJustSentCountsAsLessWork() {
        PolicyHarness other = new PolicyHarness().start(1);
        PolicyHarness same = new PolicyHarness().start(1);
        for (int id = 1; id <= 30; id++) {
            other.submit(id, 0, READ, PLAIN, 2, 1500, id);
            same.submit(id, 0, READ, PLAIN, 2, 1500, 1);
        }
        assertTrue(
                same.count("refuse") < other.count("refuse"),
                "repeated requests for one key are refused less often");
    }

    @Test
    void tablesStayBoundedInLongService() throws ReflectiveOperationException {
        PolicyHarness instance = new PolicyHarness().start(2);
        for (int i = 1; i <= 300; i++) {
            instance.updateNodes(
                    ListKind.FULL, entry(i, State.READY, 0), entry(i + 1, State.READY, 0));
            instance.submit(i, i, ORDERED, PLAIN, 2, 1500, i, 1000 + i);
            instance.endAttempt(i, 0, i, Status.TIMEOUT, 40);
            instance.advance(1500);
        }
        for (String table : List.of("nodes", "keyPausedUntil", "openRequests", "orderedQueues")) {
            java.lang.reflect.Field field = SchedulingPolicy.class.getDeclaredField(table);
            field.setAccessible(true);
            int size = ((java.util.Map<?, ?>) field.get(instance.policy())).size();
            assertTrue(size < 60, table + " holds " + size);
        }
        java.lang.reflect.Field refused =
                SchedulingPolicy.class.getDeclaredField("refusedRequests");
        refused.setAccessible(true);
        int size = ((RefusedRequests) refused.get(instance.policy())).size();
        assertTrue(size < 60, "refusedRequests holds " + size);
        java.lang.reflect.Field volumes = SchedulingPolicy.class.getDeclaredField("volumes");
        volumes.setAccessible(true);
        int volumeCount = ((TrackedVolumes) volumes.get(instance.policy())).size();
        assertTrue(volumeCount < 60, "volumes holds " + volumeCount);
    }

    @Test
    void unexpectedEventsNeverThrowAndLeaveNoRequestOpen() {
        PolicyHarness instance = new PolicyHarness().start(0);
        instance.submitRead(1, 0);
        instance.submit(2, Scheduler.ANY_SHARD, WRITE, PLAIN, 2, 3000, 2);
        instance.submit(3, 0, 99, PLAIN, 2, 3000, 2);
        instance.submit(4, 0, READ, 99, 2, 3000, 2);
        instance.endAttempt(77, 0, 0, Status.OK, 1);
        instance.withdraw(78);
        instance.endProbe(5, Status.OK);
        instance.updateNodes(ListKind.FULL, entry(0, State.READY, 0));
        instance.submit(5, 0, READ, PLAIN, 0, 1500, 0);
        instance.updateNodes(ListKind.FULL);
        instance.endAttempt(5, 0, 0, Status.OK, 0);
        instance.submitRead(6, 0);
        for (long id : new long[] {1, 2, 3, 4, 6}) {
            assertEquals(1, instance.finalAnswers(id), "request " + id);
        }
    }

    @Test
    void sameEventsGiveTheSameActions() {
        List<String> first = new PolicyHarness().start(3).log;
        PolicyHarness[] instances = {new PolicyHarness().start(3), new PolicyHarness().start(3)};
        for (PolicyHarness instance : instances) {
            for (int id = 1; id <= 200; id++) {
                instance.submit(id, id % 4 - 1, id % 3, id % 2, 1 + id % 7, 1500, id / 3);
                instance.advance(7);
                instance.endAttempt(id - 3, 0, (id - 3) % 4 - 1, Status.OK, 20);
            }
        }
        assertTrue(instances[0].log.size() > first.size());
        assertEquals(instances[0].log, instances[1].log);
    }
}
