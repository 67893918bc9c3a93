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
 * Every decision of cypressglade; the interface is in Scheduler.java. After A. K. Singh,
 * "Performance Isolation in Cloud Storage Systems" (Waterloo, 2013): per node, held requests leave
 * by earliest deadline under a bound on the units out that follows the node's learned speed; what
 * is predicted to miss is refused on arrival. Exceptions are marked where they stand and their
 * conditions are listed in docs/design.md.
 */
public final class SchedulingPolicy implements Scheduler {
    static final double US = 1e6; // microseconds in a second

    // The ordinary path.
    static final double SMOOTHING = 0.2; // least weight of the newest answer
    private static final double SLOW_SMOOTHING = 0.05; // the same for a node's pace and strain
    // Memory of what others' load adds to an answer.
    private static final double MEMORY_US = 500_000;
    private static final double AVERAGE_SMOOTHING = 0.02; // the same for the average over all nodes
    static final double FIRST_ANSWERS = 4; // answers that the value at the start counts as
    // What was heard of a node within this needs no probe.
    private static final long FRESH_US = 150_000;
    // The same by the square of a probe's price.
    private static final double PRICE_US = 1_500_000_000;
    private static final long ASK_WAIT_US = 30_000; // longest wait for a probe before a decision
    // Backlog if no probe comes back, in waits for it.
    private static final double NO_ANSWER_TIMES = 4;
    private static final double PROBE_TRUST = 0.7; // weight of a probe's time in the backlog
    // An answer counts as at most so many times what is learned.
    private static final double SAMPLE_CLIP = 2;
    static final double FORGET_US = 1_000_000; // an unheard node's drift to the average
    // Microseconds a unit before anything was heard.
    private static final double START_PACE_US = 13_000;
    // How much a request's own units count against those ahead.
    private static final double OWN_TIMES = 2;
    private static final double LATENCY_MEANS = 0.3; // latency apart from units, in mean requests
    private static final double SAME_KEY_PART = 0.4; // work of a piece that the node has just taken
    // All heads' at a node, which holds few; one each at least.
    private static final double CONNECTIONS = 28;
    // Requests that all heads together may always have out.
    private static final double LEAST_OUT = 12;
    private static final int PUSH_BACKS = 24; // times that a held request may be overtaken
    private static final double HERD_SPREAD = 0.03; // chance in placing, against heads herding
    // Least aim of a background class, in tightest aims.
    private static final double BACKGROUND_AIM = 2;
    // Part of its slack in which background may leave.
    private static final double BACKGROUND_PART = 0.5;
    // Background moves back by this, to its class deadline.
    private static final long SHIFT_US = 250_000;

    // Worth: what earns less gets less of the slack (thesis 4.3 refuses the greedy).
    private static final double SLACK_TOP = 0.9; // part of the aim that the most worthy may take
    // How fast the part falls with the worth of a unit.
    private static final double STRAIN_POWER = 1.0;
    static final double START_STRAIN = 0.3; // when nothing was heard lately
    // Part of the aim that a repeat must have left.
    private static final double LEAST_AIM_PART = 0.15;
    static final double RATE_US = 1_000_000; // memory of a volume's rates
    // Units a second from which a volume asks for more.
    private static final double LEAST_EXCESS = 0.1;
    private static final long EXCESS_GAP_US = 50_000; // between looks at all volumes

    // Health, by symptom.

    // Nothing back for this: longer than healthy pauses.
    private static final long SILENT_US = 350_000;
    private static final double SILENT_TIMES = 3; // and so many times the expected answer
    // How much a node in error is shunned by new objects.
    private static final double ERROR_TIMES = 20;
    // Between tests of a silent node by heads in turn.
    private static final long TEST_GAP_US = 62_500;
    // Refusals to remember before one that is over is dropped.
    private static final int LEAST_TURNED = 64;
    static final double DEMAND_US = 5_000_000; // memory of what this head is asked for
    private static final long FULL_REST_US = 30_000; // rest after a node turned a request away
    // How often held requests and silent nodes are looked at.
    private static final long TICK_US = 10_000;
    private static final long LEAST_ADVICE_US = 50_000; // shortest advice to a refused client
    private static final long WATCH_AGAIN_US = 500_000; // before asking again for a failed list

    private static final long TICK = 1, WATCH = 2;

