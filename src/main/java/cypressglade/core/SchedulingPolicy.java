package cypressglade.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Every decision of the scheduler; the interface is in Scheduler.java. Belongs to one thread.
 *
 * <p>After A. K. Singh, "Performance Isolation in Cloud Storage Systems" (Waterloo, 2013): queued
 * requests leave for each node by earliest deadline, under a bound on the units in flight that
 * follows the learned speed of the node; what is predicted to miss its target latency is refused on
 * arrival. Exceptions are marked where they are made, and docs/design.md lists their conditions.
 */
public final class SchedulingPolicy implements Scheduler {
    /** Times are in microseconds, rates in units a second. */
    static final double MICROS_PER_SECOND = 1e6;

    // Estimates of a node's speed. The bound on units in flight, the predicted completion times and
    // the averages over all nodes come from them.

    // Minimum weight of the newest sample in an estimate that follows changes quickly.
    static final double MIN_FAST_WEIGHT = 0.2;
    // The same for a node's service time per unit and latency ratio, which are learned slowly.
    private static final double MIN_SLOW_WEIGHT = 0.05;
    private static final double MIN_AVERAGE_WEIGHT = 0.02; // the same for averages over all nodes
    // Time constant of the memory of what the load of others adds to an answer.
    private static final double BACKLOG_MEMORY_MICROS = 500_000;
    static final double PRIOR_ANSWERS = 4; // that an estimate's initial value counts as
    // An answer counts as at most so many times the learned value.
    private static final double MAX_SAMPLE_RATIO = 2;
    // Time constant with which a node that is not heard of drifts to the average of all.
    static final double FORGET_MICROS = 1_000_000;
    // Service time per unit before the first answer.
    private static final double INITIAL_SERVICE_TIME_MICROS = 13_000;
    static final double INITIAL_LATENCY_RATIO = 0.3; // where no answer came lately

    // Predicted completion times and the choice of a node for a new object.

    // How much a request's own units count against those ahead of it.
    private static final double OWN_UNITS_FACTOR = 2;
    // Latency that doesn't depend on units, in mean requests.
    private static final double LATENCY_MEAN_REQUESTS = 0.3;
    private static final double SAME_KEY_WORK_FRACTION = 0.4; // for a key that the node just served
    // Random part in the choice of a node, so that instances don't all choose the same one.
    private static final double PLACEMENT_JITTER_RATIO = 0.03;
    private static final double ERROR_PENALTY_FACTOR = 20; // on the error ratio of a node

    // Admission by worth: requests that earn less per unit get less of the slack (section 4.3 of
    // the thesis refuses greedy requests).

    // Part of the target latency that the requests of the highest worth may take.
    private static final double MAX_SLACK_FRACTION = 0.9;
    private static final double WORTH_EXPONENT = 1.0; // how fast it falls with the worth of a unit
    // Part of the target latency that must be left when a client's retry arrives.
    private static final double MIN_RETRY_FRACTION = 0.15;
    private static final long MIN_RETRY_ADVICE_MICROS = 50_000;

    // Rates of volumes and of the whole demand.

    static final double RATE_MEMORY_MICROS = 1_000_000; // time constant of a volume's rates
    private static final long EXCESS_CHECK_INTERVAL_MICROS = 50_000;
    static final double DEMAND_MEMORY_MICROS = 5_000_000; // time constant of this instance's demand

    // Bounds on attempts in flight and on queues, and background classes.

    // Connections of all instances together to a node, which accepts few; one each at least.
    private static final double MAX_CONNECTIONS = 28;
    // Requests that all instances together may always have in flight at a node.
    private static final double MIN_IN_FLIGHT_REQUESTS = 12;
    private static final int MAX_OVERTAKES = 24; // of one queued request
    // Minimum target latency of a background class, in multiples of the shortest.
    private static final double MIN_BACKGROUND_TARGET_RATIO = 2;
    // Part of its slack in which a background request may leave.
    private static final double BACKGROUND_FRACTION = 0.5;
    // By how much a background request steps back at a time, up to the deadline of its class.
    private static final long BACKGROUND_DEFERRAL_MICROS = 250_000;

    // Probes before a decision.

    // A node of which a sign of life came within this time needs no probe.
    private static final long MIN_FRESH_MICROS = 150_000;
    // That time grows by the square of what a probe costs in mean requests.
    private static final double FRESH_MICROS_PER_SQUARED_COST = 1_500_000_000;
    private static final long MAX_PROBE_WAIT_MICROS = 30_000;
    // Backlog of a node whose probe doesn't come back, in multiples of the wait for it.
    private static final double LOST_PROBE_FACTOR = 4;
    private static final double PROBE_SAMPLE_WEIGHT = 0.7; // of a probe's time in the backlog
    // Name of the figure in a node's load report that counts the requests in its queue.
    private static final String QUEUE_LENGTH_FIGURE = "waiting";

    // Failures of nodes, recognized by their symptoms.

    // Interval between probes of a silent node by the instances in turn.
    private static final long SILENT_PROBE_INTERVAL_MICROS = 62_500;
    private static final long FULL_NODE_PAUSE_MICROS = 30_000; // after a node refused as full

    // Timers.

    private static final long TICK_MICROS = 10_000; // between checks of queues and silent nodes
    private static final long LIST_RETRY_MICROS = 500_000; // before requesting a failed list again
    private static final long TICK_TOKEN = 1, LIST_RETRY_TOKEN = 2;

