package cypressglade.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The events that an instance's scheduling policy handles, and the actions that it orders. One
 * object serves one instance: one scheduler among those that serve the same nodes. It belongs to
 * one thread. Events carry the instance's clock in microseconds, which never goes back. Every
 * decision is made in {@link SchedulingPolicy}.
 */
public interface Scheduler {

    /** Replaces the settings. Requests that arrived under earlier ones keep their rules. */
    void applySettings(Settings settings);

    /** Handles the node list, or a change to it. */
    void updateNodes(long nowUs, ListKind kind, List<NodeEntry> entries);

    /** Handles a client's request, which must get exactly one final answer. */
    void handleRequest(long nowUs, Request request);

    /** Handles the end of one attempt. */
    void handleOutcome(long nowUs, Outcome outcome);

    /** Handles the start of a streamed answer; the attempt belongs to the client from now on. */
    void handleStreamStart(long nowUs, long requestId, int attempt, long node, long latencyUs);

    /**
     * Handles the silence of an answer that has begun, or its end as the answer goes on. Ignored by
     * default.
     */
    default void handleAnswerSilence(long nowUs, long requestId, int attempt, boolean isSilent) {}

    /** Handles the withdrawal of a request, which needs no answer any more. */
    void handleWithdrawal(long nowUs, long requestId);

    /**
     * Handles the end of a probe.
     *
     * @param load what the node reported of its load
     */
    void handleProbe(long nowUs, long node, Status status, long latencyUs, LoadFigures load);

    /**
     * Handles other instances' observations of a node. They count only where this instance has seen
     * no sign of life of the node lately.
     */
    void handleHint(long nowUs, Hint hint);

    /** Replaces this instance's shares of the limits that all instances keep together. */
    void applyLimitShares(long nowUs, LimitShares limitShares);

    /** What is held of requests that are over. */
    MemoryView memoryView();

    /** Returns what is known of each node. */
    List<NodeView> nodeViews(long nowUs);

    /** Returns the requests that wait, and how many were not served since the start. */
    QueueView queueView(long nowUs);

    /**
     * Handles a message of another instance. Ignored by default: instances exchange no messages, as
     * lending the unused part of a limit brought no gain (docs/design.md).
     */
    default void handlePeerMessage(long nowUs, long fromRank, byte[] text) {
        // deliberately empty; see above
    }

    /** Handles a due timer of this instance. */
    void handleTimer(long nowUs, long token);

    /** The actions that a scheduler orders; each takes effect at the time of the handled event. */
    interface Actions {
        /**
         * Sends the next attempt of a request.
         *
         * @param timeoutUs 0: until the client stops waiting
         */
        void send(long requestId, long node, long timeoutUs);

        /**
         * Gives the final answer that the request was not done and may be sent again.
         *
         * @param retryAfterUs the advised time until then; 0: no advice
         */
        void refuse(long requestId, long retryAfterUs);

        /** Gives the final answer that the request failed and may have had effects. */
        void fail(long requestId);

        /** Cancels an attempt, by its index among those of the request. */
        void cancel(long requestId, int attempt);

        /** Sends a probe to a node; {@link Scheduler#handleProbe} reports its end. */
        void probe(long node);

        /** Starts a timer, which {@link Scheduler#handleTimer} reports with the same token. */
        void startTimer(long delayUs, long token);

        /**
         * Sends at most 256 bytes to one instance, or to all others with {@link
         * Scheduler#EVERY_PEER}.
         */
        void sendToPeer(long toRank, byte[] text);

        /** Subscribes to changes of the node list from now on, or ends the subscription. */
        void watchNodeList(boolean on);
    }

    /** Address of every other instance in {@link Actions#sendToPeer}. */
    long EVERY_PEER = 0xFFFFFFFFL;

    /** Shard of a new object, which any node can take. */
    int ANY_SHARD = -1;

    /** What a node list holds. */
    enum ListKind {
        /** Changes since the last list. */
        DELTA,
        /** All nodes. */
        FULL,
        /** All nodes, as of an earlier time. */
        CACHED,
        /** Nothing: the list that was asked for could not be had. */
        FAILED
    }

    /** State of a node in a list; only a ready one takes requests. */
    enum State {
        GONE,
        READY,
        DRAINING
    }