    Settings settings;
    Limits limits;
    Scheduler.LimitShares parts = Scheduler.LimitShares.EVEN;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, TrackedNode> nodes = new LinkedHashMap<>();
    final Map<Integer, TrackedNode> shards = new TreeMap<>();
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Map<Long, TrackedVolume> volumes = new LinkedHashMap<>();
    private final Map<Long, ArrayDeque<PendingRequest>> turns = new HashMap<>();
    private final Map<Long, Long> keyRests = new HashMap<>();
    private final ArrayDeque<Long> taken = new ArrayDeque<>(), further = new ArrayDeque<>();
    private final LinkedHashMap<Long, PendingRequest> turnedAway = new LinkedHashMap<>();
    private int leastOut, mostOut, queueAt, heldCount, outCount, mostTurned;
    int answers;
    final long bornAt;
    double averagePace = START_PACE_US, averageStrain = START_STRAIN;
    private double averageBacklog;
    private double leastWorth, mostWorth, topWorth;
    private double meanExcess; // units beyond the reserves of a volume
    double asked; // all that was asked for
    long averageAt, tightestAim;
    private long askedAt, excessAt, freshUs, testGapUs;
    private final long[] givenUp = new long[Reason.values().length];
    private boolean ticking;

    public SchedulingPolicy(long nowUs, Settings settings, Actions actions) {
        this.actions = actions;
        this.random = new SplittableRandom(settings.seed());
        this.bornAt = this.askedAt = nowUs;
        this.asked = settings.maxUnits(); // until it is known, much is taken to be asked for
        applySettings(settings);
        if (settings.listOnRequest()) {
            actions.watchNodeList(true);
        }
    }

    @Override
    public void applySettings(Settings next) {
        settings = next;
        limits = next.limits();
        queueAt = next.loadNames().indexOf("waiting");
        List<RequestClass> classes = settings.classes();
        tightestAim = classes.stream().mapToLong(RequestClass::targetLatencyUs).min().orElse(1);
        leastWorth = classes.stream().mapToDouble(RequestClass::worth).min().orElse(0);
        mostWorth = classes.stream().mapToDouble(RequestClass::worth).max().orElse(1);
        double dearest = settings.plans().stream().mapToDouble(Plan::worthFactor).max().orElse(1);
        topWorth = Math.max(mostWorth * dearest, Double.MIN_NORMAL);
        leastOut = (int) Math.max(1, Math.round(LEAST_OUT / settings.instances()));
        mostOut =
                (int)
                        Math.max(
                                1,
                                CONNECTIONS / settings.instances() * limits.streamsPerConnection());
        freshUs = Math.max(FRESH_US, (long) (Math.pow(settings.probeCost(), 2) * PRICE_US));
        testGapUs = TEST_GAP_US * Math.max(4, settings.instances());
    }

    @Override
    public void applyLimitShares(long now, Scheduler.LimitShares next) {
        volumes.values().forEach(volume -> volume.refill(now)); // by the part that held until now
        parts = next;
    }

    // ---- events

    @Override
    public void updateNodes(long now, ListKind kind, List<NodeEntry> entries) {
        if (kind == ListKind.FAILED) {
            actions.startTimer(WATCH_AGAIN_US, WATCH); // only those that asked are told
            return;
        }
        if (kind != ListKind.DELTA) {
            nodes.values().forEach(node -> node.ready = false);
        }
        for (NodeEntry entry : entries) {
            nodes.computeIfAbsent(entry.node(), address -> new TrackedNode(this)).update(entry);
        }
        shards.clear();
        nodes.values().stream()
                .filter(node -> node.ready)
                .forEach(node -> shards.put(node.shard, node));
        nodes.values().stream().filter(node -> !node.ready).forEach(node -> moveHeld(now, node));
        // also one that is down: nobody asks it
        nodes.values().removeIf(node -> !node.ready && node.empty());
    }