    Settings settings;
    Limits limits;
    LimitShares limitShares = LimitShares.EVEN;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, TrackedNode> nodes = new LinkedHashMap<>();
    final Map<Integer, TrackedNode> nodesByShard = new TreeMap<>();
    private final Map<Long, PendingRequest> openRequests = new HashMap<>();
    private final TrackedVolumes volumes;
    private final Map<Long, ArrayDeque<PendingRequest>> orderedQueues = new HashMap<>();
    private final Map<Long, Long> keyPausedUntil = new HashMap<>();
    private final FurtherAttemptBudget furtherAttempts = new FurtherAttemptBudget();
    private final RefusedRequests refusedRequests;
    private final SilentAnswers silentAnswers = new SilentAnswers();
    private int minInFlight, maxInFlight;
    private int waitingCount, inFlightCount;
    int answerCount;
    final long createdAt;
    // Averages over all nodes.
    double averageServiceTime = INITIAL_SERVICE_TIME_MICROS;
    double averageLatencyRatio = INITIAL_LATENCY_RATIO;
    private double averageBacklog;
    private double minWorth, maxWorth, maxWorthPerUnit;
    // Mean over the volumes that ask for more than their reserve, by weight; units a second.
    private double meanExcessRate;
    double demandUnits; // units of all requests, with exponential decay
    long averagesUpdatedAt, minTarget;
    private long demandUpdatedAt, excessCheckedAt, freshUs, silentProbeGapUs;
    private final long[] unserved = new long[Reason.values().length];
    private boolean tickScheduled;
    private long tickDueAt;

    /**
     * Creates a policy that knows no nodes yet. {@code nowUs} is in microseconds, by the clock of
     * all later calls; {@code actions} carries out the decisions, from now on.
     */
    public SchedulingPolicy(long nowUs, Settings settings, Actions actions) {
        this(nowUs, settings, actions, MemoryBounds.SIMULATED);
    }

    /** The same, with bounds on what is remembered of requests that are over. */
    public SchedulingPolicy(
            long nowUs, Settings settings, Actions actions, MemoryBounds memoryBounds) {
        this.actions = actions;
        this.refusedRequests = new RefusedRequests(memoryBounds.refusedRequests());
        this.volumes = new TrackedVolumes(this, memoryBounds.volumes());
        this.random = new SplittableRandom(settings.seed());
        this.createdAt = this.demandUpdatedAt = nowUs;
        this.demandUnits = settings.maxUnits(); // a high demand is assumed until it is known
        applySettings(settings);
        if (settings.listOnRequest()) {
            actions.watchNodeList(true);
        }
    }

    @Override
    public void applySettings(Settings next) {
        settings = next;
        limits = next.limits();
        List<RequestClass> classes = settings.classes();
        minTarget = classes.stream().mapToLong(RequestClass::targetLatencyUs).min().orElse(1);
        minWorth = classes.stream().mapToDouble(RequestClass::worth).min().orElse(0);
        maxWorth = classes.stream().mapToDouble(RequestClass::worth).max().orElse(1);
        double maxFactor = settings.plans().stream().mapToDouble(Plan::worthFactor).max().orElse(1);
        maxWorthPerUnit = Math.max(maxWorth * maxFactor, Double.MIN_NORMAL);
        minInFlight = (int) Math.max(1, Math.round(MIN_IN_FLIGHT_REQUESTS / settings.instances()));
        maxInFlight =
                (int)
                        Math.max(
                                1,
                                MAX_CONNECTIONS
                                        / settings.instances()
                                        * limits.streamsPerConnection());
        freshUs =
                Math.max(
                        MIN_FRESH_MICROS,
                        (long) (Math.pow(settings.probeCost(), 2) * FRESH_MICROS_PER_SQUARED_COST));
        silentProbeGapUs = SILENT_PROBE_INTERVAL_MICROS * Math.max(4, settings.instances());
    }

    @Override
    public void applyLimitShares(long now, LimitShares next) {
        volumes.refill(now); // by the share until now
        limitShares = next;
    }

    @Override
    public void updateNodes(long now, ListKind kind, List<NodeEntry> entries) {
        if (kind == ListKind.FAILED) {
            // Comes only after a subscription.
            actions.startTimer(LIST_RETRY_MICROS, LIST_RETRY_TOKEN);
            return;
        }
        if (kind != ListKind.DELTA) {
            nodes.values().forEach(node -> node.ready = false);
        }
        for (NodeEntry entry : entries) {
            nodes.computeIfAbsent(entry.node(), address -> new TrackedNode(this)).update(entry);
        }
        nodesByShard.clear();
        nodes.values().stream()
                .filter(node -> node.ready)
                .forEach(node -> nodesByShard.put(node.shard, node));
        nodes.values().stream().filter(node -> !node.ready).forEach(node -> moveQueued(now, node));
        // Also one that is down: no request is for it.
        nodes.values().removeIf(node -> !node.ready && node.isEmpty());
    }

