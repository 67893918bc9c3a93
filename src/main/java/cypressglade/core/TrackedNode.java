package cypressglade.core;

import cypressglade.core.Scheduler.LimitShares;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What this instance has learned of a storage node, and what it has queued and in flight there.
 * Belongs to the policy's thread; times are in microseconds.
 */
final class TrackedNode {
    // A node is silent when nothing comes back for this long, which healthy pauses stay below,
    static final long MIN_SILENCE_MICROS = 350_000;
    // and for so many times the expected answer time.
    private static final double SILENCE_LATENCY_FACTOR = 3;

    // Number of keys that a node is taken to have in its cache.
    private static final int MAX_RECENT_KEYS = 3;

    // Units in flight.

    // Part of the shortest target latency that the units in flight may take.
    private static final double IN_FLIGHT_TARGET_FRACTION = 0.5;
    // Maximum in flight at a node, in mean requests,
    private static final double MAX_IN_FLIGHT_MEAN_REQUESTS = 16;
    // and at one that only other instances have observed.
    private static final double MAX_UNCONFIRMED_MEAN_REQUESTS = 2;

    // Cold nodes.

    // Step between the turns of two ranks: the golden section spreads them evenly.
    private static final double TURN_STEP_PER_RANK = 0.618034;
    // Step between the turns of two windows, out of step with the ranks.
    private static final double TURN_STEP_PER_WINDOW = 0.754878;
    // Part of what all instances may send that turns allot, as some windows get more by chance.
    private static final double TURN_FRACTION = 0.8;
    // Part of the load at which a cold node fails, by the speed that nodes were seen to have.
    private static final double COLD_OVERLOAD_FRACTION = 0.6;
    // Number of answers from which that speed is known.
    private static final int MIN_COLD_ESTIMATE_ANSWERS = 20;
    // Minimum fraction of a node's speed, also where the settings have none for cold nodes.
    private static final double MIN_WARMTH = 0.05;

    private final SchedulingPolicy policy;
    long address;
    private long startedUs;
    long silenceProbedAt, pausedUntil, trustedUntil;
    long resetAt = Long.MIN_VALUE;
    long reportedStartAt; // the latest start that other instances observed
    int shard;
    boolean ready, down;
    boolean unconfirmed; // known only from other instances
    double serviceTimePerUnit, backlog, latencyRatio, errorRatio, inFlightUnits;
    int answerCount;
    private final ArrayDeque<Long> recentKeys = new ArrayDeque<>();
    long observedAt = Long.MIN_VALUE, answeredAt = Long.MIN_VALUE; // last estimate; last answer
    long lastSeenAt = Long.MIN_VALUE, probedAt = Long.MIN_VALUE; // sign of life; probe in flight
    final ArrayList<PendingRequest> awaitingProbe = new ArrayList<>();
    final ArrayDeque<SentAttempt> inFlight = new ArrayDeque<>();
    final ArrayList<PendingRequest> queue = new ArrayList<>();
    // Time and units of each attempt, as far as they count for a cold node.
    final ArrayDeque<double[]> coldSends = new ArrayDeque<>();

    TrackedNode(SchedulingPolicy policy) {
        this.policy = policy;
    }

    void update(NodeEntry entry) {
        if (entry.startedUs() != startedUs) {
            observedAt = Long.MIN_VALUE;
            answerCount = 0;
            down = unconfirmed = false;
            errorRatio = 0;
        }
        address = entry.node();
        shard = entry.shard();
        ready = entry.state() == State.READY;
        startedUs = entry.startedUs();
    }

    boolean isIdle() {
        return !down && isEmpty();
    }

    boolean isEmpty() {
        return inFlight.isEmpty() && queue.isEmpty() && awaitingProbe.isEmpty();
    }

    /** Returns an estimate, which drifts to the average of all while the node is not heard of. */
    double driftToAverage(long now, double learned, double average) {
        return observedAt == Long.MIN_VALUE
                ? average
                : average
                        + (learned - average)
                                * Math.exp(-(now - observedAt) / SchedulingPolicy.FORGET_MICROS);
    }

    /**
     * Returns the fraction of its full speed that a node has at least: it rises linearly from that
     * of a cold node to 1.
     */
    double warmth(long now) {
        long cold = policy.limits.rampUs() - (now - Math.max(startedUs, reportedStartAt));
        return startedUs == 0 && reportedStartAt == 0 || cold <= 0
                ? 1
                : Math.max(
                        MIN_WARMTH,
                        1
                                - (1 - policy.limits.coldSpeedFraction())
                                        * Math.min(1, (double) cold / policy.limits.rampUs()));
    }

    /**
     * Returns microseconds a unit; while it is not heard of, the average for one as warm as it is.
     */
    double serviceTimePerUnit(long now) {
        return driftToAverage(now, serviceTimePerUnit, policy.averageServiceTime / warmth(now));
    }

    /**
     * Returns the time of answers as a fraction of their target latency: how loaded the node is.
     */
    double latencyRatio(long now) {
        double kept = Math.exp(-(now - policy.averagesUpdatedAt) / SchedulingPolicy.FORGET_MICROS);
        return driftToAverage(
                now,
                latencyRatio,
                SchedulingPolicy.INITIAL_LATENCY_RATIO
                        + (policy.averageLatencyRatio - SchedulingPolicy.INITIAL_LATENCY_RATIO)
                                * kept);
    }

    /**
     * Returns the microseconds that the load of others adds to an answer. An attempt that is late
     * shows at least its delay, unless a sign of life came since: then it is lost or expensive.
     */
    double backlog(long now) {
        double known = driftToAverage(now, backlog, policy.averageBacklog(now));
        SentAttempt oldest = inFlight.peek();
        return oldest == null
                ? known
                : Math.max(
                        known, now - Math.max(oldest.sentAt() + oldest.expectedUs(), lastSeenAt));
    }

