package cypressglade.core;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a host tells the scheduler and what the scheduler orders. One instance serves one host
 * (head); events carry the host's clock in microseconds, which only goes forward. Every decision is
 * made in {@link Brain}.
 */
public interface Scheduler {

    /**
     * Settings that hold from now on; classes and plans are told by their place in the latest ones.
     */
    void use(Settings settings);

    /** The node list, or a change to it. */
    void nodes(long nowUs, ListKind kind, List<NodeEntry> entries);

    /** A client's request, which is owed exactly one final answer. */
    void request(long nowUs, Request request);

    /** How one attempt ended. */
    void outcome(long nowUs, Outcome outcome);

    /** A streamed answer has begun: the attempt belongs to the client from now on. */
    void streamStarted(long nowUs, long requestId, int attempt, long node, long latencyUs);

    /** The request is over and nothing is owed for it. */
    void withdrawn(long nowUs, long requestId);

    /**
     * What a probe found; {@code load} holds the values of {@link Settings#loadNames}, or nothing.
     */
    void probed(long nowUs, long node, Status status, long latencyUs, float[] load);

    /**
     * What others know of a node; counts only where this instance has seen nothing of the node
     * lately.
     */
    void hint(long nowUs, Hint hint);

    /** This head's parts of what all heads share, from now on, in place of even ones. */
    void parts(long nowUs, Parts parts);

    /** What is known of each node. */
    List<NodeView> views(long nowUs);

    /** Work that is held, and what was given up since the start. */
    Load load(long nowUs);

    /**
     * A message of another head of the tier. Nothing is made of it by default: heads tell each
     * other nothing, as lending what is spare of a limit brought nothing (docs/design.md).
     */
    default void message(long nowUs, long fromRank, byte[] text) {
        // deliberately empty; see above
    }

    /** A timer of this instance is due. */
    void timer(long nowUs, long token);

    /**
     * What the scheduler may order; each call takes effect at the time of the event being handled.
     */
    interface Actions {
        /** Sends the next attempt of a request; time-out 0 means until the client stops waiting. */
        void send(long requestId, long node, long timeoutUs);

        /**
         * Final answer: not done, harmless to try again, best after the given time (0: no advice).
         */
        void refuse(long requestId, long retryAfterUs);

        /** Final answer: failed, with no promise about effects. */
        void fail(long requestId);

        void cancel(long requestId, int attempt);

        void probe(long node);

        void timer(long delayUs, long token);

        /**
         * Sends at most 256 bytes to one head, or to all others with {@link Scheduler#EVERY_PEER}.
         */
        void tell(long toRank, byte[] text);

        /** Asks for changes of the node list from now on, or stops them. */
        void watch(boolean on);
    }

    /** Address of every other head in {@link Actions#tell}. */
    long EVERY_PEER = 0xFFFFFFFFL;

    /** Shard of a new object, which any node can take. */
    int ANY_SHARD = -1;

    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    enum State {
        GONE,
        READY,
        DRAINING
    }

    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which nodes drop the repeats of a keyed request. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Outcome of an attempt or a probe; the flag tells whether the work may have run. */
    enum Status {
        OK(true),
        ERROR(true),
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        MOOT(false);

        /** False where the outcome proves that the work never ran. */
        public final boolean mayHaveRun;