    @Override
    public void handleRequest(long now, Request request) {
        if (limits.hasAttemptBudget()) {
            taken.add(now);
        }
        asked = asked * Math.exp(-(now - askedAt) / DEMAND_US) + request.units();
        askedAt = now;
        PendingRequest held = new PendingRequest(now, request);
        open.put(request.id(), held);
        if (request.requestClass() >= settings.classes().size()
                || request.plan() >= settings.plans().size()) {
            giveUp(now, held, 0, Reason.UNKNOWN);
            return;
        }
        held.volume =
                volumes.computeIfAbsent(request.volume(), id -> new TrackedVolume(this, now, held));
        held.volume.heads = Math.max(1, request.instances());
        held.volume.plan = settings.plans().get(request.plan());
        held.type = settings.classes().get(request.requestClass());
        held.background =
                held.type.effect() == Effect.SAFE
                        && !held.type.write()
                        && leastWorth < mostWorth
                        && held.type.worth() <= leastWorth
                        && held.type.targetLatencyUs() >= BACKGROUND_AIM * tightestAim;
        held.aim = firstTry(now, held) + held.type.targetLatencyUs();
        held.due = Math.min(held.aim, held.expiry);
        if (held.type.keepOrder() && request.key() != 0) {
            held.ordered = true;
            turns.computeIfAbsent(request.key(), key -> new ArrayDeque<>()).add(held);
        }
        held.volume.refill(now);
        held.volume.askedAt = now;
        held.worth = unitWorth(held);
        admit(now, held);
        startTicking();
    }

    @Override
    public void handleOutcome(long now, Outcome outcome) {
        PendingRequest held = open.get(outcome.requestId());
        int attempt = outcome.attempt();
        SentAttempt sent =
                held == null || attempt >= held.sent.size() ? null : held.sent.set(attempt, null);
        if (sent == null) {
            return;
        }
        TrackedNode node = sent.node();
        held.outstanding--;
        outCount--;
        node.drop(sent);
        learn(now, node, sent, outcome);
        held.over |= outcome.requestDone();
        if (outcome.status().mayHaveRun && outcome.status() != Status.OK) {
            held.mayHaveRun = true;
            if (held.ordered && outcome.status() != Status.ERROR) {
                keyRests.values().removeIf(until -> until < now);
                keyRests.put(
                        held.request.key(), now + limits.orderedKeyPauseUs()); // it may still run
            }
        }
        if (!held.over && held.outstanding == 0) {
            again(now, held, node, outcome.status());
        }
        forget(now, held);
        dispatch(now, node);
    }

    @Override
    public void handleStreamStart(
            long now, long requestId, int attempt, long node, long latencyUs) {
        // The attempt is the client's from here on; its outcome comes with the end of the request.
    }

    @Override
    public void handleWithdrawal(long now, long requestId) {
        PendingRequest held = open.get(requestId);
        if (held != null) {
            unqueue(held);
            held.over = true; // a parked one is passed over when its probe comes back
            forget(now, held);
        }
    }

    @Override
    public void handleProbe(long now, long address, Status status, long latencyUs, float[] load) {
        TrackedNode node = nodes.get(address);
        if (node == null) {
            return;
        }
        node.probedAt = Long.MIN_VALUE;
        if (status == Status.OK) {
            node.trustedUntil = now + freshUs;
            node.down = false;
            node.seenAt = now;
            double queue = queueAt >= 0 && load.length > queueAt ? load[queueAt] : 0;
            double seen = Math.max(latencyUs, queue * settings.meanUnits() * node.pace(now));
            node.setBacklog(now, node.backlog(now) + PROBE_TRUST * (seen - node.backlog(now)));
        }
        node.guarded &= status != Status.OK && !node.down; // by now this head has seen for itself
        decideParked(now, node);
        dispatch(now, node);
    }

    /**
     * Word of others on a node of which nothing came back to this head lately: it stands in for
     * what is learned until an answer or a probe confirms it, and opens a small window only. Covers
     * starts; may hurt where the word is wrong, by one probe. On warmth the colder word holds,
     * whatever is known here.
     */
    @Override
    public void handleHint(long now, Hint hint) {
        TrackedNode node = nodes.get(hint.node());
        if (node == null) {
            return;
        }
        node.coldFrom = Math.max(node.coldFrom, Math.min(now, hint.startedUs()));
        if (node.out.isEmpty()
                && (node.seenAt == Long.MIN_VALUE || now - node.seenAt > FORGET_US)) {
            if (!node.guarded) { // where it is cold, those who know it may have spent this window
                node.coldSends.add(new double[] {now, node.coldRoom(now)});
            }
            node.heardAt = now;
            node.pace = hint.serviceTimePerUnitUs();
            node.backlog = hint.backlogUs();
            node.strain = hint.latencyRatio();
            node.errors = hint.errorRatio();
            node.guarded = true;
            node.down = hint.silent() && limits.mayProbe();
            double part = Math.max(AVERAGE_SMOOTHING, 1.0 / (++answers + FIRST_ANSWERS));
            averagePace += part * (node.pace - averagePace);
            startTicking();
        }
    }