    /** Whether a request may run more than once: always, by its key, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The nodes among which repeats of a keyed request are dropped: all, a zone's, a shard's. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Outcome of an attempt or a probe. */
    enum Status {
        OK(true),
        ERROR(true),
        /** The node refused the request before it ran, for lack of room. */
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        /** Not sent because no longer needed. */
        MOOT(false);

        /** False where the outcome proves that the request never ran. */
        public final boolean mayHaveRun;

        Status(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /**
     * One node in a list.
     *
     * @param node the number that stands for the node in all events and actions
     * @param shard the shard that the node serves
     * @param size relative size of the node, as listed
     * @param startedUs the start of its present generation; 0: long ago
     * @param kind index of the kind of node, as listed
     */
    record NodeEntry(
            long node, int zone, State state, int shard, float size, long startedUs, int kind) {}

    /**
     * A request as it arrives.
     *
     * @param shard the shard that holds its data, or {@link #ANY_SHARD}
     * @param rules what it is held to; empty where its class or plan is not in the settings
     * @param instances how many instances serve requests of the volume; 1 at least
     * @param retry whether the client says that it sent the same request before
     * @param key the data that it touches; 0: none
     * @param units its cost, in cost units
     * @param remainingUs time until the client gives up on it
     */
    record Request(
            long id,
            int shard,
            Optional<RequestRules> rules,
            int instances,
            boolean retry,
            boolean write,
            long volume,
            long key,
            float units,
            long remainingUs) {}

    /**
     * End of an attempt.
     *
     * @param attempt index among the attempts of the request, from 0
     * @param requestDone whether the request ends with it
     * @param volumeUse 1 + the volume's served units in percent of its base rate; 0: not reported
     * @param unitsByOthers units that the shard served for the volume through other instances
     */
    record Outcome(
            long requestId,
            int attempt,
            long node,
            Status status,
            long latencyUs,
            boolean requestDone,
            int volumeUse,
            int unitsByOthers) {}

    /**
     * What a node reported of its load. Like {@link RequestRules} it brings all that is needed to
     * read it, because later settings may list other names, or the same ones in another order.
     *
     * @param names {@link Settings#loadNames} when the report was read
     * @param values by {@code names}, NaN for one that was not reported; empty where none was
     */
    record LoadFigures(List<String> names, float[] values) {
        /** Nothing was reported. */
        public static final LoadFigures NONE = new LoadFigures(List.of(), new float[0]);

        /** Returns the figure of a name; 0 where it was not reported. */
        public double figure(String name) {
            int index = names.indexOf(name);
            return index < 0 || index >= values.length || Float.isNaN(values[index])
                    ? 0
                    : values[index];
        }
    }

    /**
     * What other instances observed of a node.
     *
     * @param serviceTimePerUnitUs microseconds that the node takes for one unit
     * @param backlogUs microseconds that the load of others adds to an answer
     * @param latencyRatio time that answers take, as a fraction of their target latency
     * @param errorRatio fraction of answers in error, 0 to 1
     * @param silent whether nothing comes back from the node
     * @param startedUs the latest start that was observed; 0: long ago
     */
    record Hint(
            long node,
            double serviceTimePerUnitUs,
            double backlogUs,
            double latencyRatio,
            double errorRatio,
            boolean silent,
            long startedUs) {}

    /**
     * What the policy knows of a node.
     *
     * @param unconfirmed whether all of it comes from other instances
     * @param silent whether nothing comes back from the node
     * @param startedUs the start of its generation, as listed; 0: long ago
     * @param serviceTimePerUnitUs microseconds that the node takes for one unit
     * @param backlogUs microseconds that the load of others adds to an answer
     * @param latencyRatio time that answers take, as a fraction of their target latency
     * @param errorRatio fraction of answers in error, 0 to 1
     * @param answers how many answers the estimates come from
     * @param answeredAgoUs time since the last answer; -1: none yet
     * @param seenAgoUs time since the last sign of life; -1: none yet
     * @param inFlightUnits units of the attempts that are in flight at the node
     * @param maxInFlightUnits the bound on them; may be below 0
     * @param queued requests that wait in the node's queue
     * @param coldCapacityUnits units that may still be sent to a cold node in this window; {@code
     *     Double.MAX_VALUE} for a warm one
     */
    record NodeView(
            long node,
            int shard,
            boolean ready,
            boolean unconfirmed,
            boolean silent,
            long startedUs,
            double serviceTimePerUnitUs,
            double backlogUs,
            double latencyRatio,
            double errorRatio,
            int answers,
            long answeredAgoUs,
            long seenAgoUs,
            double inFlightUnits,
            double maxInFlightUnits,
            int queued,
            double coldCapacityUnits) {

        /** View of a node of which the policy knows nothing and to which it sends nothing. */
        static NodeView unknown(long node, int shard) {
            return new NodeView(
                    node,
                    shard,
                    false,
                    false,
                    false,
                    0,
                    0,
                    0,
                    0,
                    0,
                    0,
                    -1,
                    -1,
                    0,
                    0,
                    0,
                    Double.MAX_VALUE);
        }
    }

    /**
     * What is held of requests that are over.
     *
     * @param refusedRequests refusals by which retries are recognized
     * @param volumes volumes whose limits and demand are known
     */
    record MemoryView(int refusedRequests, int volumes) {}

    /**
     * This instance's shares of volumes' limits and of what may be sent to cold nodes, each 0 to 1.
     *
     * @param volumeShares by volume
     * @param nodeShares by node
     * @param otherVolumesShare of volumes that are not named
     * @param minShare of nodes that are not named, and of all volumes and nodes from {@code
     *     validUntilUs} on, as no report of a later time has come by then
     */
    record LimitShares(
            Map<Long, Double> volumeShares,
            Map<Long, Double> nodeShares,
            double otherVolumesShare,
            double minShare,
            long validUntilUs) {
        /** Nothing is allotted: each instance takes the even share that the policy computes. */
        public static final LimitShares EVEN = new LimitShares(Map.of(), Map.of(), 0, 0, 0);

        /**
         * Returns what a volume's limit is to be divided by to get this instance's share of it.
         *
         * @param even the divisor where nothing is allotted
         */
        double volumeDivisor(long nowUs, long volume, int even) {
            return divisor(volumeShares, nowUs, volume, even, otherVolumesShare);
        }

        /** The same for what may be sent to a cold node. */
        double nodeDivisor(long nowUs, long node, int even) {
            return divisor(nodeShares, nowUs, node, even, minShare);
        }

        /**
         * Returns the divisor for what is not known yet: this instance may always take its smallest
         * share, whatever the others have spent.
         */
        double maxDivisor(int even) {
            return this == EVEN ? even : 1 / minShare;
        }

        private double divisor(
                Map<Long, Double> shares, long nowUs, long key, int even, double other) {
            return this == EVEN
                    ? even
                    : 1 / (nowUs >= validUntilUs ? minShare : shares.getOrDefault(key, other));
        }

        /**
         * Returns the shares of one process, where so many serve as this instance and each takes as
         * much.
         */
        LimitShares dividedAmong(int processes) {
            return this == EVEN || processes == 1
                    ? this
                    : new LimitShares(
                            dividedAmong(volumeShares, processes),
                            dividedAmong(nodeShares, processes),
                            otherVolumesShare / processes,
                            minShare / processes,
                            validUntilUs);
        }

        private static Map<Long, Double> dividedAmong(Map<Long, Double> shares, int processes) {
            return shares.entrySet().stream()
                    .collect(
                            Collectors.toMap(
                                    Map.Entry::getKey, share -> share.getValue() / processes));
        }
    }

    /** Why a request got its final answer without being served. */
    enum Reason {
        /** Its class or plan is not in the settings. */
        UNKNOWN,
        /** No node serves its shard. */
        NO_NODE,
        /** Its node is silent. */
        SILENT,
        /** A retry that came too late to meet the target latency of the original request. */
        LATE_REPEAT,
        /** Its node is cold and may get no more in this window. */
        COLD,
        /** Its volume's limit leaves no room in time. */
        LIMIT,
        /** It was predicted to come too late, or to delay others that are worth as much. */
        CROWDED,
        /** The budget of further attempts was used up. */
        BUDGET,
        /** While it waited, it became too late to serve it in time. */
        EXPIRED,
        /** An attempt failed, and no further one was allowed or in time. */
        ATTEMPT_FAILED
    }

    /**
     * Requests that wait, and those that were not served.
     *
     * @param classes the classes in the settings, in their order, and then others of which requests
     *     wait
     * @param unserved by {@link Reason}: how many were not served since the start
     */
    record QueueView(List<ClassQueue> classes, long[] unserved) {}

    /**
     * The requests of one class that wait.
     *
     * @param oldestWaitUs the longest wait among them; 0 where none waits
     */
    record ClassQueue(String className, int queued, long oldestWaitUs) {
        ClassQueue withRequest(long waitUs) {
            return new ClassQueue(className, queued + 1, Math.max(oldestWaitUs, waitUs));
        }
    }

    /**
     * What a request is held to: its class, its plan and the bound on its attempts, as the settings
     * had them when its head arrived. It holds no index into the settings, because later ones may
     * list the class and the plan elsewhere or not at all.
     *
     * @param maxAttempts attempts of the request
     * @param mayHedge whether the settings permit two attempts of a request at once
     * @param mayCancel whether an attempt may be closed before its answer or its deadline
     */
    record RequestRules(
            RequestClass requestClass,
            Plan plan,
            int maxAttempts,
            boolean mayHedge,
            boolean mayCancel) {}

    /**
     * A class of requests.
     *
     * @param targetLatencyUs time within which an answer earns the full worth
     * @param targetLatencyStretch from the settings; the policy doesn't use it
     * @param deadlineUs time after which an answer earns nothing
     * @param worth what a unit served within the target latency earns
     * @param lateWorth what one earns after it; the policy doesn't use it
     * @param effect whether a request may run more than once
     * @param scope the nodes among which repeats of a keyed request are dropped
     * @param keyTtlUs how long nodes remember the key of a keyed request
     * @param keepOrder whether requests with the same key run one after another
     * @param streamed whether the answer is streamed; the policy doesn't use it
     * @param write whether a request changes data
     */
    record RequestClass(
            String name,
            long targetLatencyUs,
            double targetLatencyStretch,
            long deadlineUs,
            double worth,
            double lateWorth,
            Effect effect,
            Scope scope,
            long keyTtlUs,
            boolean keepOrder,
            boolean streamed,
            boolean write) {}

    /**
     * A volume's plan. Rates are in units a second over all instances and nodes.
     *
     * @param baseRate the rate that reported use is a percentage of
     * @param reserveRate the rate whose units earn their full worth
     * @param weight the volume's weight among those that ask for more than their reserve
     * @param worthFactor factor on the worth of the class
     * @param limitRate the rate that may not be exceeded; 0: no limit
     * @param limitBurst units that the limit lets pass at once after a pause
     * @param limitSlack units by which the limit may be exceeded
     */
    record Plan(
            String name,
            double baseRate,
            double reserveRate,
            double weight,
            double worthFactor,
            double limitRate,
            double limitBurst,
            double limitSlack) {}

    /**
     * What the rules and the site permit. An absent number is 0 and an absent permission false.
     *
     * @param maxAttempts attempts of one request
     * @param mayCancel whether an attempt may be closed before its answer or its deadline
     * @param mayProbe whether nodes may be probed
     * @param mayMessagePeers whether instances may exchange messages; the policy doesn't
     * @param mayHedge whether a request may have two attempts in flight
     * @param mayAdviseRetry whether a refusal may advise when to send the request again
     * @param maxRetryAfterUs the longest time that it may advise
     * @param stopSendingWithinUs from the settings; the policy doesn't use it
     * @param askWithinUs from the settings; the policy doesn't use it
     * @param hasAttemptBudget whether attempts after the first of a request are limited
     * @param freeFurtherAttempts such attempts that a budget window always allows
     * @param furtherAttemptsRatio such attempts that it allows for each request in it
     * @param budgetWindowUs length of the budget window
     * @param coldSpeedFraction speed of a node at its start, as a fraction of its full speed
     * @param rampUs time from a node's start until its full speed
     * @param overloadFactor load at which a node fails, in multiples of its speed
     * @param overloadWindowUs time over which that load is measured
     * @param coldNodeUnits units that any node bears in that time at its start
     * @param orderedKeyPauseUs pause of an ordered key after an attempt that may still run
     * @param streamsPerConnection attempts that one connection carries at once
     */
    record Limits(
            int maxAttempts,
            boolean mayCancel,
            boolean mayProbe,
            boolean mayMessagePeers,
            boolean mayHedge,
            boolean mayAdviseRetry,
            long maxRetryAfterUs,
            long stopSendingWithinUs,
            long askWithinUs,
            boolean hasAttemptBudget,
            double freeFurtherAttempts,
            double furtherAttemptsRatio,
            long budgetWindowUs,
            double coldSpeedFraction,
            long rampUs,
            double overloadFactor,
            long overloadWindowUs,
            double coldNodeUnits,
            long orderedKeyPauseUs,
            int streamsPerConnection) {

        Limits withAttemptBudget(double free, double ratio, long windowUs) {
            return hasAttemptBudget
                    ? this
                    : new Limits(
                            maxAttempts,
                            mayCancel,
                            mayProbe,
                            mayMessagePeers,
                            mayHedge,
                            mayAdviseRetry,
                            maxRetryAfterUs,
                            stopSendingWithinUs,
                            askWithinUs,
                            true,
                            free,
                            ratio,
                            windowUs,
                            coldSpeedFraction,
                            rampUs,
                            overloadFactor,
                            overloadWindowUs,
                            coldNodeUnits,
                            orderedKeyPauseUs,
                            streamsPerConnection);
        }
    }

    /**
     * The settings of an instance.
     *
     * @param seed of the random choices in placing new objects
     * @param rank this instance's number among all, from 0
     * @param instances how many instances serve the same nodes; 1 at least
     * @param listOnRequest whether the node list comes only after a subscription
     * @param tickUs granularity of the instance's clock
     * @param loadNames names of the values in a node's load report, in their order
     * @param meanUnits mean cost of a request
     * @param maxUnits cost of the largest request
     * @param fairWorth worth of units beyond a volume's reserve, as a fraction of reserved ones
     * @param spareWorth the same, at least, of a volume that asks for far more than the others
     * @param meterPeriodUs period of the nodes' reports of use; the policy doesn't use it
     * @param reportsOthersUnits whether answers report units served through other instances; the
     *     policy doesn't use it
     * @param probeCost what a probe costs, in mean requests; 0 or more
     */
    record Settings(
            long seed,
            int rank,
            int instances,
            int zone,
            boolean listOnRequest,
            long tickUs,
            List<RequestClass> classes,
            List<Plan> plans,
            List<String> loadNames,
            Limits limits,
            double meanUnits,
            double maxUnits,
            double fairWorth,
            double spareWorth,
            long meterPeriodUs,
            boolean reportsOthersUnits,
            double probeCost) {
        /** Returns the names of the classes, in their order. */
        public List<String> classNames() {
            return classes.stream().map(RequestClass::name).toList();
        }

        /** Returns the rules of a request that arrives under these settings. */
        public RequestRules rules(RequestClass requestClass, Plan plan) {
            return new RequestRules(
                    requestClass,
                    plan,
                    limits.maxAttempts(),
                    limits.mayHedge(),
                    limits.mayCancel());
        }

        /**
         * Returns the rules of a request that arrives under these settings, by the indexes of its
         * class and its plan; empty where the settings have no such class or plan.
         */
        public Optional<RequestRules> rules(int requestClass, int plan) {
            return requestClass < classes.size() && plan < plans.size()
                    ? Optional.of(rules(classes.get(requestClass), plans.get(plan)))
                    : Optional.empty();
        }

        /**
         * Returns the plan of the same name in these settings, whose limit holds for a volume also
         * where a request arrived under earlier ones; {@code plan} itself where they have none.
         */
        Plan planInForce(Plan plan) {
            return plans.contains(plan)
                    ? plan
                    : plans.stream()
                            .filter(listed -> listed.name().equals(plan.name()))
                            .findFirst()
                            .orElse(plan);
        }

        /**
         * Returns these settings with a budget of further attempts; a budget that they already have
         * stays.
         */
        Settings withAttemptBudget(double free, double ratio, long windowUs) {
            return new Settings(
                    seed,
                    rank,
                    instances,
                    zone,
                    listOnRequest,
                    tickUs,
                    classes,
                    plans,
                    loadNames,
                    limits.withAttemptBudget(free, ratio, windowUs),
                    meanUnits,
                    maxUnits,
                    fairWorth,
                    spareWorth,
                    meterPeriodUs,
                    reportsOthersUnits,
                    probeCost);
        }

        /** Returns these settings for one of another number of instances. */
        public Settings forInstance(int newRank, int newInstances) {
            return new Settings(
                    seed,
                    newRank,
                    newInstances,
                    zone,
                    listOnRequest,
                    tickUs,
                    classes,
                    plans,
                    loadNames,
                    limits,
                    meanUnits,
                    maxUnits,
                    fairWorth,
                    spareWorth,
                    meterPeriodUs,
                    reportsOthersUnits,
                    probeCost);
        }
    }
}
