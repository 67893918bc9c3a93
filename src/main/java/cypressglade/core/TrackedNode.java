package cypressglade.core;

import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.State;
import java.util.ArrayDeque;
import java.util.ArrayList;

/** A storage node as this head sees it. */
final class TrackedNode {
    // The ordinary path.
    private static final int RECENT_KEYS = 3; // pieces that a node is taken to remember
    // Part of the tightest aim that the units out may take.
    private static final double AIM_PART = 0.5;
    private static final double CEILING_MEANS = 16; // most units out at a node, in mean requests
    private static final double GUARD_MEANS = 2; // the same for a node known by hearsay only

    // Health, by symptom.

    // Golden section: spreads ranks evenly over turns.
    private static final double TURN_BY_RANK = 0.618034;
    // And windows, out of step with the ranks.
    private static final double TURN_BY_WINDOW = 0.754878;
    // Of what all may send: chance gives some windows more.
    private static final double TURN_PART = 0.8;
    // Of what a cold node falls over at, as nodes are seen.
    private static final double COLD_PART = 0.6;
    private static final int COLD_ANSWERS = 20; // answers from which that is known
    private static final double LEAST_WARMTH = 0.05; // where settings name no cold part

    private final SchedulingPolicy brain;
    long address;
    private long startedUs;
    long testedAt, restUntil, trustedUntil;
    long resetAt = Long.MIN_VALUE;
    long coldFrom; // the latest start that others tell of
    int shard;
    boolean ready, down, guarded; // guarded: known by hearsay only
    double pace, backlog, strain, errors, outUnits;
    int answers;
    private final ArrayDeque<Long> recentKeys = new ArrayDeque<>();
    long heardAt = Long.MIN_VALUE, answeredAt = Long.MIN_VALUE; // by anything; by an answer
    long seenAt = Long.MIN_VALUE, probedAt = Long.MIN_VALUE; // signs of life; probe that is out
    final ArrayList<PendingRequest> parked = new ArrayList<>();
    final ArrayDeque<SentAttempt> out = new ArrayDeque<>();
    final ArrayList<PendingRequest> queue = new ArrayList<>();
    final ArrayDeque<double[]> coldSends = new ArrayDeque<>();

    TrackedNode(SchedulingPolicy brain) {
        this.brain = brain;
    }

    void update(NodeEntry entry) {
        if (entry.startedUs() != startedUs) {
            heardAt = Long.MIN_VALUE;
            answers = 0;
            down = guarded = false;
            errors = 0;
        }
        address = entry.node();
        shard = entry.shard();
        ready = entry.state() == State.READY;
        startedUs = entry.startedUs();
    }

    boolean idle() {
        return !down && empty();
    }

    boolean empty() {
        return out.isEmpty() && queue.isEmpty() && parked.isEmpty();
    }

    /** What was learned of the node drifts to the average of all while it is not heard of. */
    double recall(long now, double learned, double average) {
        return heardAt == Long.MIN_VALUE
                ? average
                : average
                        + (learned - average)
                                * Math.exp(-(now - heardAt) / SchedulingPolicy.FORGET_US);
    }

    /**
     * Part of its speed that a node surely has: it rises evenly from the cold part to the whole.
     */
    double warmth(long now) {
        long cold = brain.limits.rampUs() - (now - Math.max(startedUs, coldFrom));
        return startedUs == 0 && coldFrom == 0 || cold <= 0
                ? 1
                : Math.max(
                        LEAST_WARMTH,
                        1
                                - (1 - brain.limits.coldSpeedFraction())
                                        * Math.min(1, (double) cold / brain.limits.rampUs()));
    }

    /**
     * Microseconds a unit; of an unheard node what the average of all tells of one as warm as it
     * is.
     */
    double pace(long now) {
        return recall(now, pace, brain.averagePace / warmth(now));
    }

    /** Share of their aim that answers take: how crowded the node is. */
    double strain(long now) {
        double kept = Math.exp(-(now - brain.averageAt) / SchedulingPolicy.FORGET_US);
        return recall(
                now,
                strain,
                SchedulingPolicy.START_STRAIN
                        + (brain.averageStrain - SchedulingPolicy.START_STRAIN) * kept);
    }