    @Override
    public List<NodeView> nodeViews(long now) {
        return nodes.values().stream().map(node -> node.view(now)).toList();
    }

    @Override
    public Scheduler.QueueView queueView(long now) {
        int[] held = new int[settings.classes().size()];
        long[] oldest = new long[held.length];
        for (TrackedNode node : nodes.values()) {
            Stream.concat(node.queue.stream(), node.parked.stream())
                    .filter(one -> one.request.requestClass() < held.length)
                    .forEach(one -> count(now, one, held, oldest));
        }
        return new Scheduler.QueueView(held, oldest, givenUp.clone());
    }

    private static void count(long now, PendingRequest one, int[] held, long[] oldest) {
        int type = one.request.requestClass();
        held[type]++;
        oldest[type] = Math.max(oldest[type], now - one.arrived);
    }

    @Override
    public void handleTimer(long now, long token) {
        if (token == WATCH) {
            actions.watchNodeList(true);
            return;
        }
        ticking = false;
        if (now - excessAt >= EXCESS_GAP_US) {
            excessAt = now;
            volumes.values().removeIf(volume -> volume.forgotten(now));
            meanExcess =
                    volumes.values().stream()
                            .filter(volume -> volume.excess > LEAST_EXCESS)
                            .mapToDouble(TrackedVolume::excessByWeight)
                            .average()
                            .orElse(0);
        }
        for (TrackedNode node : nodes.values()) {
            if (node.idle()) {
                continue;
            }
            if (!node.parked.isEmpty() && now - node.parked.get(0).parkedAt >= ASK_WAIT_US) {
                node.setBacklog(
                        now,
                        Math.max(
                                node.backlog(now),
                                NO_ANSWER_TIMES * (now - node.parked.get(0).parkedAt)));
                decideParked(now, node);
            }
            expire(now, node);
            writeOffLost(now, node);
            testSilent(now, node);
            dispatch(now, node);
        }
        startTicking();
    }

    // ---- admission

    /**
     * When the client first asked: a repeat is for the same piece, and its patience ends when it
     * did.
     */
    private long firstTry(long now, PendingRequest held) {
        if (turnedAway.size() > mostTurned) { // not at each request: a storm leaves thousands here
            turnedAway.values().removeIf(before -> before.expiry < now);
            mostTurned = LEAST_TURNED + 2 * turnedAway.size();
        }
        for (int step = -1; step <= 1; step++) {
            PendingRequest before = turnedAway.remove(held.print(step));
            if (before != null && before.expiry >= now) {
                held.firstTry = before.firstTry;
                break;
            }
        }
        return held.firstTry;
    }

    /** Takes a request into a node's queue, or refuses it at once. */
    private void admit(long now, PendingRequest held) {
        TrackedNode node =
                held.request.shard() >= 0 ? shards.get(held.request.shard()) : bestNode(now, held);
        if (node != null && node.ready && askFirst(now, node, held)) {
            return;
        }
        // A late try may have a few milliseconds left: held, it would be over before the next look.
        double wait =
                Math.max(
                        2 * TICK_US,
                        held.volume.limitWait(now, held.volume.pending + held.request.units()));
        if (node == null || !usable(now, node)) {
            giveUp(now, held, 2 * testGapUs, node == null ? Reason.NO_NODE : Reason.SILENT);
        } else if (held.aim < now + LEAST_AIM_PART * held.type.targetLatencyUs()) {
            // Past the aim of the first try a repeat earns little, yet costs as much. Covers every
            // overload in which clients ask again; may hurt where late answers are worth much.
            giveUp(now, held, 0, Reason.LATE_REPEAT);
        } else if (node.coldRoom(now) < held.request.units()) {
            giveUp(now, held, limits.overloadWindowUs(), Reason.COLD);
        } else if (now + wait > held.due) {
            giveUp(now, held, (long) Math.min(wait, Integer.MAX_VALUE), Reason.LIMIT);
        } else if (held.background || fitsAim(now, node, held)) {
            held.volume.reserve -= held.request.units() * held.reserved;
            enqueue(node, held);
            dispatch(now, node);
        }
    }

