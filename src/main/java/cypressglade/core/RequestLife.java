package cypressglade.core;

import cypressglade.core.Counters.Name;
import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.NodeLink.Ending;
import cypressglade.core.RequestLog.What;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.ClientRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One request from its taking to its one answer. Until the module sends it somewhere it takes no
 * thread: what ends it by then (a refusal, its client's leave, its deadline) is done where it is
 * told. From its first attempt on it is read from top to bottom in {@link #run}, as a blocking
 * task; its links do not block.
 */
public final class RequestLife<W> implements Runnable {
    /** How long past the end of a request the module's last word is waited for. */
    private static final Duration ORDER_GRACE = Duration.ofMillis(15);

    private final Engine engine;
    private final Counters counters;
    private final IoRequest request;
    private final W work;
    private final Caller caller;
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
    ClientRequest asTry;
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

    private record Ended(Ending ending) implements Signal {}

    private record Gone() implements Signal {}

    private record Late() implements Signal {}

    /** The program stops and can wait no longer. */
    private record Stop() implements Signal {}

    public RequestLife(
            Engine engine,
            Counters counters,
            IoRequest request,
            W work,
            Caller caller,
            NodeLink<W> link) {
        this.engine = engine;
        this.counters = counters;
        this.request = request;
        this.work = work;
        this.caller = caller;
        this.link = link;
        this.log = engine.log();
    }

    /** Hands it to the module; its ends, and its thread, are the pool's from here on. */
    void begin(RequestPool room) {
        pool = room;
        engine.taken(this, request);
    }

    void signal(Signal signal) {
        if (phase.get() == Phase.WORKING) {
            signals.add(signal);
        } else if (signal instanceof Send && phase.compareAndSet(Phase.WAITING, Phase.WORKING)) {
            signals.add(signal);
            if (!pool.work(
                    this)) { // no thread for it: it never ran anywhere, and the module hears so
                caller.refused(Duration.ZERO);
                engine.withdrawn(this, false);
            }
        } else if (!(signal instanceof Cancel) && phase.compareAndSet(Phase.WAITING, Phase.OVER)) {
            end(signal);
            pool.over(this);
        }
    }

    /** Ends it where the module has said nothing by its deadline and a little more. */
    void late(Instant now) {
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
    public void clientGone() {
        left = true;
        engine.left(this); // before the client can come again by another connection
        signal(new Gone());
    }

    @Override
    public void run() {
        worked = true;
        try {
            work();
        } catch (RuntimeException | Error fault) {
            log.note(caller.id(), What.CUT_OFF, "its task failed: " + fault);
            if (!answered) { // its client is owed an answer all the same
                fail();
                engine.withdrawn(this, false);
            }
            throw fault;
        } finally {
            pool.over(this);
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
            Instant sent = Time.now();
            if (attempt > 0) {
                log.note(
                        caller.id(),
                        What.RETRIED,
                        "attempt "
                                + (attempt + 1)
                                + " at node "
                                + send.node()
                                + ", as the last ended "
                                + last);
            }
            Ending ending = attempt(send, sent);
            last = ending.status();
            counters.ended(ending.status());
            boolean served = ending.status() == Status.OK;
            if (served && !gone) {
                counters.add(Name.ANSWERED_SERVED);
                answered = true;
                caller.served(ending.answer());
            } else if (stopped && !gone) {
                log.note(caller.id(), What.STOPPED, "an attempt was out at node " + send.node());
                fail();
            }
            engine.ended(
                    this,
                    attempt,
                    send.node(),
                    ending,
                    ending.took().orElseGet(() -> Duration.between(sent, Time.now())),
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
            log.note(
                    caller.id(),
                    What.REFUSED,
                    "by the module, to come again after " + refuse.retryAfter().toMillis() + " ms");
            caller.refused(refuse.retryAfter());
        } else if (order instanceof Fail) {
            log.note(caller.id(), What.FAILED, "by the module");
            fail();
        } else if (order instanceof Stop) {
            endAtStop();
            engine.withdrawn(this, false);
        } else if (order instanceof Gone) {
            engine.withdrawn(this, false);
        } else if (order instanceof Late) {
            counters.add(Name.ANSWERED_BY_DEADLINE);
            log.note(caller.id(), What.BY_DEADLINE, "the module had not said a word");
            caller.failed();
            engine.withdrawn(this, false);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Nothing is out for it: what was never sent is refused, which promises that it did not run.
     */
    private void endAtStop() {
        log.note(caller.id(), What.STOPPED, "no attempt was out");
        if (worked) {
            fail();
        } else {
            counters.add(Name.ANSWERED_REFUSED);
            caller.refused(Duration.ZERO);
        }
    }

    private void fail() {
        counters.add(Name.ANSWERED_FAILED);
        answered = true;
        caller.failed();
    }

    /**
     * Waits for the end of one attempt, which comes by its limit; by then no connection carries it.
     */
    private Ending attempt(Send send, Instant sent) {
        Instant until = request.expiry();
        if (!send.limit().isZero() && sent.plus(send.limit()).isBefore(until)) {
            until = sent.plus(send.limit());
        }
        Attempt out =
                link.send(
                        send.node(),
                        work,
                        until,
                        () -> !left && caller.present(),
                        ending -> signal(new Ended(ending)));
        while (true) {
            Signal signal = await(Instant.MAX);
            if (signal instanceof Ended end) {
                return end.ending();
            } else if (signal instanceof Cancel) {
                out.abandon();
            } else if (signal instanceof Stop) {
                stopped = true;
                out.abandon();
            } else if (signal instanceof Gone) {
                // an attempt that has begun runs on: what becomes of it still tells of its node
                gone = true;
                engine.withdrawn(this, true);
            }
        }
    }

    private Signal await(Instant until) {
        try {
            // Who waits for the end of an attempt looks again after the longest wait.
            Duration left = until.equals(Instant.MAX) ? Mailbox.LONGEST : Time.until(until);
            return signals.poll(left).orElseGet(Late::new);
        } catch (InterruptedException end) {
            return new Late();
        }
    }
}
