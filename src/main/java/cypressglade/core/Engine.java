package cypressglade.core;

import cypressglade.core.Scheduler.Actions;
import cypressglade.core.Scheduler.Hint;
import cypressglade.core.Scheduler.Load;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.Terms;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * Runs the decision module on one thread, which owns it, its timers and the table of open requests.
 * All others post events; what the module orders goes to the request's own task. Decides nothing.
 */
public final class Engine implements AutoCloseable {
    private static final float[] NO_LOAD = {};
    private static final Duration GATE_LOOK = Duration.ofMillis(100);
    private static final System.Logger LOG = System.getLogger(Engine.class.getName());

    private final Mailbox<Runnable> events = new Mailbox<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparing(Timer::number));
    private final Map<Long, RequestTask<?>> open = new HashMap<>();
    private final NodeDirectory directory;
    private final Counters counters;
    private final Scheduler scheduler;
    private final Duration coldSpan;
    private final Optional<Terms> storms;
    private final Optional<RetryStormFilter> gate;
    private Instant gateLook = Instant.MAX;
    private boolean saving;
    private Settings settings;
    private Share share = new Share(0, 0);
    private final DemandTracker asked = new DemandTracker();
    private final RequestLog log = new RequestLog();
    private Optional<Engine.LimitAllocation> granted = Optional.empty();

    /**
     * Processes that serve as this instance at once: two while an upgrade hands over, one
     * otherwise.
     */
    private int beside = 1;

    private final Thread thread = new Thread(this::run, "engine");
    private Consumer<Probe> prober =
            probe -> probe.ended(NodeLink.AttemptResult.withoutResponse(Status.CONNECT_FAILED));
    private long lastId;
    private long lastTimer;
    private volatile boolean closing;

    /** Which of how many instances this one is, where that is known better than by the settings. */
    private record Share(int rank, int heads) {
        /** Never a larger part than the settings give: on a limit the careful figure holds. */
        Settings of(Settings told) {
            return heads <= told.heads() ? told : told.among(rank, heads);
        }
    }

    /** This instance's parts of what a fleet shares, until a time; of cold nodes by their run. */
    public record LimitAllocation(
            Map<Long, Double> shareByVolume,
            Map<DemandTracker.ColdNode, Double> shareByColdNode,
            double otherVolumesShare,
            double otherColdNodesShare,
            double minShare,
            Instant validUntil) {}

    private record Timer(Instant due, long number, long token) {}

    /** A probe that the module ordered; its end is told once. */
    private final class Probe {
        private final long node;
        private final Instant sent = MonotonicClock.now();

        private Probe(long node) {
            this.node = node;
        }

        private void ended(NodeLink.AttemptResult ending) {
            long latency = Micros.of(Duration.between(sent, MonotonicClock.now()));
            post(
                    () ->
                            scheduler.probed(
                                    now(),
                                    node,
                                    ending.status(),
                                    latency,
                                    ending.metadata().load()));
        }
    }

    public Engine(Settings settings, NodeDirectory directory, Counters counters) {
        this(settings, directory, counters, Optional.empty());
    }

    /** The same, with what is done about storms of second tries; off without. */
    public Engine(
            Settings settings, NodeDirectory directory, Counters counters, Optional<Terms> storms) {
        this.directory = directory;
        this.counters = counters;
        this.settings = settings;
        this.coldSpan = Micros.toDuration(settings.limits().fallUs());
        this.storms = storms;
        this.gate =
                storms.map(
                        terms ->
                                new RetryStormFilter(
                                        terms, settings, coldSpan, counters, MonotonicClock.now()));
        this.scheduler = new Brain(now(), settings, new Orders());
        thread.setDaemon(true);
    }

    /** Why requests ended as they did, for all who answer them. */
    public RequestLog requestLog() {
        return log;
    }

    /** Starts the thread; {@code links} names the link by which a node is probed. */
    public void start(LongFunction<NodeLink<?>> links) {
        prober = probe -> links.apply(probe.node).probe(probe.node, probe::ended);
        gate.ifPresent(any -> gateLook = MonotonicClock.now());
        thread.start();
    }

    /**
     * Takes the writes that were in doubt in the former life, or nothing where those are not known;
     * to be called before the doors open.
     *
     * @throws IllegalArgumentException where these are no such bytes
     */
    public void restoreUncertainWrites(Optional<byte[]> former) {
        gate.ifPresent(
                kept ->
                        kept.restoreUncertainWrites(
                                former,
                                MonotonicClock.now())); // before the thread starts, which owns it
    }

    /** Writes in doubt, for the next life; handed over on the engine's thread. */
    public void readUncertainWrites(Consumer<byte[]> seen) {
        gate.ifPresent(kept -> post(() -> seen.accept(kept.uncertainWrites(MonotonicClock.now()))));
    }

    /** Takes new settings; what is open goes on under what it was taken with. */
    public void applySettings(Settings next) {
        post(
                () -> {
                    settings = next;
                    gate.ifPresent(kept -> kept.applySettings(next));
                    scheduler.use(inForce());
                });
    }

    /** This instance is one of so many, which shares out what all together may send. */
    public void setInstances(int rank, int heads) {
        post(
                () -> {
                    share = new Share(rank, heads);
                    scheduler.use(inForce());
                });
    }

    /**
     * So many processes serve as this instance at once, as while an upgrade hands over: each takes
     * its part of the instance's limits, on volumes and on cold nodes, so that together they keep
     * them.
     */
    public void setProcessCount(int processes) {
        post(
                () -> {
                    if (beside != Math.max(1, processes)) {
                        beside = Math.max(1, processes);
                        scheduler.use(inForce());
                        grant();
                    }
                });
    }

    /** What was asked of this instance since the last call, handed over on the engine's thread. */
    public void takeDemand(Consumer<DemandTracker.Demand> seen) {
        post(() -> seen.accept(asked.takeDemand(directory.statuses(scheduler.views(now())))));
    }

    /** Takes the parts that hold from now on, in place of even ones. */
    public void applyAllocation(Engine.LimitAllocation next) {
        post(
                () -> {
                    granted = Optional.of(next);
                    grant();
                });
    }

    private void grant() {
        granted.ifPresent(this::divide);
    }

    private void divide(Engine.LimitAllocation held) {
        Map<Long, Double> cold = new HashMap<>();
        directory.statuses(scheduler.views(now())).stream()
                .filter(fact -> DemandTracker.isCold(fact.view()))
                .forEach(fact -> cold.put(fact.view().node(), coldPart(held, fact)));
        scheduler.parts(
                now(),
                new Scheduler.Parts(
                                held.shareByVolume(),
                                cold,
                                held.otherVolumesShare(),
                                held.minShare(),
                                Micros.of(held.validUntil()))
                        .among(beside));
    }

    private static double coldPart(Engine.LimitAllocation held, NodeStatus fact) {
        return held.shareByColdNode()
                .getOrDefault(DemandTracker.coldNode(fact), held.otherColdNodesShare());
    }

    /** How long what was sent to a cold node counts, by the settings at the start. */
    public Duration coldWindow() {
        return coldSpan;
    }

    private Settings inForce() {
        Settings shared =
                saving
                        ? RetryStormFilter.withAttemptBudget(
                                share.of(settings), storms.orElseThrow())
                        : share.of(settings);
        return beside == 1 ? shared : shared.among(shared.rank(), shared.heads() * beside);
    }

    /**
     * What is known of the nodes; handed over on the engine's thread, at a cost of one pass over
     * them.
     */
    public void readNodes(Consumer<List<NodeStatus>> seen) {
        post(() -> seen.accept(directory.statuses(scheduler.views(now()))));
    }

    /** What is known of the nodes and what is held, of one moment; as {@link #readNodes}. */
    public void readStatus(BiConsumer<List<NodeStatus>, Load> seen) {
        post(
                () ->
                        seen.accept(
                                directory.allStatuses(scheduler.views(now())),
                                scheduler.load(now())));
    }

    /**
     * Hands on what others know of a node, by its id; of one that is not in the list nothing is
     * kept.
     */
    public void hint(String id, LongFunction<Hint> hint) {
        post(
                () ->
                        directory
                                .numberOf(id)
                                .ifPresent(node -> scheduler.hint(now(), hint.apply(node))));
    }

    /** Takes in what discovery told; it counts for the links at once. */
    public void updateNodes(NodeList list) {
        var entries = directory.update(list);
        post(
                () -> {
                    scheduler.nodes(now(), NodeDirectory.listKind(list), entries);
                    grant(); // a node that has come back is another cold one
                    counters.add(
                            Counters.Name
                                    .LISTS); // so that who waits for it finds the module knowing
                });
    }

    void submit(RequestTask<?> life, IoRequest request) {
        post(
                () -> {
                    if (gate.isPresent()
                            && gate.get().tryReject(life, request, MonotonicClock.now())) {
                        save();
                        return;
                    }
                    life.id = ++lastId;
                    open.put(life.id, life);
                    Scheduler.Request taken = request.toSchedulerRequest(life.id, beside);
                    asked.add(taken, limited(taken));
                    scheduler.request(now(), taken);
                });
    }

    /** Follows the weather with the budget of further attempts. */
    private void save() {
        boolean next = gate.filter(RetryStormFilter::isAttemptBudgetActive).isPresent();
        if (next != saving) {
            saving = next;
            scheduler.use(inForce());
        }
    }

    private boolean limited(Scheduler.Request request) {
        return request.plan() < settings.plans().size()
                && settings.plans().get(request.plan()).limitRate() > 0;
    }

    /**
     * How the given attempt ended, and what its answer told; {@code over} where the request is
     * finished with it.
     */
    void attemptEnded(
            RequestTask<?> life,
            int attempt,
            long node,
            NodeLink.AttemptResult ending,
            Duration latency,
            boolean over) {
        Status status = ending.status();
        NodeLink.ResponseMetadata told = ending.metadata();
        post(
                () -> {
                    life.ended++;
                    life.mayHaveRun |= status.mayHaveRun;
                    if (over) {
                        open.remove(life.id);
                        if (status == Status.OK) {
                            gate.ifPresent(kept -> kept.served(life, MonotonicClock.now()));
                        } else {
                            gate.ifPresent(kept -> kept.recordNeverRan(life));
                        }
                    }
                    scheduler.outcome(
                            now(),
                            new Outcome(
                                    life.id,
                                    attempt,
                                    node,
                                    status,
                                    Micros.of(latency),
                                    over,
                                    told.usePercentPlusOne(),
                                    told.unitsByOthers(),
                                    told.load()));
                });
    }

    /**
     * The client of a request has gone; its task says so too, but may come to it only after the
     * client's next try is here. What may have run by then is in doubt from now on.
     */
    void clientDisconnected(RequestTask<?> life) {
        gate.ifPresent(
                kept ->
                        post(
                                () ->
                                        kept.recordIfUncertain(
                                                life,
                                                life.ordered > life.ended,
                                                MonotonicClock.now())));
    }

    /**
     * Nothing is owed any more. Where no attempt is out, one may still have been ordered that its
     * task will not make: it never ran, and the module must not wait for it.
     */
    void withdraw(RequestTask<?> life, boolean attemptOut) {
        post(
                () -> {
                    open.remove(life.id);
                    gate.ifPresent(
                            kept -> kept.recordIfUncertain(life, attemptOut, MonotonicClock.now()));
                    scheduler.withdrawn(now(), life.id);
                    if (!attemptOut && life.ordered > life.ended) {
                        scheduler.outcome(
                                now(),
                                new Outcome(
                                        life.id,
                                        life.ordered - 1,
                                        life.node,
                                        Status.MOOT,
                                        0,
                                        true,
                                        0,
                                        0,
                                        NO_LOAD));
                    }
                });
    }

    private static long now() {
        return Micros.of(MonotonicClock.now());
    }

    private void post(Runnable event) {
        events.add(event);
    }

    private void run() {
        while (!closing) {
            try {
                Timer first = timers.peek();
                Duration wait = first == null ? Mailbox.LONGEST : MonotonicClock.until(first.due());
                Duration look = gate.isEmpty() ? Mailbox.LONGEST : MonotonicClock.until(gateLook);
                Optional<Runnable> event = events.poll(look.compareTo(wait) < 0 ? look : wait);
                if (event.isPresent()
                        && !closing) { // it may win against the interrupt that ends the wait
                    event.get().run();
                }
                while (!timers.isEmpty() && MonotonicClock.until(timers.peek().due()).isZero()) {
                    scheduler.timer(now(), timers.poll().token());
                }
                if (gate.isPresent() && MonotonicClock.until(gateLook).isZero()) {
                    gateLook = MonotonicClock.now().plus(GATE_LOOK);
                    gate.get().updateNodes(scheduler.views(now()), MonotonicClock.now());
                    save();
                }
            } catch (InterruptedException end) {
                return;
            } catch (RuntimeException fault) {
                // One faulty event must not take the others' answers: the task of its request still
                // answers by the deadline.
                counters.add(Counters.Name.MODULE_FAULTS);
                LOG.log(System.Logger.Level.ERROR, "decision module", fault);
            }
        }
    }

    @Override
    public void close() {
        closing = true;
        thread.interrupt();
    }

    /** What the module orders, on the engine's thread. */
    private final class Orders implements Actions {
        @Override
        public void send(long requestId, long node, long timeoutUs) {
            RequestTask<?> life = open.get(requestId);
            life.ordered++;
            life.node = node;
            life.firstSent = life.firstSent == null ? MonotonicClock.now() : life.firstSent;
            life.signal(new RequestTask.Send(node, Micros.toDuration(timeoutUs)));
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            RequestTask<?> life = open.get(requestId);
            Duration advice = Micros.toDuration(retryAfterUs);
            finish(
                    requestId,
                    new RequestTask.Refuse(
                            life == null || gate.isEmpty()
                                    ? advice
                                    : gate.get().refused(life, advice, MonotonicClock.now())));
        }

        @Override
        public void fail(long requestId) {
            finish(requestId, new RequestTask.Fail());
        }

        @Override
        public void cancel(long requestId, int attempt) {
            tell(requestId, new RequestTask.Cancel(attempt));
        }

        @Override
        public void probe(long node) {
            counters.add(Counters.Name.PROBES);
            prober.accept(new Probe(node));
        }

        @Override
        public void timer(long delayUs, long token) {
            timers.add(
                    new Timer(
                            MonotonicClock.now().plus(Micros.toDuration(delayUs)),
                            ++lastTimer,
                            token));
        }

        @Override
        public void tell(long toRank, byte[] text) {
            throw new UnsupportedOperationException("schedulers have no way to talk to each other");
        }

        @Override
        public void watch(boolean on) {
            // Discovery is always watched.
        }

        private void tell(long requestId, RequestTask.Signal signal) {
            RequestTask<?> life = open.get(requestId);
            if (life != null) {
                life.signal(signal);
            }
        }

        private void finish(long requestId, RequestTask.Signal signal) {
            tell(requestId, signal);
            RequestTask<?> life = open.remove(requestId);
            if (life != null) {
                gate.ifPresent(kept -> kept.recordIfUncertain(life, false, MonotonicClock.now()));
            }
        }
    }
}