    /**
     * Refuses what is predicted to miss its own aim, to take the room of the more worthy, or to
     * push an accepted request past its own. Its own work counts against its aim alone, as worth is
     * by unit. A long aim must not let the less worthy take the room that short ones need, so the
     * tightest aim counts more the less the worth.
     */
    private boolean fitsAim(long now, TrackedNode node, PendingRequest held) {
        held.work = held.request.units() * (node.takes(held.request.key()) ? SAME_KEY_PART : 1);
        double ahead = node.heldAhead(held);
        double over = finish(now, node, held, ahead) - (held.aim - now);
        double mean =
                node.backlog(now)
                        + span(node.outUnits + ahead, settings.meanUnits()) * node.pace(now);
        if (over > 0
                || mean > Math.min(slack(now, node, held.worth) * tightestAim, held.aim - now)
                || displaces(now, node, held)) {
            giveUp(now, held, (long) over, Reason.CROWDED);
            return false;
        }
        return true;
    }

    /**
     * A head among many hears a node so seldom that what it knows is old: it asks first, and the
     * request waits. Covers crowds, pauses and silence that begin between two requests; costs a
     * probe and its way.
     */
    private boolean askFirst(long now, TrackedNode node, PendingRequest held) {
        boolean known =
                now - node.seenAt < freshUs && node.seenAt != Long.MIN_VALUE && usable(now, node);
        if (!limits.mayProbe() || held.asked || known || now + 2 * ASK_WAIT_US > held.due) {
            return false;
        }
        held.asked = true;
        node.parked.add(held);
        held.parkedAt = now;
        heldCount++;
        if (node.probedAt == Long.MIN_VALUE || now - node.probedAt > testGapUs) {
            node.probedAt = now;
            actions.probe(node.address);
        }
        return true;
    }

    private void decideParked(long now, TrackedNode node) {
        List<PendingRequest> waiting = new ArrayList<>(node.parked);
        node.parked.clear();
        heldCount -= waiting.size();
        waiting.stream().filter(held -> !held.over).forEach(held -> admit(now, held));
    }

    /**
     * Predicted time until the request completes: what is ahead over the speed, plus the latency.
     */
    private double finish(long now, TrackedNode node, PendingRequest held, double heldAhead) {
        return node.backlog(now) + span(node.outUnits + heldAhead, held.work) * node.pace(now);
    }

    /**
     * Units that count for a request's completion: those ahead, its own, and a part for the
     * latency. Its own count more, as one core serves a request while all cores share the queue and
     * others run beside it.
     */
    private double span(double ahead, double own) {
        return Math.max(OWN_TIMES * own, ahead + own) + LATENCY_MEANS * settings.meanUnits();
    }

    /** Whether an accepted request that is worth as much would be pushed past its own deadline. */
    private boolean displaces(long now, TrackedNode node, PendingRequest held) {
        double ahead = node.outUnits;
        double pace = node.pace(now);
        for (PendingRequest other : node.queue) {
            double alone = now + node.backlog(now) + span(ahead, other.work) * pace;
            ahead += other.work;
            if (other.due > held.due
                    && other.worth >= held.worth
                    && !other.background
                    && alone <= other.due
                    && alone + held.work * pace > other.due) {
                return true;
            }
        }
        return false;
    }

    private TrackedNode bestNode(long now, PendingRequest held) {
        TrackedNode best = null;
        double least = Double.MAX_VALUE;
        for (TrackedNode node : shards.values()) {
            if (usable(now, node) && node.coldRoom(now) >= held.request.units()) {
                double finish = finish(now, node, held, node.heldAhead(held));
                finish *= 1 + HERD_SPREAD * random.nextDouble() + ERROR_TIMES * node.errors;
                if (finish < least) {
                    least = finish;
                    best = node;
                }
            }
        }
        return best;
    }

    /** Part of the aim for what is ahead: the more crowded, the sooner the less worthy give way. */
    private double slack(long now, TrackedNode node, double worth) {
        return SLACK_TOP * Math.pow(worth, STRAIN_POWER * node.strain(now));
    }

    /**
     * Worth of one unit against the most that any can earn: class, plan, and what is due to the
     * volume.
     */
    private double unitWorth(PendingRequest held) {
        TrackedVolume volume = held.volume;
        double units = held.request.units();
        double reserved = Math.min(1, Math.max(0, volume.reserve / units));
        double beyond = settings.fairWorth();
        double excess = volume.excessByWeight();
        if (excess > meanExcess && meanExcess > 0) {
            beyond = Math.max(settings.spareWorth(), beyond * meanExcess / excess);
        }
        held.reserved = reserved;
        volume.excess += units * (1 - reserved) * US / RATE_US;
        double worth =
                (reserved + (1 - reserved) * beyond)
                        * held.type.worth()
                        * volume.plan.worthFactor();
        return worth / topWorth;
    }

