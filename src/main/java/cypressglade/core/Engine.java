package cypressglade.core;

import cypressglade.core.Counters.Gauge;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.NodeLink.ResponseMetadata;
import cypressglade.core.Scheduler.Actions;
import cypressglade.core.Scheduler.Hint;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.QueueView;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.Status;
import cypressglade.storm.OtherProcesses;
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
 * Runs the scheduling policy on one thread, which owns the policy, its timers, the table of open
 * requests and the retry storm filter. The public methods are safe for use by several threads: they
 * post events to that thread and return at once. The policy's orders are signaled to the tasks of
 * the requests. The engine itself makes no scheduling decisions.
 */
public final class Engine implements AutoCloseable {
    private static final Duration STORM_CHECK_INTERVAL = Duration.ofMillis(100);
    private static final System.Logger LOG = System.getLogger(Engine.class.getName());

    private final Mailbox<Runnable> events = new Mailbox<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparing(Timer::number));
    private final Map<Long, RequestTask<?>> open = new HashMap<>();
    private final NodeDirectory directory;
    private final Counters counters;
    private final Scheduler scheduler;
    private final Duration coldWindow;
    private final Optional<StormSettings> stormSettings;
    private final Optional<RetryStormFilter> stormFilter;
    private Instant nextStormCheck = Instant.MAX;
    private boolean isAttemptBudgetActive;
    private Settings settings;
    private InstancePosition position = new InstancePosition(0, 0);
    private final DemandTracker demand = new DemandTracker();
    private final RequestLog log = new RequestLog();
    private Optional<LimitAllocation> allocation = Optional.empty();

    /** Processes that serve as this instance at once: two during an upgrade, one otherwise. */
    private int processes = 1;

    private final Thread thread = new Thread(this::run, "engine");
    private Consumer<Probe> prober =
            probe -> probe.ended(AttemptResult.withoutResponse(Status.CONNECT_FAILED));
    private long lastId;
    private long lastTimer;
    private volatile boolean isClosing;

    /**
     * This instance's rank among the instances that peers report; 0 of 0 where none report any, so
     * that the settings hold.
     */
    private record InstancePosition(int rank, int instances) {
        /**
         * The settings for this position. Never gives a larger share than the configured number of
         * instances does, because a limit must hold even where peers are missed.
         */
        Settings apply(Settings configured) {
            return instances <= configured.instances()
                    ? configured
                    : configured.forInstance(rank, instances);
        }
    }

    /**
     * This instance's shares, 0 to 1, of the limits that all instances keep together.
     *
     * @param shareByVolume shares of the rate limits of volumes
     * @param shareByColdNode shares of what cold nodes may be sent, by generation of the node
     * @param otherVolumesShare for volumes that are not named
     * @param otherColdNodesShare for cold nodes that are not named
     * @param minShare the share of everything from {@code validUntil} on
     * @param validUntil by {@link MonotonicClock}
     */
    public record LimitAllocation(
            Map<Long, Double> shareByVolume,
            Map<DemandTracker.ColdNode, Double> shareByColdNode,
            double otherVolumesShare,
            double otherColdNodesShare,
            double minShare,
            Instant validUntil) {}

    private record Timer(Instant due, long number, long token) {}

    /** A probe that the policy ordered; its end is reported exactly once. */
    private final class Probe {
        private final long node;
        private final Instant sent = MonotonicClock.now();

        private Probe(long node) {
            this.node = node;
        }

        private void ended(AttemptResult result) {
            long latency = Micros.of(Duration.between(sent, MonotonicClock.now()));
            post(
                    () ->
                            scheduler.handleProbe(
                                    now(),
                                    node,
                                    result.status(),
                                    latency,
                                    result.metadata().load()));
        }
    }

    /** Creates an engine that takes no measures against storms of client retries. */
    public Engine(Settings settings, NodeDirectory directory, Counters counters) {
        this(settings, directory, counters, Optional.empty(), MemoryBounds.SIMULATED);
    }

    /**
     * Creates an engine; {@link #start} starts its thread.
     *
     * @param stormSettings the measures against storms of client retries; empty turns them off
     * @param memoryBounds how much is remembered of requests that are over
     */
    public Engine(
            Settings settings,
            NodeDirectory directory,
            Counters counters,
            Optional<StormSettings> stormSettings,
            MemoryBounds memoryBounds) {
        this.directory = directory;
        this.counters = counters;
        this.settings = settings;
        this.coldWindow = Micros.toDuration(settings.limits().overloadWindowUs());
        this.stormSettings = stormSettings;
        this.stormFilter =
                stormSettings.map(
                        presentSettings ->
                                new RetryStormFilter(
                                        presentSettings,
                                        memoryBounds.storms(),
                                        settings,
                                        coldWindow,
                                        counters,
                                        MonotonicClock.now()));
        this.scheduler = new SchedulingPolicy(now(), settings, new Orders(), memoryBounds);
        thread.setDaemon(true);
    }

    /** The log in which fronts and tasks record why requests ended as they did. */
    public RequestLog requestLog() {
        return log;
    }

    /**
     * Starts the thread.
     *
     * @param links gives the link by which a node is probed, by the node's number
     */
    public void start(LongFunction<NodeLink<?>> links) {
        prober = probe -> links.apply(probe.node).probe(probe.node, probe::ended);
        stormFilter.ifPresent(any -> nextStormCheck = MonotonicClock.now());
        thread.start();
    }

    /**
     * Shares the writes that could come again with the other processes of this instance, where the
     * measures against storms are on. To be called before {@link #start} and before the listeners
     * open.
     *
     * @param others is asked on the engine thread
     */
    public void shareWrites(OtherProcesses others) {
        // On the caller's thread, as the engine thread, which owns the filter, has not started.
        stormFilter.ifPresent(filter -> filter.shareWrites(others));
    }

    /**
     * Hands the writes that could come again, serialized for another process of this instance, to
     * {@code reader} on the engine thread. Does nothing where the measures against storms are off.
     */
    public void readWrites(Consumer<byte[]> reader) {
        stormFilter.ifPresent(
                filter -> post(() -> reader.accept(filter.writes(MonotonicClock.now()))));
    }

    /** Takes new settings; open requests keep what they were given under the previous ones. */
    public void applySettings(Settings next) {
        post(
                () -> {
                    settings = next;
                    stormFilter.ifPresent(filter -> filter.applySettings(next));
                    scheduler.applySettings(effectiveSettings());
                });
    }

    /** Sets this instance's rank among the instances that share the configured limits. */
    public void setInstances(int rank, int instances) {
        post(
                () -> {
                    position = new InstancePosition(rank, instances);
                    scheduler.applySettings(effectiveSettings());
                });
    }

    /**
     * Sets how many processes serve as this instance at once, as during an upgrade. Each takes an
     * equal share of the instance's limits on volumes and cold nodes, so that together they keep to
     * them. Counts below 1 are taken as 1.
     */
    public void setProcessCount(int count) {
        post(
                () -> {
                    if (processes != Math.max(1, count)) {
                        processes = Math.max(1, count);
                        scheduler.applySettings(effectiveSettings());
                        reapplyAllocation();
                    }
                });
    }

    /** Hands the demand since the previous call to {@code reader} on the engine thread. */
    public void takeDemand(Consumer<DemandTracker.Demand> reader) {
        post(
                () ->
                        reader.accept(
                                demand.takeDemand(directory.statuses(scheduler.nodeViews(now())))));
    }

    /** Takes the shares of the limits that hold from now on, in place of even shares. */
    public void applyAllocation(LimitAllocation next) {
        post(
                () -> {
                    allocation = Optional.of(next);
                    reapplyAllocation();
                });
    }

    private void reapplyAllocation() {
        allocation.ifPresent(this::passAllocation);
    }

    private void passAllocation(LimitAllocation current) {
        Map<Long, Double> shareByNode = new HashMap<>();
        directory.statuses(scheduler.nodeViews(now())).stream()
                .filter(status -> DemandTracker.isCold(status.view()))
                .forEach(
                        status ->
                                shareByNode.put(
                                        status.view().node(), coldNodeShare(current, status)));
        scheduler.applyLimitShares(
                now(),
                new Scheduler.LimitShares(
                                current.shareByVolume(),
                                shareByNode,
                                current.otherVolumesShare(),
                                current.minShare(),
                                Micros.of(current.validUntil()))
                        .dividedAmong(processes));
    }

    private static double coldNodeShare(LimitAllocation current, NodeStatus status) {
        return current.shareByColdNode()
                .getOrDefault(DemandTracker.coldNode(status), current.otherColdNodesShare());
    }

    /**
     * How long a request that was sent to a cold node counts against the node's limit, by the
     * settings at the start.
     */
    public Duration coldWindow() {
        return coldWindow;
    }

    private Settings effectiveSettings() {
        Settings shared =
                isAttemptBudgetActive
                        ? RetryStormFilter.withAttemptBudget(
                                position.apply(settings), stormSettings.orElseThrow())
                        : position.apply(settings);
        return processes == 1
                ? shared
                : shared.forInstance(shared.rank(), shared.instances() * processes);
    }

    /**
     * Hands the state of the nodes that the policy knows to {@code reader} on the engine thread.
     * Costs the engine one pass over the nodes.
     */
    public void readNodes(Consumer<List<NodeStatus>> reader) {
        post(() -> reader.accept(directory.statuses(scheduler.nodeViews(now()))));
    }

    /**
     * Hands the state of all listed nodes and of the queues, both at the same moment, to {@code
     * reader} on the engine thread.
     */
    public void readStatus(BiConsumer<List<NodeStatus>, QueueView> reader) {
        post(
                () ->
                        reader.accept(
                                directory.allStatuses(scheduler.nodeViews(now())),
                                scheduler.queueView(now())));
    }

    /**
     * Passes on what other instances know of a node; ignored where the node is not in the list.
     *
     * @param id id of the node
     * @param hint makes the hint out of the node's number
     */
    public void hint(String id, LongFunction<Hint> hint) {
        post(
                () ->
                        directory
                                .numberOf(id)
                                .ifPresent(node -> scheduler.handleHint(now(), hint.apply(node))));
    }

    /** Applies a node list, or a change to it, that discovery reported; links see it at once. */
    public void updateNodes(NodeList list) {
        var entries = directory.update(list);
        post(
                () -> {
                    scheduler.updateNodes(now(), NodeDirectory.listKind(list), entries);
                    // A node that has restarted is another cold node.
                    reapplyAllocation();
                    // Counted last: whoever waits for the count finds the policy up to date.
                    counters.add(Counters.Name.LISTS);
                });
    }

    void submit(RequestTask<?> task, IoRequest request) {
        post(
                () -> {
                    if (stormFilter.isPresent()
                            && stormFilter.get().tryReject(task, request, MonotonicClock.now())) {
                        updateAttemptBudget();
                        return;
                    }
                    task.id = ++lastId;
                    open.put(task.id, task);
                    Scheduler.Request submitted = request.toSchedulerRequest(task.id, processes);
                    Plan plan = settings.planInForce(request.rules().plan());
                    demand.add(submitted, plan.limitRate() > 0);
                    scheduler.handleRequest(now(), submitted);
                    countHeld();
                });
    }

    private void countHeld() {
        Scheduler.MemoryView held = scheduler.memoryView();
        counters.set(Gauge.REFUSALS_REMEMBERED, held.refusedRequests());
        counters.set(Gauge.VOLUMES_KNOWN, held.volumes());
        stormFilter.ifPresent(RetryStormFilter::countHeld);
    }

    /** Turns the budget of further attempts on or off as the storm detector's state asks for. */
    private void updateAttemptBudget() {
        boolean next = stormFilter.filter(RetryStormFilter::isAttemptBudgetActive).isPresent();
        if (next != isAttemptBudgetActive) {
            isAttemptBudgetActive = next;
            scheduler.applySettings(effectiveSettings());
        }
    }

    /**
     * Reports how an attempt ended.
     *
     * @param attempt the attempt's number, from 0
     * @param isOver whether the request has ended; its task makes no further attempts then
     * @param stillOpen how many other attempts of the request are out
     */
    void attemptEnded(
            RequestTask<?> task,
            int attempt,
            long node,
            AttemptResult result,
            Duration latency,
            boolean isOver,
            int stillOpen) {
        Status status = result.status();
        ResponseMetadata metadata = result.metadata();
        post(
                () -> {
                    task.endedAttempts++;
                    task.mayHaveRun |= status.mayHaveRun;
                    if (isOver && !task.isServed) {
                        open.remove(task.id);
                        if (status == Status.OK) {
                            task.isServed = true;
                            stormFilter.ifPresent(
                                    filter -> filter.served(task, MonotonicClock.now()));
                        }
                    }
                    task.isOver |= isOver;
                    scheduler.handleOutcome(
                            now(),
                            new Outcome(
                                    task.id,
                                    attempt,
                                    node,
                                    status,
                                    Micros.of(latency),
                                    isOver,
                                    metadata.usePercentPlusOne(),
                                    metadata.unitsByOthers()));
                    if (isOver) {
                        endUnmade(task, stillOpen);
                    }
                    endWriteIfOver(task);
                });
    }

    /** Reports that the client of a request has read the answer that served it. */
    void answerRead(AnswerReceipt receipt) {
        stormFilter.ifPresent(filter -> post(() -> filter.answerRead(receipt)));
    }

    /** Reports that the ends of attempts will not be reported, as their task has failed. */
    void attemptsLost(RequestTask<?> task) {
        post(() -> task.mayHaveRun = true);
    }

    /** A write stays open until it is over and each attempt that was ordered has ended. */
    private void endWriteIfOver(RequestTask<?> task) {
        if (task.isOver && task.orderedAttempts <= task.endedAttempts) {
            stormFilter.ifPresent(filter -> filter.ended(task, MonotonicClock.now()));
        }
    }

    /** Reports attempts that were ordered and that a request which has ended will not make. */
    private void endUnmade(RequestTask<?> task, int stillOpen) {
        while (task.orderedAttempts > task.endedAttempts + stillOpen) {
            int attempt = task.endedAttempts + stillOpen;
            task.endedAttempts++;
            scheduler.handleOutcome(
                    now(), new Outcome(task.id, attempt, task.node, Status.MOOT, 0, true, 0, 0));
        }
    }

    /** Reports that an answer which has begun is silent, or goes on after a silence. */
    void answerSilenceChanged(RequestTask<?> task, int attempt, boolean isSilent) {
        post(() -> scheduler.handleAnswerSilence(now(), task.id, attempt, isSilent));
    }

    /**
     * Ends a request that is owed no answer any more. Without an attempt in flight, one may still
     * have been ordered that its task will not make: it is reported as never run, so that the
     * policy does not wait for it.
     */
    void withdraw(RequestTask<?> task, boolean isInFlight) {
        post(
                () -> {
                    open.remove(task.id);
                    task.isOver = true;
                    scheduler.handleWithdrawal(now(), task.id);
                    if (!isInFlight) {
                        endUnmade(task, 0);
                    }
                    endWriteIfOver(task);
                });
    }

    private static long now() {
        return Micros.of(MonotonicClock.now());
    }

    private void post(Runnable event) {
        events.add(event);
    }

    private void run() {
        while (!isClosing) {
            try {
                Timer first = timers.peek();
                Duration untilTimer =
                        first == null ? Mailbox.MAX_WAIT : MonotonicClock.until(first.due());
                Duration untilCheck =
                        stormFilter.isEmpty()
                                ? Mailbox.MAX_WAIT
                                : MonotonicClock.until(nextStormCheck);
                Optional<Runnable> event =
                        events.poll(untilCheck.compareTo(untilTimer) < 0 ? untilCheck : untilTimer);
                // The event may win against the interrupt by which close() ends the wait.
                if (event.isPresent() && !isClosing) {
                    event.get().run();
                }
                while (!timers.isEmpty() && MonotonicClock.until(timers.peek().due()).isZero()) {
                    scheduler.handleTimer(now(), timers.poll().token());
                }
                if (stormFilter.isPresent() && MonotonicClock.until(nextStormCheck).isZero()) {
                    nextStormCheck = MonotonicClock.now().plus(STORM_CHECK_INTERVAL);
                    stormFilter.get().update(scheduler.nodeViews(now()), MonotonicClock.now());
                    updateAttemptBudget();
                }
            } catch (InterruptedException interrupted) {
                return;
            } catch (RuntimeException failure) {
                // A fault in one event must not cost other requests their answers; the request of
                // this event is still answered by its deadline.
                counters.add(Counters.Name.MODULE_FAULTS);
                LOG.log(System.Logger.Level.ERROR, "the scheduling policy failed", failure);
            }
        }
    }

    @Override
    public void close() {
        isClosing = true;
        thread.interrupt();
    }

    /** Carries out the policy's orders, on the engine thread. */
    private final class Orders implements Actions {
        @Override
        public void send(long requestId, long node, long timeoutUs) {
            RequestTask<?> task = open.get(requestId);
            task.orderedAttempts++;
            task.node = node;
            stormFilter.ifPresent(filter -> filter.sent(task, MonotonicClock.now()));
            task.signal(new RequestTask.Send(node, Micros.toDuration(timeoutUs)));
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            RequestTask<?> task = open.get(requestId);
            Duration advice = Micros.toDuration(retryAfterUs);
            finish(
                    requestId,
                    new RequestTask.Refuse(
                            task == null || stormFilter.isEmpty()
                                    ? advice
                                    : stormFilter
                                            .get()
                                            .refused(task, advice, MonotonicClock.now())));
        }

        @Override
        public void fail(long requestId) {
            finish(requestId, new RequestTask.Fail());
        }

        @Override
        public void cancel(long requestId, int attempt) {
            signal(requestId, new RequestTask.Cancel(attempt));
        }

        @Override
        public void probe(long node) {
            counters.add(Counters.Name.PROBES);
            prober.accept(new Probe(node));
        }

        @Override
        public void startTimer(long delayUs, long token) {
            timers.add(
                    new Timer(
                            MonotonicClock.now().plus(Micros.toDuration(delayUs)),
                            ++lastTimer,
                            token));
        }

        @Override
        public void sendToPeer(long toRank, byte[] text) {
            throw new UnsupportedOperationException("no channel to other schedulers");
        }

        @Override
        public void watchNodeList(boolean on) {
            // Discovery is always watched.
        }

        private void signal(long requestId, RequestTask.Signal signal) {
            RequestTask<?> task = open.get(requestId);
            if (task != null) {
                task.signal(signal);
            }
        }

        private void finish(long requestId, RequestTask.Signal signal) {
            signal(requestId, signal);
            RequestTask<?> task = open.remove(requestId);
            if (task != null) {
                task.isOver = true;
                endWriteIfOver(task);
            }
        }
    }
}