    @Override
    public void handleRequest(long now, Request request) {
        furtherAttempts.countRequest(now, limits);
        demandUnits =
                demandUnits * Math.exp(-(now - demandUpdatedAt) / DEMAND_MEMORY_MICROS)
                        + request.units();
        demandUpdatedAt = now;
        PendingRequest pending = new PendingRequest(now, request);
        openRequests.put(request.id(), pending);
        if (request.rules().isEmpty()) {
            answerUnserved(now, pending, 0, Reason.UNKNOWN);
            return;
        }
        RequestRules rules = request.rules().get();
        Plan plan = settings.planInForce(rules.plan());
        pending.volume = volumes.of(now, request, plan);
        pending.requestClass = rules.requestClass();
        pending.maxAttempts = rules.maxAttempts();
        pending.background =
                pending.requestClass.effect() == Effect.SAFE
                        && !pending.requestClass.write()
                        && minWorth < maxWorth
                        && pending.requestClass.worth() <= minWorth
                        && pending.requestClass.targetLatencyUs()
                                >= MIN_BACKGROUND_TARGET_RATIO * minTarget;
        pending.targetAt =
                refusedRequests.originalArrival(now, pending)
                        + pending.requestClass.targetLatencyUs();
        pending.deadline = Math.min(pending.targetAt, pending.expiresAt);
        if (pending.requestClass.keepOrder() && request.key() != 0) {
            pending.ordered = true;
            orderedQueues.computeIfAbsent(request.key(), key -> new ArrayDeque<>()).add(pending);
        }
        pending.volume.refill(now);
        pending.volume.lastRequestAt = now;
        pending.worthPerUnit = worthPerUnit(pending);
        admit(now, pending);
        scheduleTick(now);
    }

    @Override
    public void handleOutcome(long now, Outcome outcome) {
        PendingRequest pending = openRequests.get(outcome.requestId());
        SentAttempt attempt = openAttempt(pending, outcome.attempt());
        if (attempt == null) {
            return;
        }
        pending.attempts.set(outcome.attempt(), null);
        TrackedNode node = attempt.node();
        silentAnswers.end(attempt);
        pending.inFlightAttempts--;
        inFlightCount--;
        node.removeAttempt(attempt);
        learnOutcome(now, node, attempt, outcome);
        pending.done |= outcome.requestDone();
        if (pending.done) {
            dequeue(pending); // a further attempt that has not left
        }
        if (outcome.status().mayHaveRun && outcome.status() != Status.OK) {
            pending.mayHaveRun = true;
            if (pending.ordered && outcome.status() != Status.ERROR) {
                keyPausedUntil.values().removeIf(until -> until < now);
                keyPausedUntil.put(
                        pending.request.key(), now + limits.orderedKeyPauseUs()); // may still run
            }
        }
        if (!pending.done && pending.inFlightAttempts == 0 && pending.node == null) {
            attemptAgain(now, pending, node, outcome.status());
        }
        removeIfDone(now, pending);
        dispatch(now, node);
    }

    @Override
    public void handleStreamStart(long now, long id, int attempt, long node, long latencyUs) {
        // Nothing to decide: the outcome comes with the end of the request.
    }

    @Override
    public void handleAnswerSilence(long now, long requestId, int index, boolean isSilent) {
        PendingRequest pending = openRequests.get(requestId);
        SentAttempt attempt = openAttempt(pending, index);
        if (attempt == null) {
            return;
        }
        silentAnswers.end(attempt);
        if (isSilent && !pending.done) {
            silentAnswers.begin(now, attempt, index);
            // Bytes came, so the node lives; what is silent must not use up its bound.
            attempt.node().removeAttempt(attempt);
            dispatch(now, attempt.node());
        }
    }

    private static SentAttempt openAttempt(PendingRequest pending, int index) {
        return pending == null || index >= pending.attempts.size()
                ? null
                : pending.attempts.get(index);
    }

    /** Lets another attempt begin beside a silent one, or closes it so that one may follow. */
    private void decideOnSilence(long now, SilentAnswers.Silence silence) {
        PendingRequest pending = silence.attempt().pending();
        TrackedNode node = silence.attempt().node();
        boolean isFurtherAllowed =
                !pending.done
                        && pending.inFlightAttempts == 1
                        && pending.node == null
                        && pending.isRepeatableAfterRun(now)
                        && mayRepeat(now, pending);
        double freshUs = predictCompletion(now, node, pending, node.unitsAhead(pending));
        RequestRules rules = pending.request.rules().orElseThrow();
        switch (SilentAnswers.decide(
                now,
                silence,
                freshUs,
                isFurtherAllowed && OpenAttempts.allowsHedge(rules),
                isFurtherAllowed && rules.mayCancel())) {
            case HEDGE -> enqueueFurther(now, pending, node);
            case GIVE_UP -> {
                silentAnswers.end(silence.attempt());
                noteAnswer(now, node, true);
                pending.deadline = pending.lastAnswerAt();
                actions.cancel(pending.request.id(), silence.index());
            }
            default -> {}
        }
    }

    @Override
    public void handleWithdrawal(long now, long requestId) {
        PendingRequest pending = openRequests.get(requestId);
        if (pending != null) {
            dequeue(pending);
            pending.done = true; // one that awaits a probe is skipped when it ends
            removeIfDone(now, pending);
        }
    }