    // ---- sending

    private void enqueue(TrackedNode node, PendingRequest held) {
        int at = node.queue.size();
        while (at > 0
                && node.queue.get(at - 1).due > held.due
                && node.queue.get(at - 1).pushed < PUSH_BACKS) {
            at--;
            node.queue.get(at).pushed++;
        }
        node.queue.add(at, held);
        held.node = node;
        held.volume.pending += held.sent.isEmpty() ? held.request.units() : 0;
        heldCount++;
    }

    private void unqueue(PendingRequest held) {
        if (held.node != null) {
            held.node.queue.remove(held);
            held.node = null;
            held.volume.pending -= held.sent.isEmpty() ? held.request.units() : 0;
            heldCount--;
        }
    }

    private void dispatch(long now, TrackedNode node) {
        int i = 0;
        while (i < node.queue.size() && node.ready && now >= node.restUntil) {
            PendingRequest held = node.queue.get(i);
            if (!mayGo(now, held) || node.coldRoom(now) < held.request.units()) {
                i++;
            } else if (!held.sent.isEmpty() && !mayTryFurther(now, held)) {
                giveUp(now, held, FULL_REST_US, Reason.BUDGET); // it was there when this was held
            } else if (!held.background || !shift(node, held, i)) {
                // What a silent node has out is lost or stuck: it keeps out nothing that a probe
                // allows.
                if (!usable(now, node) || !silent(now, node) && !fits(now, node, held)) {
                    return;
                }
                unqueue(held);
                send(now, node, held);
            }
        }
    }

    /**
     * Best effort: background work steps behind the others that wait, never past its class
     * deadline.
     */
    private boolean shift(TrackedNode node, PendingRequest held, int at) {
        long last = Math.min(held.arrived + held.type.deadlineUs(), held.expiry);
        if (held.due >= last || at + 1 >= node.queue.size() || node.queue.get(at + 1).background) {
            return false;
        }
        held.due = Math.min(last, held.due + SHIFT_US);
        node.queue.remove(at);
        int to = at;
        while (to < node.queue.size() && node.queue.get(to).due <= held.due) {
            to++;
        }
        node.queue.add(to, held);
        return to != at;
    }

    /**
     * Whether the units out stay in bounds; background leaves only while the node answers quickly.
     */
    private boolean fits(long now, TrackedNode node, PendingRequest held) {
        if (held.background) {
            double quiet =
                    node.backlog(now) + (node.outUnits + settings.meanUnits()) * node.pace(now);
            return quiet <= BACKGROUND_PART * slack(now, node, held.worth) * tightestAim
                    && node.out.size() < mostOut;
        }
        return node.out.size() < (node.guarded ? 1 : leastOut)
                || node.out.size() < mostOut && node.outUnits + held.work <= node.bound(now);
    }

    /** Whether the rules on limits and order let this request go now. */
    private boolean mayGo(long now, PendingRequest held) {
        long key = held.request.key();
        boolean turn =
                !held.ordered
                        || turns.get(key).peek() == held
                                && (!held.sent.isEmpty()
                                        || now >= keyRests.getOrDefault(key, Long.MIN_VALUE));
        return turn
                && (!held.sent.isEmpty() || held.volume.limitWait(now, held.request.units()) <= 0);
    }

    private void send(long now, TrackedNode node, PendingRequest held) {
        if (held.sent.isEmpty()) {
            held.firstSent = now;
            held.volume.limit -= held.request.units();
        } else {
            further.add(now);
        }
        SentAttempt sent =
                new SentAttempt(
                        now,
                        node,
                        held,
                        span(node.outUnits, held.work),
                        finish(now, node, held, 0));
        held.sent.add(sent);
        held.outstanding++;
        outCount++;
        node.out.add(sent);
        node.outUnits += held.work;
        node.coldSends.add(new double[] {now, held.request.units()});
        actions.send(held.request.id(), node.address, 0);
    }

    /**
     * Settles a request whose attempt failed: another attempt where the rules allow it, or its
     * answer.
     */
    private void again(long now, PendingRequest held, TrackedNode node, Status status) {
        boolean retry =
                status != Status.TIMEOUT
                        && status != Status.MOOT
                        && held.sent.size() < limits.maxAttempts()
                        && mayTryFurther(now, held);
        TrackedNode next =
                retry && held.request.shard() < 0 && !held.mayHaveRun ? bestNode(now, held) : node;
        if (retry
                && next != null
                && usable(now, next)
                && now + finish(now, next, held, next.heldAhead(held)) <= held.due) {
            enqueue(next, held);
            dispatch(now, next);
        } else {
            giveUp(now, held, FULL_REST_US, Reason.ATTEMPT_FAILED);
        }
    }

