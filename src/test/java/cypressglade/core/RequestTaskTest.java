package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.entry;

import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.Scheduler.Effect;
import cypressglade.core.Scheduler.Limits;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Scope;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One request through the core, without a front or a network. */
class RequestTaskTest {
    private static final byte[] DATA = {1, 2, 3};
    private static final int SHARD_WITHOUT_NODE = 9;

    private final Counters counters = new Counters();
    private final LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Consumer<AttemptResult>> sent = new LinkedBlockingQueue<>();
    private final RequestPool pool = new RequestPool(2, 0, counters);
    private Engine engine;
    private volatile String answeredBy;
    private volatile boolean isLinkFailing;
    private volatile BooleanSupplier isWanted;

    private final Responder responder =
            new Responder() {
                @Override
                public void serve(byte[] answer) {
                    answeredBy = Thread.currentThread().getName();
                    answers.add("served " + answer.length);
                }

                @Override
                public void refuse(Duration retryAfter) {
                    answeredBy = Thread.currentThread().getName();
                    answers.add("refused");
                }

                @Override
                public void fail() {
                    answers.add("failed");
                }
            };

    private final NodeLink<String> link =
            new NodeLink<>() {
                @Override
                public Attempt send(
                        long node,
                        String work,
                        Instant until,
                        BooleanSupplier wanted,
                        AttemptObserver observer) {
                    if (isLinkFailing) {
                        throw new IllegalStateException("stands for an error of the machine");
                    }
                    isWanted = wanted;
                    sent.add(observer::ended);
                    return () -> observer.ended(AttemptResult.withoutResponse(Status.CANCELLED));
                }

                @Override
                public void probe(long node, Consumer<AttemptResult> ended) {
                    ended.accept(AttemptResult.withoutResponse(Status.OK));
                }
            };

    private static Settings settings(boolean probes) {
        return settings(probes, 0);
    }

    private static Settings settings(boolean probes, double limitRate) {
        RequestClass type =
                new RequestClass(
                        "write",
                        500_000,
                        0,
                        2_000_000,
                        1,
                        0.1,
                        Effect.UNSAFE,
                        Scope.ALL,
                        0,
                        false,
                        false,
                        true);
        Limits limits =
                new Limits(
                        2, true, probes, false, false, true, 500_000, 500_000, 0, false, 0, 0, 0,
                        0.3, 1_000_000, 2, 1_000_000, 11, 0, 1);
        return new Settings(
                1,
                0,
                1,
                0,
                false,
                2000,
                List.of(type),
                List.of(new Plan("p", 9, 9, 1, 1, limitRate, 20, 8)),
                List.of(),
                limits,
                2,
                6,
                0.35,
                0.05,
                0,
                false,
                0);
    }

    @BeforeEach
    void start() {
        engine = new Engine(settings(true), new NodeDirectory(), counters);
        engine.start(node -> link);
        engine.updateNodes(
                new NodeList(
                        1,
                        true,
                        List.of(
                                new NodeList.Entry(
                                        "s-0",
                                        new InetSocketAddress("127.0.0.1", 1),
                                        0,
                                        0,
                                        0,
                                        State.READY,
                                        1,
                                        Instant.EPOCH))));
    }

    @AfterEach
    void stop() {
        engine.close();
        pool.close();
    }

    private static IoRequest request(int shard, Duration time) {
        return new IoRequest(
                shard,
                settings(true).rules(0, 0).orElseThrow(),
                1,
                false,
                true,
                7,
                8,
                2,
                MonotonicClock.now().plus(time));
    }

    private RequestTask<String> task(Duration time) {
        return new RequestTask<>(engine, counters, request(0, time), "work", responder, link);
    }

    private void begin() {
        assertThat(pool.start(task(Duration.ofSeconds(2)))).isTrue();
    }

    /**
     * Guards against requests with long deadlines that are still unanswered when the process is
     * killed at the end of a stop.
     */
    @Test
    void openRequestIsAnsweredWhenTheProgramMustEnd() throws Exception {
        assertThat(pool.start(task(Duration.ofSeconds(60)))).isTrue();
        assertThat(sent.poll(5, TimeUnit.SECONDS)).as("an attempt is in flight").isNotNull();
        pool.stopAll();
        assertThat(answer()).isEqualTo("failed");
        cypressglade.standin.Site.await(() -> pool.openCount() == 0);
        assertThat(sent).as("nothing is sent after it").isEmpty();
        assertThat(engine.requestLog().text()).contains("stopped: an attempt was out");
    }

    /** Guards against a client that gets no answer because the thread of its request failed. */
    @Test
    void requestWhoseTaskFailsIsAnswered() throws Exception {
        isLinkFailing = true;
        begin();
        assertThat(answer()).isEqualTo("failed");
        cypressglade.standin.Site.await(() -> pool.openCount() == 0);
    }

    /** Guards against shares of a limit that leave out the demand of requests from before it. */
    @Test
    void demandOfARequestThatCrossesAReloadIsCountedByThePlanInForce() throws Exception {
        takeDemand();
        engine.applySettings(settings(true, 40));
        begin();
        assertThat(attempt()).as("the engine has taken the request").isNotNull();
        assertThat(takeDemand().unitsByVolume()).containsExactly(entry(7L, 2.0));
    }