    void updateBacklog(long now, double value) {
        serviceTimePerUnit = serviceTimePerUnit(now);
        latencyRatio = latencyRatio(now);
        backlog = value;
        observedAt = now;
    }

    /**
     * Returns whether the key is among the last that this instance sent or queued here, so that it
     * costs less, and remembers it.
     */
    boolean noteKey(long key) {
        if (key == 0 || recentKeys.contains(key)) {
            return key != 0;
        }
        recentKeys.add(key);
        if (recentKeys.size() > MAX_RECENT_KEYS) {
            recentKeys.poll();
        }
        return false;
    }

    void removeAttempt(SentAttempt attempt) {
        if (inFlight.remove(attempt)) {
            inFlightUnits = inFlight.isEmpty() ? 0 : inFlightUnits - attempt.pending().workUnits;
        }
    }

    /** Whether nothing has come back for so long that an attempt is taken for lost. */
    static boolean isOverdue(long now, SentAttempt attempt, long since) {
        return now - since
                > Math.max(MIN_SILENCE_MICROS, SILENCE_LATENCY_FACTOR * attempt.expectedUs());
    }

    /**
     * Removes attempts from those in flight that are far over their time while later ones were
     * answered: their answers are lost, or the node dropped them, and they would use up the bound.
     * Handles lost answers and what a hang leaves behind; may exceed the bound by one request when
     * an expensive one still runs.
     */
    void dropLostAttempts(long now) {
        for (SentAttempt attempt : List.copyOf(inFlight)) {
            if (isOverdue(now, attempt, attempt.sentAt())
                    && answeredAt > attempt.sentAt() + MIN_SILENCE_MICROS) {
                removeAttempt(attempt);
            }
        }
    }

    /** Returns the units that may be in flight; background requests may use only a part. */
    double maxInFlightUnits(long now) {
        double units =
                (IN_FLIGHT_TARGET_FRACTION * policy.minTarget - backlog(now))
                                / serviceTimePerUnit(now)
                        - policy.settings.meanUnits();
        return Math.min(
                units,
                (unconfirmed ? MAX_UNCONFIRMED_MEAN_REQUESTS : MAX_IN_FLIGHT_MEAN_REQUESTS)
                        * policy.settings.meanUnits());
    }

    NodeView view(long now) {
        boolean silent = policy.isSilent(now, this);
        return new NodeView(
                address,
                shard,
                ready,
                unconfirmed,
                silent,
                startedUs,
                serviceTimePerUnit(now),
                backlog(now),
                latencyRatio(now),
                errorRatio,
                answerCount,
                answeredAt == Long.MIN_VALUE ? -1 : now - answeredAt,
                lastSeenAt == Long.MIN_VALUE ? -1 : now - lastSeenAt,
                inFlightUnits,
                maxInFlightUnits(now),
                queue.size(),
                coldCapacity(now));
    }

    double unitsAhead(PendingRequest pending) {
        double ahead = 0;
        for (PendingRequest other : queue) {
            if (other.deadline <= pending.deadline && !other.background) {
                ahead += other.workUnits;
            }
        }
        return ahead;
    }

    /**
     * Returns the units that this instance may still send to a cold node within the overload
     * window. Where an even share of what all instances may send is less than one request, they
     * take turns by rank and window: so many at once that together they send no more than all may,
     * by this instance's own demand. A turn allows one largest request, which bounds an instance
     * whose volume surges. Handles restarts of instances (turns go by rank) and instances that fail
     * (their turn lapses); may reduce throughput when few instances have all the traffic of the
     * node.
     */
    double coldCapacity(long now) {
        coldSends.removeIf(send -> send[0] <= now - policy.limits.overloadWindowUs());
        double warmth = warmth(now);
        if (warmth >= 1) {
            return Double.MAX_VALUE;
        }
        double all =
                policy.limits.coldNodeUnits()
                        * warmth
                        / Math.max(MIN_WARMTH, policy.limits.coldSpeedFraction());
        if (policy.answerCount >= MIN_COLD_ESTIMATE_ANSWERS) {
            double serviceTime =
                    Math.max(
                            policy.averageServiceTime / warmth,
                            answerCount < SchedulingPolicy.PRIOR_ANSWERS
                                    ? 0
                                    : serviceTimePerUnit(now));
            all =
                    Math.max(
                            all,
                            COLD_OVERLOAD_FRACTION
                                    * policy.limits.overloadFactor()
                                    * policy.limits.overloadWindowUs()
                                    / serviceTime);
        }
        double capacity =
                all / policy.limitShares.nodeDivisor(now, address, policy.settings.instances());
        if (policy.limitShares == LimitShares.EVEN && capacity < policy.settings.maxUnits()) {
            double demandSpanUs =
                    SchedulingPolicy.DEMAND_MEMORY_MICROS
                            * (1
                                    - Math.exp(
                                            -(now
                                                            - policy.createdAt
                                                            + policy.limits.overloadWindowUs())
                                                    / SchedulingPolicy.DEMAND_MEMORY_MICROS));
            double demand =
                    policy.demandUnits
                            / demandSpanUs
                            * policy.limits.overloadWindowUs()
                            * policy.settings.instances()
                            / policy.nodesByShard.size();
            long window = now / policy.limits.overloadWindowUs();
            double turn =
                    (policy.settings.rank() * TURN_STEP_PER_RANK
                                    + (window + shard) * TURN_STEP_PER_WINDOW)
                            % 1;
            capacity = turn < TURN_FRACTION * all / demand ? policy.settings.maxUnits() : 0;
        }
        for (double[] send : coldSends) {
            capacity -= send[1];
        }
        return capacity;
    }
}