    /**
     * The class and the budget of further attempts; asked again when a held one leaves, windows
     * move on.
     */
    private boolean mayTryFurther(long now, PendingRequest held) {
        boolean repeatable =
                !held.mayHaveRun
                        || held.type.effect() == Effect.SAFE
                        || held.type.effect() == Effect.KEYED
                                && now - held.firstSent < held.type.keyTtlUs() / 2;
        further.removeIf(at -> at < now - limits.budgetWindowUs());
        taken.removeIf(at -> at < now - limits.budgetWindowUs() + settings.tickUs());
        return repeatable
                && (!limits.hasAttemptBudget()
                        || further.size() + 1
                                <= limits.freeFurtherAttempts()
                                        + limits.furtherAttemptsRatio() * taken.size());
    }

    /**
     * The final answer, at once: refused where that is allowed, failed where the work may have run.
     */
    private void giveUp(long now, PendingRequest held, long adviceUs, Reason reason) {
        givenUp[reason.ordinal()]++;
        unqueue(held);
        held.over = true;
        boolean harmless =
                held.sent.isEmpty()
                        || !held.mayHaveRun && held.outstanding == 0
                        || held.type.effect() == Effect.SAFE
                        || held.type.effect() == Effect.KEYED && held.type.scope() == Scope.ALL;
        if (harmless) {
            long advice = Math.min(Math.max(adviceUs, LEAST_ADVICE_US), limits.maxRetryAfterUs());
            actions.refuse(held.request.id(), limits.mayAdviseRetry() ? advice : 0);
        } else {
            actions.fail(held.request.id());
        }
        turnedAway.put(held.print(0), held);
        forget(now, held);
    }

    private void forget(long now, PendingRequest held) {
        if (held.over && held.outstanding == 0) {
            open.remove(held.request.id());
            if (held.ordered) {
                turns.computeIfPresent(
                        held.request.key(),
                        (key, turn) -> turn.remove(held) && turn.isEmpty() ? null : turn);
            }
        }
    }

    // ---- nodes

    private void learn(long now, TrackedNode node, SentAttempt sent, Outcome outcome) {
        if (outcome.volumeUse() > 0) {
            sent.held().volume.meter(outcome.volumeUse() - 1);
        }
        switch (outcome.status()) {
            case OK -> {
                heard(now, node, false);
                sent.held().volume.servedHere += sent.held().request.units() / RATE_US * US;
                teach(now, node, sent, outcome.latencyUs());
            }
            case ERROR -> heard(now, node, true);
            case TIMEOUT -> {
                // Or only what came in time would be learned from, and clients of little patience
                // would make a crowded node look quick. Covers those; a hang is told by silence and
                // teaches no speed.
                if (outcome.latencyUs() > sent.expected() && outcome.latencyUs() < SILENT_US) {
                    teach(now, node, sent, outcome.latencyUs());
                }
            }
            case FULL -> node.restUntil = now + FULL_REST_US;
            case CONNECT_FAILED, RESET -> {
                // one reset may end its connection only, a second unanswered not
                node.down =
                        outcome.status() == Status.CONNECT_FAILED || node.resetAt > node.answeredAt;
                node.resetAt = now;
            }
            default -> {}
        }
    }