    @Override
    public void handleProbe(
            long now, long address, Status status, long latencyUs, LoadFigures load) {
        TrackedNode node = nodes.get(address);
        if (node == null) {
            return;
        }
        node.probedAt = Long.MIN_VALUE;
        if (status == Status.OK) {
            node.trustedUntil = now + freshUs;
            node.down = false;
            node.lastSeenAt = now;
            double queuedUnits = load.figure(QUEUE_LENGTH_FIGURE) * settings.meanUnits();
            double seen = Math.max(latencyUs, queuedUnits * node.serviceTimePerUnit(now));
            node.updateBacklog(
                    now, node.backlog(now) + PROBE_SAMPLE_WEIGHT * (seen - node.backlog(now)));
        }
        node.unconfirmed &= status != Status.OK && !node.down; // an own observation
        admitAwaitingProbe(now, node);
        dispatch(now, node);
    }

    /**
     * Takes other instances' observations of a node from which nothing came back to this instance
     * lately. Until an answer or a probe confirms them they stand in for the node's estimates, and
     * only a few units may be in flight. Handles starts of instances; may cost one probe when an
     * observation is wrong. Of two starts of the node the later one holds, whatever this instance
     * knows of it, as the colder node bears less.
     */
    @Override
    public void handleHint(long now, Hint hint) {
        TrackedNode node = nodes.get(hint.node());
        if (node == null) {
            return;
        }
        node.reportedStartAt = Math.max(node.reportedStartAt, Math.min(now, hint.startedUs()));
        if (node.inFlight.isEmpty()
                && (node.lastSeenAt == Long.MIN_VALUE || now - node.lastSeenAt > FORGET_MICROS)) {
            if (!node.unconfirmed) { // others may have used up this window of a cold node
                node.coldSends.add(new double[] {now, node.coldCapacity(now)});
            }
            node.observedAt = now;
            node.serviceTimePerUnit = hint.serviceTimePerUnitUs();
            node.backlog = hint.backlogUs();
            node.latencyRatio = hint.latencyRatio();
            node.errorRatio = hint.errorRatio();
            node.unconfirmed = true;
            node.down = hint.silent() && limits.mayProbe();
            double weight = Math.max(MIN_AVERAGE_WEIGHT, 1.0 / (++answerCount + PRIOR_ANSWERS));
            averageServiceTime += weight * (node.serviceTimePerUnit - averageServiceTime);
            scheduleTick(now);
        }
    }

    @Override
    public MemoryView memoryView() {
        return new MemoryView(refusedRequests.size(), volumes.size());
    }

    @Override
    public List<NodeView> nodeViews(long now) {
        return nodes.values().stream().map(node -> node.view(now)).toList();
    }

    @Override
    public QueueView queueView(long now) {
        Stream<PendingRequest> waiting =
                nodes.values().stream()
                        .flatMap(
                                node ->
                                        Stream.concat(
                                                node.queue.stream(), node.awaitingProbe.stream()));
        return new QueueView(
                QueueCount.byClass(now, settings.classNames(), waiting), unserved.clone());
    }

    @Override
    public void handleTimer(long now, long token) {
        if (token == LIST_RETRY_TOKEN) {
            actions.watchNodeList(true);
            return;
        }
        tickScheduled = false;
        try {
            tick(now);
        } finally {
            scheduleTick(now);
        }
    }

    private void tick(long now) {
        if (now - excessCheckedAt >= EXCESS_CHECK_INTERVAL_MICROS) {
            excessCheckedAt = now;
            volumes.forgetIdle(now);
            meanExcessRate = volumes.meanExcessRate();
        }
        for (TrackedNode node : nodes.values()) {
            if (node.isIdle()) {
                continue;
            }
            excuseHoldUp(now, node);
            admitWithoutProbe(now, node);
            answerExpired(now, node);
            node.dropLostAttempts(now);
            probeIfSilent(now, node);
            dispatch(now, node);
        }
        silentAnswers.current().forEach(silence -> decideOnSilence(now, silence));
    }

    /** Puts a request into a node's queue, lets it await a probe, or refuses it. */
    private void admit(long now, PendingRequest pending) {
        TrackedNode node =
                pending.request.shard() >= 0
                        ? nodesByShard.get(pending.request.shard())
                        : chooseNode(now, pending);
        if (node != null && node.ready && awaitProbeIfStale(now, node, pending)) {
            return;
        }
        // A late retry with a few milliseconds left would expire in the queue before the next tick.
        double wait =
                Math.max(
                        2 * TICK_MICROS,
                        pending.volume.limitWait(
                                now, pending.volume.pendingUnits + pending.request.units()));
        if (node == null || !isUsable(now, node)) {
            answerUnserved(
                    now,
                    pending,
                    2 * silentProbeGapUs,
                    node == null ? Reason.NO_NODE : Reason.SILENT);
        } else if (pending.targetAt
                < now + MIN_RETRY_FRACTION * pending.requestClass.targetLatencyUs()) {
            // A retry after the original's target earns little, yet costs as much. Handles overload
            // in which clients retry; may reduce what is earned when late answers are worth much.
            answerUnserved(now, pending, 0, Reason.LATE_REPEAT);
        } else if (node.coldCapacity(now) < pending.request.units()) {
            answerUnserved(now, pending, limits.overloadWindowUs(), Reason.COLD);
        } else if (now + wait > pending.deadline) {
            answerUnserved(now, pending, (long) Math.min(wait, Integer.MAX_VALUE), Reason.LIMIT);
        } else if (pending.background || meetsTargets(now, node, pending)) {
            pending.volume.reserveUnits -= pending.request.units() * pending.reservedFraction;
            enqueue(node, pending);
            dispatch(now, node);
        }
    }

