package cypressglade.core;

import cypressglade.core.Counters.Name;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.RequestLog.Event;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.ClientRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One request from its arrival to its single answer. Until the scheduling policy sends it to a node
 * it has no thread: whatever ends it by then (a refusal, its client's disconnect, its deadline) is
 * handled on the thread that reports it. From its first attempt on it runs as a blocking task,
 * {@link #run}; the links that it uses do not block.
 *
 * @param <W> what the front sends to a node for the request
 */
public final class RequestTask<W> implements Runnable {
    /** How long past the deadline of a request the scheduling policy's order is waited for. */
    private static final Duration ORDER_GRACE = Duration.ofMillis(15);

    private final Engine engine;
    private final Counters counters;
    private final IoRequest request;
    private final W work;
    private final Responder responder;
    private final NodeLink<W> link;
    private final Mailbox<Signal> signals = new Mailbox<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private RequestPool pool;
    private final RequestLog log;

    private boolean hasRun; // set when the task gets its thread
    private boolean isAnswered;

    // Whether the request's own thread has received these signals.
    private boolean isStopped;
    private boolean isClientGone;

    private final OpenAttempts attempts;
    private final AnswerReceipt receipt;

    /** Set when the request has ended without an answer of a node. */
    private boolean isFinished;

    /** An order to end the request that came while an attempt was out. */
    private Optional<Signal> finalOrder = Optional.empty();

    /** Set as soon as the client disconnects; read just before an attempt begins. */
    private volatile boolean hasClientLeft;

    // Used by the engine thread alone: the number by which the scheduling policy knows the request,
    // the node of the latest order to send, and how many attempts were ordered and have ended.
    long id;
    long node;
    int orderedAttempts;
    int endedAttempts;
    boolean isServed;

    // Used by the engine thread alone, for its retry storm filter where it has one.
    ClientRequest stormRequest;
    boolean mayHaveRun;
    boolean isOver;

    private enum Phase {
        /** Waits for the scheduling policy's order, without a thread. */
        WAITING,
        /** Has a thread. */
        RUNNING,
        /** Ended without having had a thread. */
        FINISHED
    }

    /**
     * What the task receives: an order of the scheduling policy, the end of its attempt, or a
     * reason to end.
     */
    sealed interface Signal {}

    /** Order: send an attempt to the node; a limit of zero leaves it the time to the deadline. */
    record Send(long node, Duration limit) implements Signal {}

    /** Order: answer as refused, with an advice when to retry; zero for none. */
    record Refuse(Duration retryAfter) implements Signal {}

    /** Order: answer as failed. */
    record Fail() implements Signal {}

    /** Order: close the attempt, so that another may begin. */
    record Cancel(int attempt) implements Signal {}

    private record AttemptEnded(int attempt, AttemptResult result) implements Signal {}

    private record ClientGone() implements Signal {}

    /** The scheduling policy gave no order in time. */
    private record Overdue() implements Signal {}

    /** The process is about to be killed. */
    private record Stop() implements Signal {}

    /**
     * Creates a task that does nothing until {@link RequestPool#start}.
     *
     * @param work what {@code link} sends to a node for the request
     */
    public RequestTask(
            Engine engine,
            Counters counters,
            IoRequest request,
            W work,
            Responder responder,
            NodeLink<W> link) {
        this.engine = engine;
        this.counters = counters;
        this.request = request;
        this.work = work;
        this.responder = responder;
        this.link = link;
        this.log = engine.requestLog();
        this.attempts = new OpenAttempts(request.rules());
        this.receipt = new AnswerReceipt(engine);
    }

    /** By which a front reports that the client has read its answer. */
    public AnswerReceipt receipt() {
        return receipt;
    }

    /** Submits the request to the engine; from here on the pool holds it until it has ended. */
    void submit(RequestPool owner) {
        pool = owner;
        engine.submit(this, request);
    }

    void signal(Signal signal) {
        if (phase.get() == Phase.RUNNING) {
            signals.add(signal);
        } else if (signal instanceof Send && phase.compareAndSet(Phase.WAITING, Phase.RUNNING)) {
            signals.add(signal);
            // Without a thread it never ran on any node; which the scheduling policy must know.
            if (!pool.execute(this)) {
                responder.refuse(Duration.ZERO);
                engine.withdraw(this, false);
            }
        } else if (!(signal instanceof Cancel)
                && phase.compareAndSet(Phase.WAITING, Phase.FINISHED)) {
            finish(signal);
            pool.release(this);
        }
    }

    /** Fails the request if it got no order by its deadline and {@link #ORDER_GRACE}. */
    void expireIfOverdue(Instant now) {
        if (phase.get() == Phase.WAITING && now.isAfter(request.expiry().plus(ORDER_GRACE))) {
            signal(new Overdue());
        }
    }

    /** Answers the request now, even with an attempt in flight: the process is killed soon. */
    void stop() {
        signal(new Stop());
    }

    /**
     * Ends the request because its client disconnected: the engine is notified, no answer is given,
     * and no further attempt begins.
     */
    public void clientDisconnected() {
        hasClientLeft = true;
        signal(new ClientGone());
    }

    @Override
    public void run() {
        hasRun = true;
        try {
            runAttempts();
        } catch (RuntimeException | Error fault) {
            log.record(responder.requestId(), Event.CUT_OFF, "its task failed: " + fault);
            engine.attemptsLost(this);
            // The client is owed an answer all the same.
            if (!isAnswered) {
                fail();
            }
            engine.withdraw(this, false);
            throw fault;
        } finally {
            attempts.cancelAll();
            pool.release(this);
        }
    }

    private static void discard(AttemptResult result) {
        result.rest().ifPresent(AnswerStream::cancel);
    }

    private void runAttempts() {
        while (!attempts.isEmpty() || !isFinished && !isEnding()) {
            handle(await(attempts.isEmpty() ? request.expiry().plus(ORDER_GRACE) : Instant.MAX));
        }
    }

    /** Whether no further attempt may begin. */
    private boolean isEnding() {
        return isAnswered || isClientGone || isStopped;
    }

    private void handle(Signal signal) {
        if (signal instanceof AttemptEnded end) {
            handleEnd(end);
        } else if (signal instanceof Cancel order) {
            giveUp(order.attempt());
        } else if (signal instanceof Send order) {
            // One that comes too late is reported as never made, with the end of another attempt.
            if (!isEnding()) {
                begin(order);
            }
        } else if (attempts.isEmpty()) {
            isFinished = finish(signal);
        } else {
            handleBesideAttempts(signal);
        }
    }

    private void handleBesideAttempts(Signal signal) {
        if (signal instanceof Stop) {
            isStopped = true;
            attempts.cancelAll();
        } else if (signal instanceof ClientGone && !isAnswered) {
            // An attempt that has begun goes on: its result still tells about its node.
            isClientGone = true;
            engine.withdraw(this, true);
        } else if (signal instanceof Refuse || signal instanceof Fail) {
            finalOrder = Optional.of(signal);
        }
    }

    /** Sends an attempt, whose end comes by its limit at the latest. */
    private void begin(Send order) {
        counters.add(Name.SENT);
        Instant now = MonotonicClock.now();
        Instant limit = order.limit().isZero() ? Instant.MAX : now.plus(order.limit());
        Instant until = limit.isBefore(request.expiry()) ? limit : request.expiry();
        if (attempts.begunCount() > 0) {
            recordRetry(order);
        }
        attempts.begin(
                order.node(),
                number ->
                        link.send(
                                order.node(),
                                work,
                                until,
                                () -> !hasClientLeft && responder.isClientConnected(),
                                new SignalingObserver(number)));
    }

    /** Passes on what a link reports of an attempt; called on the link's thread. */
    private final class SignalingObserver implements NodeLink.AttemptObserver {
        private final int attempt;

        SignalingObserver(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void ended(AttemptResult result) {
            signal(new AttemptEnded(attempt, result));
        }

        @Override
        public void silenceChanged(boolean isSilent) {
            engine.answerSilenceChanged(RequestTask.this, attempt, isSilent);
        }
    }

    private void recordRetry(Send order) {
        log.record(
                responder.requestId(),
                Event.RETRIED,
                "attempt "
                        + (attempts.begunCount() + 1)
                        + " of class "
                        + request.rules().requestClass().name()
                        + " at node "
                        + order.node()
                        + ", "
                        + attempts.reasonForNext());
    }

    private void giveUp(int attempt) {
        if (attempts.contains(attempt)) {
            log.record(
                    responder.requestId(),
                    Event.GIVEN_UP,
                    "attempt " + (attempt + 1) + ", whose answer is silent; its connection closes");
            attempts.cancel(attempt);
        }
    }

    /** Answers the request by the end of an attempt, if it calls for it. */
    private void handleEnd(AttemptEnded end) {
        AttemptResult result = end.result();
        OpenAttempts.OpenAttempt attempt = attempts.end(end.attempt(), result.status());
        counters.countAttemptEnd(result.status());
        if (isAnswered || isClientGone) {
            discard(result);
        } else if (result.status() == Status.OK) {
            serve(result);
            cancelOthers();
        } else if (isStopped && attempts.isEmpty()) {
            log.record(
                    responder.requestId(),
                    Event.STOPPED,
                    "an attempt was out at node " + attempt.node());
            fail();
        }
        engine.attemptEnded(
                this,
                end.attempt(),
                attempt.node(),
                result,
                result.latency().orElseGet(attempt::age),
                isEnding(),
                attempts.size());
        if (!isEnding() && attempts.isEmpty() && finalOrder.isPresent()) {
            isFinished = finish(finalOrder.get());
        }
    }

    private void cancelOthers() {
        if (request.rules().mayCancel()) {
            attempts.cancelAll();
        }
    }

    private void serve(AttemptResult result) {
        counters.add(Name.ANSWERED_SERVED);
        isAnswered = true;
        if (result.rest().isPresent()) {
            responder.serve(result.answer(), result.rest().get());
        } else {
            responder.serve(result.answer());
        }
    }

    /**
     * Gives the answer that a signal calls for. Returns false where it calls for none, such as a
     * cancel that comes too late.
     */
    private boolean finish(Signal signal) {
        if (signal instanceof Refuse refuse) {
            counters.add(Name.ANSWERED_REFUSED);
            log.record(
                    responder.requestId(),
                    Event.REFUSED,
                    "by the module, to come again after " + refuse.retryAfter().toMillis() + " ms");
            responder.refuse(refuse.retryAfter());
        } else if (signal instanceof Fail) {
            log.record(responder.requestId(), Event.FAILED, "by the module");
            fail();
        } else if (signal instanceof Stop) {
            finishAtStop();
            engine.withdraw(this, false);
        } else if (signal instanceof ClientGone) {
            engine.withdraw(this, false);
        } else if (signal instanceof Overdue) {
            counters.add(Name.ANSWERED_BY_DEADLINE);
            log.record(responder.requestId(), Event.BY_DEADLINE, "the module had not said a word");
            responder.fail();
            engine.withdraw(this, false);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Answers a request that has no attempt in flight. One that was never sent is refused, which
     * promises that it did not run.
     */
    private void finishAtStop() {
        log.record(responder.requestId(), Event.STOPPED, "no attempt was out");
        if (hasRun) {
            fail();
        } else {
            counters.add(Name.ANSWERED_REFUSED);
            responder.refuse(Duration.ZERO);
        }
    }

    private void fail() {
        counters.add(Name.ANSWERED_FAILED);
        isAnswered = true;
        responder.fail();
    }

    private Signal await(Instant until) {
        try {
            // While an attempt is in flight a wait that ends without a signal is just repeated.
            Duration left =
                    until.equals(Instant.MAX) ? Mailbox.MAX_WAIT : MonotonicClock.until(until);
            return signals.poll(left).orElseGet(Overdue::new);
        } catch (InterruptedException interrupted) {
            return new Overdue();
        }
    }
}