    /**
     * Splits an answer's time into what its units explain (the pace, learned slowly) and the rest,
     * which is the load of other heads, pauses and put-off work (the backlog, learned fast and by
     * time).
     */
    private void teach(long now, TrackedNode node, SentAttempt sent, long latencyUs) {
        double pace = node.pace(now);
        double backlog = node.backlog(now);
        double error = latencyUs - backlog - sent.span() * pace;
        double passed = node.heardAt == Long.MIN_VALUE ? Double.MAX_VALUE : now - node.heardAt;
        double newest = 1 - (1 - SMOOTHING) * Math.exp(-passed / MEMORY_US);
        node.backlog = Math.max(0, backlog + newest * error);
        double own = sent.span() * pace;
        double odd = error > 0 ? Math.min(error, own) : Math.min(0, latencyUs - own);
        double step =
                Math.max(SLOW_SMOOTHING, 1.0 / (++node.answers + FIRST_ANSWERS))
                        * odd
                        / sent.span();
        node.pace = Math.max(pace / SAMPLE_CLIP, pace + Math.min(step, (SAMPLE_CLIP - 1) * pace));
        double part = Math.max(AVERAGE_SMOOTHING, 1.0 / (++answers + FIRST_ANSWERS));
        averageBacklog = averageBacklog(now) + part * (node.backlog - averageBacklog(now));
        averageAt = now;
        averagePace += part * (node.pace * node.warmth(now) - averagePace);
        double strain =
                Math.min(
                        SAMPLE_CLIP,
                        (double) (now - sent.held().arrived) / sent.held().type.targetLatencyUs());
        double old = node.strain(now);
        node.strain =
                old
                        + Math.max(SLOW_SMOOTHING, 1.0 / (node.answers + FIRST_ANSWERS))
                                * (strain - old);
        averageStrain += part * (strain - averageStrain);
        node.heardAt = now;
    }

    double averageBacklog(long now) {
        return averageBacklog * Math.exp(-(now - averageAt) / FORGET_US);
    }

    /**
     * An answer ends a silence. Errors come back fast, so they teach no speed, or a node that fails
     * everything would look the fastest and draw all new objects; their share counts against it
     * instead. Covers nodes with a broken disk or a bad release; may hurt where one class alone is
     * in error.
     */
    private void heard(long now, TrackedNode node, boolean error) {
        node.answeredAt = node.seenAt = now;
        node.down = node.guarded = false;
        node.errors += SMOOTHING * ((error ? 1 : 0) - node.errors);
    }

    private boolean usable(long now, TrackedNode node) {
        return node.ready && (!node.down && now < node.trustedUntil || !silent(now, node));
    }

    /**
     * Nothing comes back: connections fail, or units are out and there was no answer for long. The
     * node is down, hangs, is cut off, or is far slower than it was; more sends would only be lost.
     * May hurt where a heavy request alone fills the node: a probe brings it back.
     */
    boolean silent(long now, TrackedNode node) {
        SentAttempt oldest = node.out.peek();
        return node.down
                || oldest != null && overdue(now, oldest, Math.max(oldest.at(), node.answeredAt));
    }

    private static boolean overdue(long now, SentAttempt sent, long since) {
        return now - since > Math.max(SILENT_US, SILENT_TIMES * sent.expected());
    }

    /**
     * Attempts far over their time while later sends were answered no longer count as out: their
     * answers are lost, or the node forgot them, and they would fill the bound. Covers lost answers
     * and what a hang leaves behind; may hurt when a costly request still runs, as one more is then
     * sent beside it.
     */
    private void writeOffLost(long now, TrackedNode node) {
        for (SentAttempt sent : List.copyOf(node.out)) {
            if (overdue(now, sent, sent.at()) && node.answeredAt > sent.at() + SILENT_US) {
                node.drop(sent);
            }
        }
    }

    private void testSilent(long now, TrackedNode node) {
        if (node.ready && now - node.testedAt >= testGapUs && silent(now, node)) {
            node.testedAt = now;
            node.trustedUntil = limits.mayProbe() ? node.trustedUntil : now + FRESH_US;
            // else a request tests: one reset must not bar a node for good
            node.down &= limits.mayProbe();
            if (limits.mayProbe()) {
                actions.probe(node.address);
            }
        }
    }

    /** Answers those held requests that can no longer be served in time. */
    private void expire(long now, TrackedNode node) {
        for (PendingRequest held : List.copyOf(node.queue)) {
            double need = node.backlog(now) + span(0, held.work) * node.pace(now);
            if (now + Math.max(2 * TICK_US, need) > held.due) {
                giveUp(now, held, LEAST_ADVICE_US, Reason.EXPIRED);
            }
        }
    }

    /**
     * Nothing more goes to a node that drains or is gone; what is held goes elsewhere or is
     * answered.
     */
    private void moveHeld(long now, TrackedNode node) {
        for (PendingRequest held : new ArrayList<>(node.queue)) {
            unqueue(held);
            if (held.sent.isEmpty()) {
                admit(now, held);
            } else {
                again(now, held, node, Status.CONNECT_FAILED);
            }
        }
    }

    private void startTicking() {
        if (!ticking
                && (heldCount + outCount > 0
                        || nodes.values().stream().anyMatch(node -> node.ready && node.down))) {
            ticking = true;
            actions.startTimer(TICK_US, TICK);
        }
    }
}
