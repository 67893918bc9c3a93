package cypressglade.core;

import cypressglade.core.Counters.Name;
import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.Try;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One request from its taking to its one answer. Until the module sends it somewhere it takes no
 * thread: what ends it by then (a refusal, its client's leave, its deadline) is done where it is
 * told. From its first attempt on it is read from top to bottom in {@link #run}, as a blocking
 * task; its links do not block.
 */
public final class RequestTask<W> implements Runnable {
    /** How long past the end of a request the module's last word is waited for. */
    private static final Duration ORDER_GRACE = Duration.ofMillis(15);

    private final Engine engine;
    private final Counters counters;
    private final IoRequest request;
    private final W work;
    private final Responder caller;
    private final NodeLink<W> link;
    private final Mailbox<Signal> signals = new Mailbox<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private RequestPool pool;
    private final RequestLog log;
    private boolean worked; // an attempt was made
    private boolean answered;
    private boolean stopped; // as the request's own task has heard
    private boolean gone; // as the request's own task has heard
    private volatile boolean left; // as it is, for an attempt that has not begun

    // The engine's alone: the number that the module knows the request by, and what was ordered and
    // ended.
    long id;
    long node;
    int ordered;
    int ended;
    // The same for its gate, where there is one.
    Try asTry;
    Instant firstSent;
    boolean mayHaveRun;

    /** Waits for the module's word without a thread, works on one, or has its answer. */
    private enum Phase {
        WAITING,
        WORKING,
        OVER
    }

    /**
     * What a request can be told: the module's order, the end of its attempt, or that its client is
     * gone.
     */
    sealed interface Signal {}

    record Send(long node, Duration limit) implements Signal {}

    record Refuse(Duration retryAfter) implements Signal {}

    record Fail() implements Signal {}

    record Cancel(int attempt) implements Signal {}

    private record Ended(NodeLink.AttemptResult ending) implements Signal {}

    private record Gone() implements Signal {}

    private record Late() implements Signal {}

    /** The program stops and can wait no longer. */
    private record Stop() implements Signal {}

    public RequestTask(
            Engine engine,
            Counters counters,
            IoRequest request,
            W work,
            Responder caller,
            NodeLink<W> link) {
        this.engine = engine;
        this.counters = counters;
        this.request = request;
        this.work = work;
        this.caller = caller;
        this.link = link;
        this.log = engine.requestLog();
    }

    /** Hands it to the module; its ends, and its thread, are the pool's from here on. */
    void submit(RequestPool room) {
        pool = room;
        engine.submit(this, request);
    }

    void signal(Signal signal) {
        if (phase.get() == Phase.WORKING) {
            signals.add(signal);
        } else if (signal instanceof Send && phase.compareAndSet(Phase.WAITING, Phase.WORKING)) {
            signals.add(signal);
            if (!pool.execute(
                    this)) { // no thread for it: it never ran anywhere, and the module hears so
                caller.refuse(Duration.ZERO);
                engine.withdraw(this, false);
            }
        } else if (!(signal instanceof Cancel) && phase.compareAndSet(Phase.WAITING, Phase.OVER)) {
            end(signal);
            pool.release(this);
        }
    }

    /** Ends it where the module has said nothing by its deadline and a little more. */
    void expireIfOverdue(Instant now) {
        if (phase.get() == Phase.WAITING && now.isAfter(request.expiry().plus(ORDER_GRACE))) {
            signal(new Late());
        }
    }

    /** Answers it now, whatever is out for it: the program stops, and is killed soon. */
    void stop() {
        signal(new Stop());
    }

    /**
     * The client went away: the module hears of it, nothing is answered, and nothing begins any
     * more.
     */
    public void clientDisconnected() {
        left = true;
        engine.clientDisconnected(this); // before the client can come again by another connection
        signal(new Gone());
    }

    @Override
    public void run() {
        worked = true;
        try {
            work();
        } catch (RuntimeException | Error fault) {
            log.record(caller.requestId(), RequestLog.Event.CUT_OFF, "its task failed: " + fault);
            if (!answered) { // its client is owed an answer all the same
                fail();
                engine.withdraw(this, false);
            }
            throw fault;
        } finally {
            pool.release(this);
        }
    }

    private void work() {
        int attempt = 0;
        Status last = Status.MOOT;
        while (true) {
            Signal order = await(request.expiry().plus(ORDER_GRACE));
            if (!(order instanceof Send send)) {
                if (end(order)) {
                    return;
                }
                continue;
            }
            counters.add(Name.SENT);
            Instant sent = MonotonicClock.now();
            if (attempt > 0) {
                log.record(
                        caller.requestId(),
                        RequestLog.Event.RETRIED,
                        "attempt "
                                + (attempt + 1)
                                + " at node "
                                + send.node()
                                + ", as the last ended "
                                + last);
            }
            NodeLink.AttemptResult ending = attempt(send, sent);
            last = ending.status();
            counters.countAttemptEnd(ending.status());
            boolean served = ending.status() == Status.OK;
            if (served && !gone) {
                counters.add(Name.ANSWERED_SERVED);
                answered = true;
                caller.serve(ending.answer());
            } else if (stopped && !gone) {
                log.record(
                        caller.requestId(),
                        RequestLog.Event.STOPPED,
                        "an attempt was out at node " + send.node());
                fail();
            }
            engine.attemptEnded(
                    this,
                    attempt,
                    send.node(),
                    ending,
                    ending.latency().orElseGet(() -> Duration.between(sent, MonotonicClock.now())),
                    served || gone || stopped);
            if (served || gone || stopped) {
                return;
            }
            attempt++;
        }
    }

    /**
     * Gives the answer that an order stands for; false where it is none, as a cancel that comes
     * late.
     */
    private boolean end(Signal order) {
        if (order instanceof Refuse refuse) {
            counters.add(Name.ANSWERED_REFUSED);
            log.record(
                    caller.requestId(),
                    RequestLog.Event.REFUSED,
                    "by the module, to come again after " + refuse.retryAfter().toMillis() + " ms");
            caller.refuse(refuse.retryAfter());
        } else if (order instanceof Fail) {
            log.record(caller.requestId(), RequestLog.Event.FAILED, "by the module");
            fail();
        } else if (order instanceof Stop) {
            endAtStop();
            engine.withdraw(this, false);
        } else if (order instanceof Gone) {
            engine.withdraw(this, false);
        } else if (order instanceof Late) {
            counters.add(Name.ANSWERED_BY_DEADLINE);
            log.record(
                    caller.requestId(),
                    RequestLog.Event.BY_DEADLINE,
                    "the module had not said a word");
            caller.fail();
            engine.withdraw(this, false);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Nothing is out for it: what was never sent is refused, which promises that it did not run.
     */
    private void endAtStop() {
        log.record(caller.requestId(), RequestLog.Event.STOPPED, "no attempt was out");
        if (worked) {
            fail();
        } else {
            counters.add(Name.ANSWERED_REFUSED);
            caller.refuse(Duration.ZERO);
        }
    }

    private void fail() {
        counters.add(Name.ANSWERED_FAILED);
        answered = true;
        caller.fail();
    }

    /**
     * Waits for the end of one attempt, which comes by its limit; by then no connection carries it.
     */
    private NodeLink.AttemptResult attempt(Send send, Instant sent) {
        Instant until = request.expiry();
        if (!send.limit().isZero() && sent.plus(send.limit()).isBefore(until)) {
            until = sent.plus(send.limit());
        }
        Attempt out =
                link.send(
                        send.node(),
                        work,
                        until,
                        () -> !left && caller.isClientConnected(),
                        ending -> signal(new Ended(ending)));
        while (true) {
            Signal signal = await(Instant.MAX);
            if (signal instanceof Ended end) {
                return end.ending();
            } else if (signal instanceof Cancel) {
                out.cancel();
            } else if (signal instanceof Stop) {
                stopped = true;
                out.cancel();
            } else if (signal instanceof Gone) {
                // an attempt that has begun runs on: what becomes of it still tells of its node
                gone = true;
                engine.withdraw(this, true);
            }
        }
    }

    private Signal await(Instant until) {
        try {
            // Who waits for the end of an attempt looks again after the longest wait.
            Duration left =
                    until.equals(Instant.MAX) ? Mailbox.LONGEST : MonotonicClock.until(until);
            return signals.poll(left).orElseGet(Late::new);
        } catch (InterruptedException end) {
            return new Late();
        }
    }
}