    /**
     * Microseconds that others' load adds to an answer. An attempt over its time tells of at least
     * so much, unless something came back since: then it is lost or heavy.
     */
    double backlog(long now) {
        double known = recall(now, backlog, brain.averageBacklog(now));
        SentAttempt oldest = out.peek();
        return oldest == null
                ? known
                : Math.max(known, now - Math.max(oldest.at() + oldest.expected(), seenAt));
    }

    void setBacklog(long now, double value) {
        pace = pace(now);
        strain = strain(now);
        backlog = value;
        heardAt = now;
    }

    /**
     * Whether the piece is among the last that this head sent or holds here, so that it costs less.
     */
    boolean takes(long key) {
        if (key == 0 || recentKeys.contains(key)) {
            return key != 0;
        }
        recentKeys.add(key);
        if (recentKeys.size() > RECENT_KEYS) {
            recentKeys.poll();
        }
        return false;
    }

    void drop(SentAttempt sent) {
        if (out.remove(sent)) {
            outUnits = out.isEmpty() ? 0 : outUnits - sent.held().work;
        }
    }

    /** Units that may be out; a background class asks for less. */
    double bound(long now) {
        double bound =
                (AIM_PART * brain.tightestAim - backlog(now)) / pace(now)
                        - brain.settings.meanUnits();
        return Math.min(
                bound, (guarded ? GUARD_MEANS : CEILING_MEANS) * brain.settings.meanUnits());
    }

    NodeView view(long now) {
        boolean silent = brain.silent(now, this);
        return new NodeView(
                address,
                shard,
                ready,
                guarded,
                silent,
                startedUs,
                pace(now),
                backlog(now),
                strain(now),
                errors,
                answers,
                answeredAt == Long.MIN_VALUE ? -1 : now - answeredAt,
                seenAt == Long.MIN_VALUE ? -1 : now - seenAt,
                outUnits,
                bound(now),
                queue.size(),
                coldRoom(now));
    }

    double heldAhead(PendingRequest held) {
        double ahead = 0;
        for (PendingRequest other : queue) {
            if (other.due <= held.due && !other.background) {
                ahead += other.work;
            }
        }
        return ahead;
    }

    /**
     * Units that this head may still send to a cold node within the rule's window. Where an even
     * part of what all heads may send is less than one request, heads take turns by rank and
     * window: so many at once that they ask for no more than all may send, by this head's own
     * traffic. One largest request a turn bounds a head whose volume surges. Covers restarts of
     * heads (turns go by rank) and heads that die (their turn lapses); may hurt where few heads
     * have all the traffic of the node.
     */
    double coldRoom(long now) {
        coldSends.removeIf(sent -> sent[0] <= now - brain.limits.overloadWindowUs());
        double warmth = warmth(now);
        if (warmth >= 1) {
            return Double.MAX_VALUE;
        }
        double all =
                brain.limits.coldNodeUnits()
                        * warmth
                        / Math.max(LEAST_WARMTH, brain.limits.coldSpeedFraction());
        if (brain.answers >= COLD_ANSWERS) {
            double paced =
                    Math.max(
                            brain.averagePace / warmth,
                            answers < SchedulingPolicy.FIRST_ANSWERS ? 0 : pace(now));
            all =
                    Math.max(
                            all,
                            COLD_PART
                                    * brain.limits.overloadFactor()
                                    * brain.limits.overloadWindowUs()
                                    / paced);
        }
        double room = all / brain.parts.nodeDivisor(now, address, brain.settings.instances());
        if (brain.parts == Scheduler.LimitShares.EVEN && room < brain.settings.maxUnits()) {
            double seen =
                    SchedulingPolicy.DEMAND_US
                            * (1
                                    - Math.exp(
                                            -(now - brain.bornAt + brain.limits.overloadWindowUs())
                                                    / SchedulingPolicy.DEMAND_US));
            double demand =
                    brain.asked
                            / seen
                            * brain.limits.overloadWindowUs()
                            * brain.settings.instances()
                            / brain.shards.size();
            long window = now / brain.limits.overloadWindowUs();
            double turn =
                    (brain.settings.rank() * TURN_BY_RANK + (window + shard) * TURN_BY_WINDOW) % 1;
            room = turn < TURN_PART * all / demand ? brain.settings.maxUnits() : 0;
        }
        for (double[] sent : coldSends) {
            room -= sent[1];
        }
        return room;
    }
}