        Status(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** One node in a list; {@code startedUs} 0 means long ago. */
    record NodeEntry(
            long node, int zone, State state, int shard, float size, long startedUs, int kind) {}

    /**
     * A request as it arrives; {@code leftUs} is the time until the client gives up on this try.
     */
    record Request(
            long id,
            int shard,
            int requestClass,
            int plan,
            int heads,
            boolean repeat,
            boolean write,
            long volume,
            long key,
            float units,
            long leftUs) {}

    /**
     * End of an attempt. {@code used} is 1 + the volume's served units in percent of its rate (0:
     * not told), {@code byOthers} the units the shard served it through other heads.
     */
    record Outcome(
            long requestId,
            int attempt,
            long node,
            Status status,
            long latencyUs,
            boolean over,
            int used,
            int byOthers,
            float[] load) {}

    /**
     * Hearsay on a node: microseconds a unit, microseconds that others' load adds to an answer,
     * share of their aim that answers take, share of answers in error, whether nothing comes back,
     * and the latest start (0: long ago).
     */
    record Hint(
            long node,
            double paceUs,
            double backlogUs,
            double strain,
            double errors,
            boolean silent,
            long startedUs) {}

    /**
     * A node as the module sees it. {@code guarded} tells that all of it is hearsay; {@code
     * answeredAgoUs} and {@code seenAgoUs} are -1 where no answer, and no sign of life, came yet;
     * {@code coldRoom} is what may still be sent to a cold node, {@code Double.MAX_VALUE} to a warm
     * one.
     */
    record NodeView(
            long node,
            int shard,
            boolean ready,
            boolean guarded,
            boolean silent,
            long startedUs,
            double paceUs,
            double backlogUs,
            double strain,
            double errors,
            int answers,
            long answeredAgoUs,
            long seenAgoUs,
            double outUnits,
            double boundUnits,
            int held,
            double coldRoom) {

        /** Of a node that the module keeps nothing of, and sends nothing to. */
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
     * This head's parts of limits of volumes and of what cold nodes bear, 0 to 1: by volume, by
     * node, {@code rest} for volumes that are not named, and {@code least} for other nodes, and for
     * all from {@code untilUs} on, as word of a later time is lacking then.
     */
    record Parts(
            Map<Long, Double> volumes,
            Map<Long, Double> nodes,
            double rest,
            double least,
            long untilUs) {
        /** Nothing is shared: the even part that the module reckons itself holds. */
        public static final Parts EVEN = new Parts(Map.of(), Map.of(), 0, 0, 0);

        /**
         * A part of a volume's limit as that of one of so many heads; {@code even} where none is
         * shared.
         */
        double volumeHeads(long nowUs, long volume, int even) {
            return heads(volumes, nowUs, volume, even, rest);
        }

        /** The same of what a cold node bears. */
        double nodeHeads(long nowUs, long node, int even) {
            return heads(nodes, nowUs, node, even, least);
        }

        /** Of what is not known yet: whatever others have spent, so much is this head's. */
        double leastHeads(int even) {
            return this == EVEN ? even : 1 / least;
        }

        private double heads(Map<Long, Double> told, long nowUs, long key, int even, double other) {
            return this == EVEN
                    ? even
                    : 1 / (nowUs >= untilUs ? least : told.getOrDefault(key, other));
        }

        /** The same where so many processes stand for this head, each of which takes as much. */
        Parts among(int processes) {
            return this == EVEN || processes == 1
                    ? this
                    : new Parts(
                            among(volumes, processes),
                            among(nodes, processes),
                            rest / processes,
                            least / processes,
                            untilUs);
        }

        private static Map<Long, Double> among(Map<Long, Double> told, int processes) {
            return told.entrySet().stream()
                    .collect(
                            Collectors.toMap(
                                    Map.Entry::getKey, part -> part.getValue() / processes));
        }
    }

    /** Why a request got its final answer without being served. */
    enum Reason {
        UNKNOWN,
        NO_NODE,
        SILENT,
        LATE_REPEAT,
        COLD,
        LIMIT,
        CROWDED,
        BUDGET,
        EXPIRED,
        ATTEMPT_FAILED
    }

    /**
     * By class: requests held, and the longest wait among them; by reason: requests given up so
     * far.
     */
    record Load(int[] held, long[] oldestUs, long[] givenUp) {}

    /** A class of requests; times in microseconds. */
    record RequestClass(
            String name,
            long aimUs,
            double aimStretch,
            long deadlineUs,
            double worth,
            double lateWorth,
            Effect effect,
            Scope scope,
            long keyTtlUs,
            boolean keepOrder,
            boolean streamed,
            boolean write) {}

    /** A volume's plan; rates in units a second over all heads and nodes, limit 0 means none. */
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
     * What the rules and the site permit; an absent figure is 0 and an absent permission false.
     * {@code streams} is how many attempts one connection carries at once.
     */
    record Limits(
            int attempts,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean secondCopies,
            boolean retryAfter,
            long maxRetryAfterUs,
            long stopSendingWithinUs,
            long askWithinUs,
            boolean budget,
            double freeResends,
            double furtherRatio,
            long budgetWindowUs,
            double coldFrom,
            long rampUs,
            double overloadFactor,
            long fallUs,
            double youngUnits,
            long turnGapUs,
            int streams) {

        Limits within(double free, double ratio, long windowUs) {
            return budget
                    ? this
                    : new Limits(
                            attempts,
                            cancel,
                            probes,
                            peers,
                            secondCopies,
                            retryAfter,
                            maxRetryAfterUs,
                            stopSendingWithinUs,
                            askWithinUs,
                            true,
                            free,
                            ratio,
                            windowUs,
                            coldFrom,
                            rampUs,
                            overloadFactor,
                            fallUs,
                            youngUnits,
                            turnGapUs,
                            streams);
        }
    }

    /**
     * The settings given at start; {@code probePrice} is what a probe costs, in mean requests'
     * worth.
     */
    record Settings(
            long seed,
            int rank,
            int heads,
            int zone,
            boolean listOnRequest,
            long tickUs,
            List<RequestClass> classes,
            List<Plan> plans,
            List<String> loadNames,
            Limits limits,
            double meanUnits,
            double mostUnits,
            double fairWorth,
            double spareWorth,
            long meterUs,
            boolean tellsOthers,
            double probePrice) {
        public List<String> classNames() {
            return classes.stream().map(RequestClass::name).toList();
        }

        /**
         * The same with a budget of further attempts, of which what is there already is kept to.
         */
        Settings within(double freeResends, double furtherRatio, long windowUs) {
            return new Settings(
                    seed,
                    rank,
                    heads,
                    zone,
                    listOnRequest,
                    tickUs,
                    classes,
                    plans,
                    loadNames,
                    limits.within(freeResends, furtherRatio, windowUs),
                    meanUnits,
                    mostUnits,
                    fairWorth,
                    spareWorth,
                    meterUs,
                    tellsOthers,
                    probePrice);
        }

        /** The same for one instance of a tier of another size. */
        public Settings among(int newRank, int newHeads) {
            return new Settings(
                    seed,
                    newRank,
                    newHeads,
                    zone,
                    listOnRequest,
                    tickUs,
                    classes,
                    plans,
                    loadNames,
                    limits,
                    meanUnits,
                    mostUnits,
                    fairWorth,
                    spareWorth,
                    meterUs,
                    tellsOthers,
                    probePrice);
        }
    }
}
