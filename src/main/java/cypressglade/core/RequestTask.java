package cypressglade.core;

import cypressglade.core.Counters.Name;
import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.RequestLog.Event;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.ClientRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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

    private final List<Attempt> stalledAttempts = new ArrayList<>();
    private int openStalledAttempts;

    /** Set when the request's own thread takes no further signals. */
    private volatile boolean isOver;

    /** Set as soon as the client disconnects; read just before an attempt begins. */
    private volatile boolean hasClientLeft;

    // Used by the engine thread alone: the number by which the scheduling policy knows the request,
    // the node of the latest order to send, and how many attempts were ordered and have ended.
    long id;
    long node;
    int orderedAttempts;
    int endedAttempts;

    // Used by the engine thread alone, for its retry storm filter where it has one.
    ClientRequest stormRequest;
    Instant firstSent;
    boolean mayHaveRun;

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

    /** Order: cancel the attempt. */
    record Cancel(int attempt) implements Signal {}

    private record AttemptEnded(AttemptResult result) implements Signal {}

    /** A stalled attempt has ended after all. */
    private record LateEnd(AttemptResult result) implements Signal {}

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
        // Before the client can send the request again by another connection.
        engine.clientDisconnected(this);
        signal(new ClientGone());
    }

    @Override
    public void run() {
        hasRun = true;
        try {
            runAttempts();
        } catch (RuntimeException | Error fault) {
            log.record(responder.requestId(), Event.CUT_OFF, "its task failed: " + fault);
            // The client is owed an answer all the same.
            if (!isAnswered) {
                fail();
                engine.withdraw(this, false);
            }
            throw fault;
        } finally {
            isOver = true;
            stalledAttempts.forEach(Attempt::cancel);
            discardLateEnds();
            pool.release(this);
        }
    }

    /** Gives up answers that arrived after the request had ended. */
    private void discardLateEnds() {
        for (Optional<Signal> signal = signals.poll();
                signal.isPresent();
                signal = signals.poll()) {
            if (signal.get() instanceof LateEnd late) {
                discard(late.result());
            }
        }
    }

    private static void discard(AttemptResult result) {
        result.rest().ifPresent(AnswerStream::cancel);
    }

    private void runAttempts() {
        int attempt = 0;
        Status last = Status.MOOT;
        while (true) {
            Signal order = awaitOrder();
            if (!(order instanceof Send send)) {
                if (order instanceof LateEnd || finish(order)) {
                    return;
                }
                continue;
            }
            counters.add(Name.SENT);
            Instant sent = MonotonicClock.now();
            if (attempt > 0) {
                recordRetry(attempt, send, last);
            }
            AttemptResult result = runAttempt(send, sent);
            last = result.status();
            counters.countAttemptEnd(result.status());
            boolean isEnded = handleResult(result, send);
            engine.attemptEnded(
                    this,
                    attempt,
                    send.node(),
                    result,
                    result.latency().orElseGet(() -> Duration.between(sent, MonotonicClock.now())),
                    isEnded);
            if (isEnded) {
                return;
            }
            attempt++;
        }
    }

    private void recordRetry(int attempt, Send send, Status last) {
        log.record(
                responder.requestId(),
                Event.RETRIED,
                "attempt "
                        + (attempt + 1)
                        + " of class "
                        + request.rules().requestClass().name()
                        + " at node "
                        + send.node()
                        + ", as the last ended "
                        + last);
    }

    /**
     * Answers by the result of an attempt, if it calls for it; returns whether the request ends.
     */
    private boolean handleResult(AttemptResult result, Send send) {
        if (isAnswered || isClientGone) {
            discard(result);
        } else if (result.status() == Status.OK) {
            serve(result);
        } else if (isStopped) {
            log.record(
                    responder.requestId(),
                    Event.STOPPED,
                    "an attempt was out at node " + send.node());
            fail();
        }
        return isAnswered || isClientGone || isStopped;
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
     * Waits for the next order. An order to end the request without an answer of a node is held
     * back while a stalled attempt may still bring one. Returns a {@link LateEnd} where one has.
     */
    private Signal awaitOrder() {
        Signal held = null;
        while (true) {
            Signal signal = await(request.expiry().plus(ORDER_GRACE));
            if (signal instanceof LateEnd late) {
                openStalledAttempts--;
                if (late.result().status() == Status.OK) {
                    serve(late.result());
                    engine.withdraw(this, false);
                    return late;
                }
            } else if ((signal instanceof Refuse || signal instanceof Fail)
                    && openStalledAttempts > 0) {
                held = signal;
            } else {
                return held != null && signal instanceof Overdue ? held : signal;
            }
            if (held != null && openStalledAttempts == 0) {
                return held;
            }
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

    /** Sends one attempt and waits for its end, which comes by its limit at the latest. */
    private AttemptResult runAttempt(Send send, Instant sent) {
        Instant until = request.expiry();
        if (!send.limit().isZero() && sent.plus(send.limit()).isBefore(until)) {
            until = sent.plus(send.limit());
        }
        Attempt inFlight =
                link.send(
                        send.node(),
                        work,
                        until,
                        () -> !hasClientLeft && responder.isClientConnected(),
                        result -> signal(new AttemptEnded(result)));
        while (true) {
            Signal signal = await(Instant.MAX);
            if (signal instanceof AttemptEnded end) {
                end.result().late().ifPresent(late -> watchStalled(inFlight, late));
                return end.result();
            } else if (signal instanceof LateEnd late) {
                openStalledAttempts--;
                if (late.result().status() == Status.OK && !isClientGone && !isAnswered) {
                    serve(late.result());
                    inFlight.cancel();
                } else {
                    discard(late.result());
                }
            } else if (signal instanceof Cancel) {
                inFlight.cancel();
            } else if (signal instanceof Stop) {
                isStopped = true;
                inFlight.cancel();
            } else if (signal instanceof ClientGone) {
                // An attempt that has begun goes on: its result still tells about its node.
                isClientGone = true;
                engine.withdraw(this, true);
            }
        }
    }

    /** Lets an attempt whose answer has stalled go on, until the request has ended. */
    private void watchStalled(Attempt attempt, CompletableFuture<AttemptResult> late) {
        openStalledAttempts++;
        stalledAttempts.add(attempt);
        late.thenAccept(
                result -> {
                    signals.add(new LateEnd(result));
                    if (isOver) {
                        discardLateEnds();
                    }
                });
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