    /**
     * Refuses a request that is predicted to miss its target latency, to take capacity that
     * requests of higher worth need, or to delay an accepted request past its own target. Its own
     * work counts against its own target only, as worth is by unit. The slack is a part of the
     * shortest target latency of all classes, the smaller the lower the worth: requests with a long
     * target must not take the capacity that those with a short one need. Returns false if refused.
     */
    private boolean meetsTargets(long now, TrackedNode node, PendingRequest pending) {
        pending.workUnits =
                pending.request.units()
                        * (node.noteKey(pending.request.key()) ? SAME_KEY_WORK_FRACTION : 1);
        double ahead = node.unitsAhead(pending);
        double lateBy = predictCompletion(now, node, pending, ahead) - (pending.targetAt - now);
        double mean =
                node.backlog(now)
                        + effectiveUnits(node.inFlightUnits + ahead, settings.meanUnits())
                                * node.serviceTimePerUnit(now);
        if (lateBy > 0
                || mean
                        > Math.min(
                                slackFraction(now, node, pending.worthPerUnit) * minTarget,
                                pending.targetAt - now)
                || delaysAcceptedRequest(now, node, pending)) {
            answerUnserved(now, pending, (long) lateBy, Reason.CROWDED);
            return false;
        }
        return true;
    }

    /**
     * Probes the node first, while the request waits, if what is known of it is old. One of many
     * instances receives answers of a node so seldom that its estimates are stale. Handles
     * overload, pauses and silence that begin between two requests; costs a probe and its round
     * trip.
     */
    private boolean awaitProbeIfStale(long now, TrackedNode node, PendingRequest pending) {
        boolean fresh =
                now - node.lastSeenAt < freshUs
                        && node.lastSeenAt != Long.MIN_VALUE
                        && isUsable(now, node);
        if (!limits.mayProbe()
                || pending.probeRequested
                || fresh
                || now + 2 * MAX_PROBE_WAIT_MICROS > pending.deadline) {
            return false;
        }
        pending.probeRequested = true;
        node.awaitingProbe.add(pending);
        pending.waitingSince = now;
        waitingCount++;
        if (node.probedAt == Long.MIN_VALUE || now - node.probedAt > silentProbeGapUs) {
            node.probedAt = now;
            actions.probe(node.address);
        }
        return true;
    }

    /**
     * Takes the time by which this tick is late out of the wait for a probe: this process was held
     * up, and a result that came meanwhile may be yet to be handled. A request is excused once, as
     * a process that is late all the time must decide all the same.
     */
    private void excuseHoldUp(long now, TrackedNode node) {
        if (now - tickDueAt <= TICK_MICROS) {
            return;
        }
        for (PendingRequest pending : node.awaitingProbe) {
            if (pending.heldUpUs == 0) {
                pending.heldUpUs = now - Math.max(tickDueAt, pending.waitingSince);
            }
        }
    }

    /** Admits the requests whose probe takes too long, by a backlog that explains it. */
    private void admitWithoutProbe(long now, TrackedNode node) {
        if (node.awaitingProbe.isEmpty()) {
            return;
        }
        long waited = node.awaitingProbe.get(0).awaitedProbeUs(now);
        if (waited >= MAX_PROBE_WAIT_MICROS) {
            node.updateBacklog(now, Math.max(node.backlog(now), LOST_PROBE_FACTOR * waited));
            admitAwaitingProbe(now, node);
        }
    }

    private void admitAwaitingProbe(long now, TrackedNode node) {
        List<PendingRequest> waiting = new ArrayList<>(node.awaitingProbe);
        node.awaitingProbe.clear();
        waitingCount -= waiting.size();
        waiting.stream().filter(pending -> !pending.done).forEach(pending -> admit(now, pending));
    }

    /** Returns the predicted time until completion: units ahead by the speed, plus latency. */
    private double predictCompletion(
            long now, TrackedNode node, PendingRequest pending, double queuedUnits) {
        return node.backlog(now)
                + effectiveUnits(node.inFlightUnits + queuedUnits, pending.workUnits)
                        * node.serviceTimePerUnit(now);
    }

    /**
     * Returns the units that count for a request's completion: those ahead, its own, and some for
     * the latency. Its own count more, as one core serves the request while all cores share the
     * queue, and as others run beside it.
     */
    private double effectiveUnits(double ahead, double own) {
        return Math.max(OWN_UNITS_FACTOR * own, ahead + own)
                + LATENCY_MEAN_REQUESTS * settings.meanUnits();
    }

    /** Whether an accepted request that is worth as much would be delayed past its deadline. */
    private boolean delaysAcceptedRequest(long now, TrackedNode node, PendingRequest pending) {
        double ahead = node.inFlightUnits;
        double serviceTime = node.serviceTimePerUnit(now);
        for (PendingRequest other : node.queue) {
            double alone =
                    now + node.backlog(now) + effectiveUnits(ahead, other.workUnits) * serviceTime;
            ahead += other.workUnits;
            if (other.deadline > pending.deadline
                    && other.worthPerUnit >= pending.worthPerUnit
                    && !other.background
                    && alone <= other.deadline
                    && alone + pending.workUnits * serviceTime > other.deadline) {
                return true;
            }
        }
        return false;
    }