    private DemandTracker.Demand takeDemand() throws Exception {
        CompletableFuture<DemandTracker.Demand> demand = new CompletableFuture<>();
        engine.takeDemand(demand::complete);
        return demand.get(5, TimeUnit.SECONDS);
    }

    private String answer() throws InterruptedException {
        return answers.poll(5, TimeUnit.SECONDS);
    }

    private Consumer<AttemptResult> attempt() throws InterruptedException {
        return sent.poll(5, TimeUnit.SECONDS);
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException end) {
            throw new AssertionError(end);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "OK, served 3, 1",
        "ERROR, failed, 1",
        "RESET, failed, 1",
        "TIMEOUT, failed, 1",
        "FULL, refused, 2",
        "MOOT, refused, 1"
    })
    void eachOutcomeHasExactlyOneAnswer(Status status, String expected, int attempts)
            throws Exception {
        begin();
        for (int i = 0; i < attempts; i++) {
            attempt().accept(new AttemptResult(status, DATA, NodeLink.ResponseMetadata.NOTHING));
        }
        assertThat(answer()).isEqualTo(expected);
        assertThat(answers).isEmpty();
        assertThat(counters.get(Counters.Name.SENT)).isEqualTo(attempts);
    }

    @Test
    void fullPoolRejectsImmediately() throws Exception {
        begin();
        begin();
        attempt();
        attempt();
        assertThat(pool.start(task(Duration.ofSeconds(2)))).isFalse();
        assertThat(counters.get(Counters.Name.REFUSED_NO_ROOM)).isEqualTo(1);
    }

    /**
     * Guards against the scheduling policy waiting for ever for an attempt that was never made
     * because the client had left.
     */
    @Test
    void nodeStaysUsableAfterClientsDisconnectEarly() throws Exception {
        CountDownLatch allLeft = new CountDownLatch(1);
        // Without probes the policy orders an attempt at once.
        engine.applySettings(settings(false));
        // Blocks the engine, so that the policy gets no request before all clients are gone.
        engine.readNodes(statuses -> await(allLeft));
        for (int i = 0; i < 20; i++) {
            RequestTask<String> task = task(Duration.ofSeconds(2));
            pool.start(task);
            task.clientDisconnected();
        }
        allLeft.countDown();
        begin();
        attempt().accept(new AttemptResult(Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).isEqualTo("served 3");
    }

    /**
     * Guards against an attempt that begins after its client has disconnected but before the task
     * has received the signal.
     */
    @Test
    void attemptIsNotWantedOnceItsClientHasDisconnected() throws Exception {
        RequestTask<String> task = task(Duration.ofSeconds(2));
        pool.start(task);
        Consumer<AttemptResult> ended = attempt();
        assertThat(isWanted.getAsBoolean()).isTrue();
        task.clientDisconnected();
        assertThat(isWanted.getAsBoolean()).isFalse();
        ended.accept(AttemptResult.withoutResponse(Status.MOOT));
        begin();
        attempt().accept(new AttemptResult(Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).as("of the next request alone").isEqualTo("served 3");
        assertThat(answers).isEmpty();
    }

    /**
     * Guards against an outcome lost to the scheduling policy because a late cancel was counted as
     * an attempt.
     */
    @Test
    void cancelWithoutAnAttemptIsNotCountedAsOne() throws Exception {
        RequestTask<String> task = task(Duration.ofSeconds(2));
        task.signal(new RequestTask.Cancel(0));
        pool.start(task);
        attempt().accept(AttemptResult.withoutResponse(Status.FULL));
        attempt().accept(new AttemptResult(Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).isEqualTo("served 3");
    }

    /** Guards against a request without an answer where the scheduling policy gives no order. */
    @Test
    void requestWithoutAnOrderIsFailedByItsDeadline() throws Exception {
        engine.close();
        pool.start(task(Duration.ofMillis(20)));
        pool.expireOverdue(MonotonicClock.now());
        assertThat(answers).as("not before its deadline").isEmpty();
        pool.expireOverdue(MonotonicClock.now().plusSeconds(1));
        assertThat(answer()).isEqualTo("failed");
        assertThat(pool.openCount()).isZero();
        assertThat(counters.get(Counters.Name.ANSWERED_BY_DEADLINE)).isEqualTo(1);
    }

    /** A refusal is answered on the engine thread: no other thread is started or waited for. */
    @Test
    void refusedRequestUsesNoThread() throws Exception {
        RequestTask<String> refused =
                new RequestTask<>(
                        engine,
                        counters,
                        request(SHARD_WITHOUT_NODE, Duration.ofSeconds(2)),
                        "work",
                        responder,
                        link);
        pool.start(refused);
        assertThat(answer()).isEqualTo("refused");
        assertThat(answeredBy).isEqualTo("engine");
        begin();
        attempt().accept(new AttemptResult(Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).isEqualTo("served 3");
        assertThat(answeredBy).isEqualTo("request");
    }
}
