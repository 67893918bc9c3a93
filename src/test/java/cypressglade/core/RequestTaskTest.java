package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeLink.Attempt;
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

/** One request through the core, with no wire at all. */
class RequestTaskTest {
    private static final byte[] DATA = {1, 2, 3};

    private final Counters counters = new Counters();
    private final LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Consumer<NodeLink.AttemptResult>> sent =
            new LinkedBlockingQueue<>();
    private final RequestPool pool = new RequestPool(2, 0, counters);
    private Engine engine;
    private volatile String answeredBy;
    private volatile boolean failing;
    private volatile BooleanSupplier wants;

    private final Responder caller =
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
                        Consumer<NodeLink.AttemptResult> ended) {
                    if (failing) {
                        throw new IllegalStateException("as an error of the machine would be");
                    }
                    wants = wanted;
                    sent.add(ended);
                    return () ->
                            ended.accept(NodeLink.AttemptResult.withoutResponse(Status.CANCELLED));
                }

                @Override
                public void probe(long node, Consumer<NodeLink.AttemptResult> ended) {
                    ended.accept(NodeLink.AttemptResult.withoutResponse(Status.OK));
                }
            };

    private static Settings settings(boolean probes) {
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
                List.of(new Plan("p", 9, 9, 1, 1, 0, 0, 0)),
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

    private RequestTask<String> life(Duration time) {
        return new RequestTask<>(
                engine,
                counters,
                new IoRequest(0, 0, 0, 1, false, true, 7, 8, 2, MonotonicClock.now().plus(time)),
                "work",
                caller,
                link);
    }

    private void begin() {
        assertThat(pool.start(life(Duration.ofSeconds(2)))).isTrue();
    }

    /**
     * Guards against requests with long deadlines that the kill at the end of a stop finds
     * unanswered.
     */
    @Test
    void whatIsOpenWhenTheProgramMustEndIsAnsweredThen() throws Exception {
        assertThat(pool.start(life(Duration.ofSeconds(60)))).isTrue();
        assertThat(sent.poll(5, TimeUnit.SECONDS)).as("an attempt is out").isNotNull();
        pool.stopAll();
        assertThat(answer()).isEqualTo("failed");
        cypressglade.standin.Site.await(() -> pool.openCount() == 0);
        assertThat(sent).as("nothing is sent after it").isEmpty();
        assertThat(engine.requestLog().text()).contains("stopped: an attempt was out");
    }

    /** Guards against a client that gets no answer since the thread of its request fails. */
    @Test
    void whoseTaskFailsIsAnsweredAllTheSame() throws Exception {
        failing = true;
        begin();
        assertThat(answer()).isEqualTo("failed");
        cypressglade.standin.Site.await(() -> pool.openCount() == 0);
    }

    private String answer() throws InterruptedException {
        return answers.poll(5, TimeUnit.SECONDS);
    }

    private Consumer<NodeLink.AttemptResult> attempt() throws InterruptedException {
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
    void eachOutcomeHasItsOneAnswer(Status status, String expected, int attempts) throws Exception {
        begin();
        for (int i = 0; i < attempts; i++) {
            attempt()
                    .accept(
                            new NodeLink.AttemptResult(
                                    status, DATA, NodeLink.ResponseMetadata.NOTHING));
        }
        assertThat(answer()).isEqualTo(expected);
        assertThat(answers).isEmpty();
        assertThat(counters.get(Counters.Name.SENT)).isEqualTo(attempts);
    }

    @Test
    void fullPoolRefusesAtOnce() throws Exception {
        begin();
        begin();
        attempt();
        attempt();
        assertThat(pool.start(life(Duration.ofSeconds(2)))).isFalse();
        assertThat(counters.get(Counters.Name.REFUSED_NO_ROOM)).isEqualTo(1);
    }

    /**
     * Guards against the module waiting for ever on an attempt whose client left before it was
     * made.
     */
    @Test
    void nodeStaysUsableAfterClientsLeftEarly() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        engine.applySettings(
                settings(false)); // no probe to wait for: the module orders an attempt at once
        engine.readNodes(
                views ->
                        await(left)); // the module hears of none of them until all clients are gone
        for (int i = 0; i < 20; i++) {
            RequestTask<String> life = life(Duration.ofSeconds(2));
            pool.start(life);
            life.clientDisconnected();
        }
        left.countDown();
        begin();
        attempt()
                .accept(
                        new NodeLink.AttemptResult(
                                Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).isEqualTo("served 3");
    }

    /**
     * Guards against an attempt beginning between its client's leave and the task's hearing of it.
     */
    @Test
    void anAttemptIsWantedNoMoreAsSoonAsItsClientLeaves() throws Exception {
        RequestTask<String> life = life(Duration.ofSeconds(2));
        pool.start(life);
        Consumer<NodeLink.AttemptResult> ended = attempt();
        assertThat(wants.getAsBoolean()).isTrue();
        life.clientDisconnected();
        assertThat(wants.getAsBoolean()).isFalse();
        ended.accept(NodeLink.AttemptResult.withoutResponse(Status.MOOT));
        begin();
        attempt()
                .accept(
                        new NodeLink.AttemptResult(
                                Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).as("of the next request alone").isEqualTo("served 3");
        assertThat(answers).isEmpty();
    }

    /**
     * Guards against the module losing an outcome since a late cancel was counted as an attempt.
     */
    @Test
    void cancelOfNothingCountsAsNoAttempt() throws Exception {
        RequestTask<String> life = life(Duration.ofSeconds(2));
        life.signal(new RequestTask.Cancel(0));
        pool.start(life);
        attempt().accept(NodeLink.AttemptResult.withoutResponse(Status.FULL));
        attempt()
                .accept(
                        new NodeLink.AttemptResult(
                                Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).isEqualTo("served 3");
    }

    /** Guards against a request without an answer where the module says nothing. */
    @Test
    void silentModuleIsMadeUpForByTheDeadline() throws Exception {
        engine.close();
        pool.start(life(Duration.ofMillis(20)));
        pool.expireOverdue(MonotonicClock.now());
        assertThat(answers).as("not before its time").isEmpty();
        pool.expireOverdue(MonotonicClock.now().plusSeconds(1));
        assertThat(answer()).isEqualTo("failed");
        assertThat(pool.openCount()).isZero();
        assertThat(counters.get(Counters.Name.ANSWERED_BY_DEADLINE)).isEqualTo(1);
    }

    /** A refusal is answered where it is decided: no thread is taken, started or waited for. */
    @Test
    void aRequestThatIsRefusedTakesNoThread() throws Exception {
        RequestTask<String> unknown =
                new RequestTask<>(
                        engine,
                        counters,
                        new IoRequest(
                                0,
                                9,
                                0,
                                1,
                                false,
                                true,
                                7,
                                8,
                                2,
                                MonotonicClock.now().plusSeconds(2)),
                        "work",
                        caller,
                        link);
        pool.start(unknown);
        assertThat(answer()).isEqualTo("refused");
        assertThat(answeredBy).isEqualTo("engine");
        begin();
        attempt()
                .accept(
                        new NodeLink.AttemptResult(
                                Status.OK, DATA, NodeLink.ResponseMetadata.NOTHING));
        assertThat(answer()).isEqualTo("served 3");
        assertThat(answeredBy).isEqualTo("request");
    }
}