    private TrackedNode chooseNode(long now, PendingRequest pending) {
        TrackedNode best = null;
        double least = Double.MAX_VALUE;
        for (TrackedNode node : nodesByShard.values()) {
            if (isUsable(now, node) && node.coldCapacity(now) >= pending.request.units()) {
                double completion = predictCompletion(now, node, pending, node.unitsAhead(pending));
                completion *=
                        1
                                + PLACEMENT_JITTER_RATIO * random.nextDouble()
                                + ERROR_PENALTY_FACTOR * node.errorRatio;
                if (completion < least) {
                    least = completion;
                    best = node;
                }
            }
        }
        return best;
    }

    /**
     * Returns the part of the target latency that units ahead may take. The later a node answers,
     * the smaller it is for requests of low worth.
     */
    private double slackFraction(long now, TrackedNode node, double worth) {
        return MAX_SLACK_FRACTION * Math.pow(worth, WORTH_EXPONENT * node.latencyRatio(now));
    }

    /**
     * Returns the worth of one unit as a fraction of the highest that any can have, by class, plan,
     * and the volume's reserve and excess. Counts the request into the volume's excess.
     */
    private double worthPerUnit(PendingRequest pending) {
        TrackedVolume volume = pending.volume;
        double units = pending.request.units();
        double reserved = Math.min(1, Math.max(0, volume.reserveUnits / units));
        double beyond = settings.fairWorth();
        double excess = volume.excessByWeight();
        if (excess > meanExcessRate && meanExcessRate > 0) {
            beyond = Math.max(settings.spareWorth(), beyond * meanExcessRate / excess);
        }
        pending.reservedFraction = reserved;
        volume.excessRate += units * (1 - reserved) * MICROS_PER_SECOND / RATE_MEMORY_MICROS;
        double worth =
                (reserved + (1 - reserved) * beyond)
                        * pending.requestClass.worth()
                        * volume.plan.worthFactor();
        return worth / maxWorthPerUnit;
    }

    private void enqueue(TrackedNode node, PendingRequest pending) {
        int at = node.queue.size();
        while (at > 0
                && node.queue.get(at - 1).deadline > pending.deadline
                && node.queue.get(at - 1).overtakenCount < MAX_OVERTAKES) {
            at--;
            node.queue.get(at).overtakenCount++;
        }
        node.queue.add(at, pending);
        pending.node = node;
        pending.volume.pendingUnits += pending.attempts.isEmpty() ? pending.request.units() : 0;
        waitingCount++;
    }

    private void dequeue(PendingRequest pending) {
        if (pending.node != null) {
            pending.node.queue.remove(pending);
            pending.node = null;
            pending.volume.pendingUnits -= pending.attempts.isEmpty() ? pending.request.units() : 0;
            waitingCount--;
        }
    }

    private void dispatch(long now, TrackedNode node) {
        int i = 0;
        while (i < node.queue.size() && node.ready && now >= node.pausedUntil) {
            PendingRequest pending = node.queue.get(i);
            if (!mayLeave(now, pending) || node.coldCapacity(now) < pending.request.units()) {
                i++;
            } else if (!pending.attempts.isEmpty() && !mayAttemptFurther(now, pending)) {
                answerUnserved(
                        now,
                        pending,
                        FULL_NODE_PAUSE_MICROS,
                        Reason.BUDGET); // was left when this was queued
            } else if (!pending.background || !deferBackground(node, pending, i)) {
                // What is in flight at a silent node is lost or stuck and must not block requests
                // that a good probe allows.
                if (!isUsable(now, node)
                        || !isSilent(now, node) && !hasCapacity(now, node, pending)) {
                    return;
                }
                dequeue(pending);
                sendAttempt(now, node, pending);
            }
        }
    }

    /**
     * Moves a background request behind others that wait, never past its class deadline. Returns
     * whether its place in the queue changed.
     */
    private boolean deferBackground(TrackedNode node, PendingRequest pending, int at) {
        long last = pending.lastAnswerAt();
        if (pending.deadline >= last
                || at + 1 >= node.queue.size()
                || node.queue.get(at + 1).background) {
            return false;
        }
        pending.deadline = Math.min(last, pending.deadline + BACKGROUND_DEFERRAL_MICROS);
        node.queue.remove(at);
        int to = at;
        while (to < node.queue.size() && node.queue.get(to).deadline <= pending.deadline) {
            to++;
        }
        node.queue.add(to, pending);
        return to != at;
    }

    /** Whether the node may get more in flight; background only while it answers quickly. */
    private boolean hasCapacity(long now, TrackedNode node, PendingRequest pending) {
        if (pending.background) {
            double expectedUs =
                    node.backlog(now)
                            + (node.inFlightUnits + settings.meanUnits())
                                    * node.serviceTimePerUnit(now);
            return expectedUs
                            <= BACKGROUND_FRACTION
                                    * slackFraction(now, node, pending.worthPerUnit)
                                    * minTarget
                    && node.inFlight.size() < maxInFlight;
        }
        return node.inFlight.size() < (node.unconfirmed ? 1 : minInFlight)
                || node.inFlight.size() < maxInFlight
                        && node.inFlightUnits + pending.workUnits <= node.maxInFlightUnits(now);
    }

    /** Whether the volume's limit and the order of its key allow the request to leave now. */
    private boolean mayLeave(long now, PendingRequest pending) {
        long key = pending.request.key();
        boolean turn =
                !pending.ordered
                        || orderedQueues.get(key).peek() == pending
                                && (!pending.attempts.isEmpty()
                                        || now >= keyPausedUntil.getOrDefault(key, Long.MIN_VALUE));
        return turn
                && (!pending.attempts.isEmpty()
                        || pending.volume.limitWait(now, pending.request.units()) <= 0);
    }

