package cypressglade.core;

import cypressglade.core.NodeLink.Ending;
import cypressglade.core.NodeLink.Told;
import cypressglade.core.Scheduler.Actions;
import cypressglade.core.Scheduler.Hint;
import cypressglade.core.Scheduler.Load;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.StormSettings;
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
    private final Map<Long, RequestLife<?>> open = new HashMap<>();
    private final NodeDirectory directory;
    private final Counters counters;
    private final Scheduler scheduler;
    private final Duration coldSpan;
    private final Optional<StormSettings> storms;
    private final Optional<Gate> gate;
    private Instant gateLook = Instant.MAX;
    private boolean saving;
    private Settings settings;
    private Share share = new Share(0, 0);
    private final Asked asked = new Asked();
    private final RequestLog log = new RequestLog();
    private Optional<Granted> granted = Optional.empty();

    /**
     * Processes that serve as this instance at once: two while an upgrade hands over, one
     * otherwise.
     */
    private int beside = 1;

    private final Thread thread = new Thread(this::run, "engine");
    private Consumer<Probe> prober = probe -> probe.ended(Ending.of(Status.CONNECT_FAILED));
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
    public record Granted(
            Map<Long, Double> volumes,
            Map<Asked.ColdNode, Double> cold,
            double rest,
            double coldRest,
            double least,
            Instant until) {}

    private record Timer(Instant due, long number, long token) {}

    /** A probe that the module ordered; its end is told once. */
    private final class Probe {
        private final long node;
        private final Instant sent = Time.now();

        private Probe(long node) {
            this.node = node;
        }

        private void ended(Ending ending) {
            long latency = Micros.of(Duration.between(sent, Time.now()));
            post(
                    () ->
                            scheduler.probed(
                                    now(), node, ending.status(), latency, ending.told().load()));
        }
    }

    public Engine(Settings settings, NodeDirectory directory, Counters counters) {
        this(settings, directory, counters, Optional.empty());
    }

    /** The same, with what is done about storms of second tries; off without. */
    public Engine(
            Settings settings,
            NodeDirectory directory,
            Counters counters,
            Optional<StormSettings> storms) {
        this.directory = directory;
        this.counters = counters;
        this.settings = settings;
        this.coldSpan = Micros.span(settings.limits().fallUs());
        this.storms = storms;
        this.gate = storms.map(terms -> new Gate(terms, settings, coldSpan, counters, Time.now()));
        this.scheduler = new Brain(now(), settings, new Orders());
        thread.setDaemon(true);
    }

    /** Why requests ended as they did, for all who answer them. */
    public RequestLog log() {
        return log;
    }

    /** Starts the thread; {@code links} names the link by which a node is probed. */
    public void start(LongFunction<NodeLink<?>> links) {
        prober = probe -> links.apply(probe.node).probe(probe.node, probe::ended);
        gate.ifPresent(any -> gateLook = Time.now());
        thread.start();
    }

    /**
     * Takes the writes that were in doubt in the former life, or nothing where those are not known;
     * to be called before the doors open.
     *
     * @throws IllegalArgumentException where these are no such bytes
     */
    public void doubts(Optional<byte[]> former) {
        gate.ifPresent(
                kept -> kept.doubts(former, Time.now())); // before the thread starts, which owns it
    }

    /** Writes in doubt, for the next life; handed over on the engine's thread. */
    public void doubts(Consumer<byte[]> seen) {
        gate.ifPresent(kept -> post(() -> seen.accept(kept.doubts(Time.now()))));
    }

    /** Takes new settings; what is open goes on under what it was taken with. */
    public void use(Settings next) {
        post(
                () -> {
                    settings = next;
                    gate.ifPresent(kept -> kept.use(next));
                    scheduler.use(inForce());
                });
    }

    /** This instance is one of so many, which shares out what all together may send. */
    public void share(int rank, int heads) {
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
    public void beside(int processes) {
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
    public void demand(Consumer<Asked.Demand> seen) {
        post(() -> seen.accept(asked.take(directory.facts(scheduler.views(now())))));
    }

    /** Takes the parts that hold from now on, in place of even ones. */
    public void grant(Granted next) {
        post(
                () -> {
                    granted = Optional.of(next);
                    grant();
                });
    }

    private void grant() {
        granted.ifPresent(this::divide);
    }

    private void divide(Granted held) {
        Map<Long, Double> cold = new HashMap<>();
        directory.facts(scheduler.views(now())).stream()
                .filter(fact -> Asked.cold(fact.view()))
                .forEach(fact -> cold.put(fact.view().node(), coldPart(held, fact)));
        scheduler.parts(
                now(),
                new Scheduler.Parts(
                                held.volumes(),
                                cold,
                                held.rest(),
                                held.least(),
                                Micros.of(held.until()))
                        .among(beside));
    }

    private static double coldPart(Granted held, NodeFact fact) {
        return held.cold().getOrDefault(Asked.node(fact), held.coldRest());
    }

    /** How long what was sent to a cold node counts, by the settings at the start. */
    public Duration coldSpan() {
        return coldSpan;
    }

    private Settings inForce() {
        Settings shared =
                saving ? Gate.budget(share.of(settings), storms.orElseThrow()) : share.of(settings);
        return beside == 1 ? shared : shared.among(shared.rank(), shared.heads() * beside);
    }

    /**
     * What is known of the nodes; handed over on the engine's thread, at a cost of one pass over
     * them.
     */
    public void views(Consumer<List<NodeFact>> seen) {
        post(() -> seen.accept(directory.facts(scheduler.views(now()))));
    }

    /** What is known of the nodes and what is held, of one moment; as {@link #views}. */
    public void look(BiConsumer<List<NodeFact>, Load> seen) {
        post(() -> seen.accept(directory.all(scheduler.views(now())), scheduler.load(now())));
    }

    /**
     * Hands on what others know of a node, by its id; of one that is not in the list nothing is
     * kept.
     */
    public void hint(String id, LongFunction<Hint> hint) {
        post(() -> directory.number(id).ifPresent(node -> scheduler.hint(now(), hint.apply(node))));
    }

    /** Takes in what discovery told; it counts for the links at once. */
    public void told(NodeList list) {
        var entries = directory.update(list);
        post(
                () -> {
                    scheduler.nodes(now(), NodeDirectory.kind(list), entries);
                    grant(); // a node that has come back is another cold one
                    counters.add(
                            Counters.Name
                                    .LISTS); // so that who waits for it finds the module knowing
                });
    }

    void taken(RequestLife<?> life, IoRequest request) {
        post(
                () -> {
                    if (gate.isPresent() && gate.get().stops(life, request, Time.now())) {
                        save();
                        return;
                    }
                    life.id = ++lastId;
                    open.put(life.id, life);
                    Scheduler.Request taken = request.toModule(life.id, beside);
                    asked.add(taken, limited(taken));
                    scheduler.request(now(), taken);
                });
    }

    /** Follows the weather with the budget of further attempts. */
    private void save() {
        boolean next = gate.filter(Gate::saving).isPresent();
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
    void ended(
            RequestLife<?> life,
            int attempt,
            long node,
            Ending ending,
            Duration latency,
            boolean over) {
        Status status = ending.status();
        Told told = ending.told();
        post(
                () -> {
                    life.ended++;
                    life.mayHaveRun |= status.mayHaveRun;
                    if (over) {
                        open.remove(life.id);
                        if (status == Status.OK) {
                            gate.ifPresent(kept -> kept.served(life, Time.now()));
                        } else {
                            gate.ifPresent(kept -> kept.neverRan(life));
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
                                    told.used(),
                                    told.byOthers(),
                                    told.load()));
                });
    }

    /**
     * The client of a request has gone; its task says so too, but may come to it only after the
     * client's next try is here. What may have run by then is in doubt from now on.
     */
    void left(RequestLife<?> life) {
        gate.ifPresent(
                kept -> post(() -> kept.givenUp(life, life.ordered > life.ended, Time.now())));
    }

    /**
     * Nothing is owed any more. Where no attempt is out, one may still have been ordered that its
     * task will not make: it never ran, and the module must not wait for it.
     */
    void withdrawn(RequestLife<?> life, boolean attemptOut) {
        post(
                () -> {
                    open.remove(life.id);
                    gate.ifPresent(kept -> kept.givenUp(life, attemptOut, Time.now()));
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
        return Micros.of(Time.now());
    }

    private void post(Runnable event) {
        events.add(event);
    }

    private void run() {
        while (!closing) {
            try {
                Timer first = timers.peek();
                Duration wait = first == null ? Mailbox.LONGEST : Time.until(first.due());
                Duration look = gate.isEmpty() ? Mailbox.LONGEST : Time.until(gateLook);
                Optional<Runnable> event = events.poll(look.compareTo(wait) < 0 ? look : wait);
                if (event.isPresent()
                        && !closing) { // it may win against the interrupt that ends the wait
                    event.get().run();
                }
                while (!timers.isEmpty() && Time.until(timers.peek().due()).isZero()) {
                    scheduler.timer(now(), timers.poll().token());
                }
                if (gate.isPresent() && Time.until(gateLook).isZero()) {
                    gateLook = Time.now().plus(GATE_LOOK);
                    gate.get().look(scheduler.views(now()), Time.now());
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
            RequestLife<?> life = open.get(requestId);
            life.ordered++;
            life.node = node;
            life.firstSent = life.firstSent == null ? Time.now() : life.firstSent;
            life.signal(new RequestLife.Send(node, Micros.span(timeoutUs)));
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            RequestLife<?> life = open.get(requestId);
            Duration advice = Micros.span(retryAfterUs);
            finish(
                    requestId,
                    new RequestLife.Refuse(
                            life == null || gate.isEmpty()
                                    ? advice
                                    : gate.get().refused(life, advice, Time.now())));
        }

        @Override
        public void fail(long requestId) {
            finish(requestId, new RequestLife.Fail());
        }

        @Override
        public void cancel(long requestId, int attempt) {
            tell(requestId, new RequestLife.Cancel(attempt));
        }

        @Override
        public void probe(long node) {
            counters.add(Counters.Name.PROBES);
            prober.accept(new Probe(node));
        }

        @Override
        public void timer(long delayUs, long token) {
            timers.add(new Timer(Time.now().plus(Micros.span(delayUs)), ++lastTimer, token));
        }

        @Override
        public void tell(long toRank, byte[] text) {
            throw new UnsupportedOperationException("schedulers have no way to talk to each other");
        }

        @Override
        public void watch(boolean on) {
            // Discovery is always watched.
        }

        private void tell(long requestId, RequestLife.Signal signal) {
            RequestLife<?> life = open.get(requestId);
            if (life != null) {
                life.signal(signal);
            }
        }

        private void finish(long requestId, RequestLife.Signal signal) {
            tell(requestId, signal);
            RequestLife<?> life = open.remove(requestId);
            if (life != null) {
                gate.ifPresent(kept -> kept.givenUp(life, false, Time.now()));
            }
        }
    }
}