    private void sendAttempt(long now, TrackedNode node, PendingRequest pending) {
        if (pending.attempts.isEmpty()) {
            pending.firstSentAt = now;
            pending.volume.limitUnits -= pending.request.units();
        } else {
            furtherAttempts.countFurther(now, limits);
        }
        SentAttempt attempt =
                new SentAttempt(
                        now,
                        node,
                        pending,
                        effectiveUnits(node.inFlightUnits, pending.workUnits),
                        predictCompletion(now, node, pending, 0));
        pending.attempts.add(attempt);
        pending.inFlightAttempts++;
        inFlightCount++;
        node.inFlight.add(attempt);
        node.inFlightUnits += pending.workUnits;
        node.coldSends.add(new double[] {now, pending.request.units()});
        actions.send(pending.request.id(), node.address, 0);
    }

    /** Queues a further attempt after a failed one, where allowed and in time, or answers. */
    private void attemptAgain(long now, PendingRequest pending, TrackedNode node, Status status) {
        boolean mayFollow = status != Status.TIMEOUT && status != Status.MOOT;
        if (!mayFollow || !mayRepeat(now, pending) || !enqueueFurther(now, pending, node)) {
            answerUnserved(now, pending, FULL_NODE_PAUSE_MICROS, Reason.ATTEMPT_FAILED);
        }
    }

    private boolean mayRepeat(long now, PendingRequest pending) {
        return pending.attempts.size() < Math.min(pending.maxAttempts, limits.maxAttempts())
                && mayAttemptFurther(now, pending);
    }

    /** Queues a further attempt if it can be answered in time; returns whether it did. */
    private boolean enqueueFurther(long now, PendingRequest pending, TrackedNode node) {
        TrackedNode next =
                pending.request.shard() < 0 && !pending.mayHaveRun
                        ? chooseNode(now, pending)
                        : node;
        if (next == null
                || !isUsable(now, next)
                || now + predictCompletion(now, next, pending, next.unitsAhead(pending))
                        > pending.deadline) {
            return false;
        }
        enqueue(next, pending);
        dispatch(now, next);
        return true;
    }

    /**
     * Whether the class and the budget of further attempts allow one more. To be checked again when
     * a queued one leaves, as the budget window has moved by then.
     */
    private boolean mayAttemptFurther(long now, PendingRequest pending) {
        return pending.isRepeatable(now)
                && furtherAttempts.allowsOneMore(now, limits, settings.tickUs());
    }

    /** Gives the final answer: refused where that is allowed, failed where it may have run. */
    private void answerUnserved(long now, PendingRequest pending, long adviceUs, Reason reason) {
        if (pending.inFlightAttempts > 0) {
            dequeue(pending); // the attempt that is out decides
            return;
        }
        unserved[reason.ordinal()]++;
        dequeue(pending);
        pending.done = true;
        if (pending.mayBeRefused()) {
            long advice =
                    Math.min(Math.max(adviceUs, MIN_RETRY_ADVICE_MICROS), limits.maxRetryAfterUs());
            actions.refuse(pending.request.id(), limits.mayAdviseRetry() ? advice : 0);
        } else {
            actions.fail(pending.request.id());
        }
        refusedRequests.add(now, pending);
        removeIfDone(now, pending);
    }

    private void removeIfDone(long now, PendingRequest pending) {
        if (pending.done && pending.inFlightAttempts == 0) {
            openRequests.remove(pending.request.id());
            if (pending.ordered) {
                orderedQueues.computeIfPresent(
                        pending.request.key(),
                        (key, turn) -> turn.remove(pending) && turn.isEmpty() ? null : turn);
            }
        }
    }

    private void learnOutcome(long now, TrackedNode node, SentAttempt attempt, Outcome outcome) {
        if (outcome.volumeUse() > 0) {
            attempt.pending().volume.learnServedRate(outcome.volumeUse() - 1);
        }
        switch (outcome.status()) {
            case OK -> {
                noteAnswer(now, node, false);
                attempt.pending().volume.servedHereRate +=
                        attempt.pending().request.units() / RATE_MEMORY_MICROS * MICROS_PER_SECOND;
                learnSpeed(now, node, attempt, outcome.latencyUs());
            }
            case ERROR -> noteAnswer(now, node, true);
            case TIMEOUT -> {
                // If only answers in time counted, clients with short deadlines would make an
                // overloaded node look fast. A hang shows as silence and says nothing on speed.
                if (outcome.latencyUs() > attempt.expectedUs()
                        && outcome.latencyUs() < TrackedNode.MIN_SILENCE_MICROS) {
                    learnSpeed(now, node, attempt, outcome.latencyUs());
                }
            }
            case FULL -> node.pausedUntil = now + FULL_NODE_PAUSE_MICROS;
            case CONNECT_FAILED, RESET -> {
                // One reset may concern its connection only, a second with no answer between not.
                node.down =
                        outcome.status() == Status.CONNECT_FAILED || node.resetAt > node.answeredAt;
                node.resetAt = now;
            }
            default -> {}
        }
    }

    /**
     * Splits an answer's latency into what its units explain (the service time, learned slowly) and
     * the rest, which comes from the load of other instances, pauses and deferred work of the node
     * (the backlog, learned fast and by time).
     */
    private void learnSpeed(long now, TrackedNode node, SentAttempt attempt, long latencyUs) {
        double serviceTime = node.serviceTimePerUnit(now);
        double backlog = node.backlog(now);
        double error = latencyUs - backlog - attempt.effectiveUnits() * serviceTime;
        double passed =
                node.observedAt == Long.MIN_VALUE ? Double.MAX_VALUE : now - node.observedAt;
        double newest = 1 - (1 - MIN_FAST_WEIGHT) * Math.exp(-passed / BACKLOG_MEMORY_MICROS);
        node.backlog = Math.max(0, backlog + newest * error);
        double own = attempt.effectiveUnits() * serviceTime;
        double ownError = error > 0 ? Math.min(error, own) : Math.min(0, latencyUs - own);
        double step =
                Math.max(MIN_SLOW_WEIGHT, 1.0 / (++node.answerCount + PRIOR_ANSWERS))
                        * ownError
                        / attempt.effectiveUnits();
        node.serviceTimePerUnit =
                Math.max(
                        serviceTime / MAX_SAMPLE_RATIO,
                        serviceTime + Math.min(step, (MAX_SAMPLE_RATIO - 1) * serviceTime));
        double weight = Math.max(MIN_AVERAGE_WEIGHT, 1.0 / (++answerCount + PRIOR_ANSWERS));
        averageBacklog = averageBacklog(now) + weight * (node.backlog - averageBacklog(now));
        averagesUpdatedAt = now;
        averageServiceTime +=
                weight * (node.serviceTimePerUnit * node.warmth(now) - averageServiceTime);
        double latencyRatio =
                Math.min(
                        MAX_SAMPLE_RATIO,
                        (double) (now - attempt.pending().arrivedAt)
                                / attempt.pending().requestClass.targetLatencyUs());
        double known = node.latencyRatio(now);
        node.latencyRatio =
                known
                        + Math.max(MIN_SLOW_WEIGHT, 1.0 / (node.answerCount + PRIOR_ANSWERS))
                                * (latencyRatio - known);
        averageLatencyRatio += weight * (latencyRatio - averageLatencyRatio);
        node.observedAt = now;
    }

    double averageBacklog(long now) {
        return averageBacklog * Math.exp(-(now - averagesUpdatedAt) / FORGET_MICROS);
    }

    /**
     * Ends a silence, and counts errors. Errors come back fast and are not learned from as speed: a
     * node that fails everything would look the fastest and get all new objects. Their ratio counts
     * against the node instead. Handles nodes with a broken disk or a bad release; may reduce
     * throughput when a single class fails.
     */
    private void noteAnswer(long now, TrackedNode node, boolean error) {
        node.answeredAt = node.lastSeenAt = now;
        node.down = node.unconfirmed = false;
        node.errorRatio += MIN_FAST_WEIGHT * ((error ? 1 : 0) - node.errorRatio);
    }

    private boolean isUsable(long now, TrackedNode node) {
        return node.ready && (!node.down && now < node.trustedUntil || !isSilent(now, node));
    }

    /**
     * Whether nothing comes back: connections fail, or units are in flight and there was no answer
     * for long. The node is down, hangs, is cut off, or is far slower than it was, and further
     * attempts would only be lost. May stop requests while one expensive request fills the node; a
     * probe ends that.
     */
    boolean isSilent(long now, TrackedNode node) {
        SentAttempt oldest = node.inFlight.peek();
        return node.down
                || oldest != null
                        && TrackedNode.isOverdue(
                                now, oldest, Math.max(oldest.sentAt(), node.answeredAt));
    }

    private void probeIfSilent(long now, TrackedNode node) {
        if (node.ready && now - node.silenceProbedAt >= silentProbeGapUs && isSilent(now, node)) {
            node.silenceProbedAt = now;
            node.trustedUntil = limits.mayProbe() ? node.trustedUntil : now + MIN_FRESH_MICROS;
            // Without probes a request tests the node: a reset must not exclude it for good.
            node.down &= limits.mayProbe();
            if (limits.mayProbe()) {
                actions.probe(node.address);
            }
        }
    }

    /** Answers queued requests that can no longer be served in time. */
    private void answerExpired(long now, TrackedNode node) {
        for (PendingRequest pending : List.copyOf(node.queue)) {
            double need =
                    node.backlog(now)
                            + effectiveUnits(0, pending.workUnits) * node.serviceTimePerUnit(now);
            if (now + Math.max(2 * TICK_MICROS, need) > pending.deadline) {
                answerUnserved(now, pending, MIN_RETRY_ADVICE_MICROS, Reason.EXPIRED);
            }
        }
    }

    /** Moves requests from the queue of a node that drains or is gone, or answers them. */
    private void moveQueued(long now, TrackedNode node) {
        for (PendingRequest pending : new ArrayList<>(node.queue)) {
            dequeue(pending);
            if (pending.attempts.isEmpty()) {
                admit(now, pending);
            } else {
                attemptAgain(now, pending, node, Status.CONNECT_FAILED);
            }
        }
    }

    private void scheduleTick(long now) {
        if (!tickScheduled
                && (waitingCount + inFlightCount > 0
                        || nodes.values().stream().anyMatch(node -> node.ready && node.down))) {
            tickScheduled = true;
            tickDueAt = now + TICK_MICROS;
            actions.startTimer(TICK_MICROS, TICK_TOKEN);
        }
    }
}
