package cypressglade.storm;

import cypressglade.storm.RetrySlots.Arrival;
import cypressglade.storm.StormDetector.State;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Admission control for client retries. Detects retry storms by node, by volume and for the whole
 * instance, gives refused clients a time to retry, admits retries as far as the state of the storm
 * allows, and keeps uncertain writes from running twice. It is asked before the scheduling policy
 * ({@link #admit}) and when the policy refuses a request ({@link #scheduleRetry}); original
 * requests always go on to the policy.
 *
 * <p>Time and randomness come in as arguments. Not safe for use by several threads.
 */
public final class RetryAdmission {
    /** How late a retry may be for its slot: the way of the answer and of the retry. */
    private static final Duration SLOT_GRACE = Duration.ofMillis(250);

    private static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(1);

    /** Part of a node's speed that is promised at least, however many original requests come. */
    private static final double MIN_PROMISED_FRACTION = 0.1;

    /** Part of all nodes' speed that is kept for new objects, which any node can take. */
    private static final double NEW_OBJECTS_FRACTION = 0.1;

    /** Retries without a slot that each served request adds to the budget while damping. */
    private static final double TOKENS_PER_SERVED_REQUEST = 0.5;

    /** Part of the maximum delay over which retries are spread that could get no slot. */
    private static final double DELAY_SPREAD_FRACTION = 0.25;

    private final StormSettings settings;
    private final RandomGenerator random;
    private final Listener listener;
    private final StormMemory memory;
    private final Map<Integer, NodeScope> nodes;
    private final Map<Long, Scope> volumes;
    private final Set<Scope> unsettled = new HashSet<>(); // scopes that are not calm
    private final Map<Integer, Speed> nodeSpeeds = new HashMap<>();
    private final Scope instance;
    private final WriteRegister writes;
    private Duration maxRetryDelay = Duration.ZERO;
    private double totalUnitsPerSecond;
    private int bookedSlots;

    /** What becomes of a request before the scheduling policy is asked. */
    public enum Outcome {
        /** The scheduling policy decides. */
        PASS,
        /** Refused, with a time to retry. */
        TURNED_AWAY,
        /** Failed: a write that may have run already is not sent again. */
        IN_DOUBT
    }

    /**
     * The decision on a request.
     *
     * @param outcome what becomes of the request
     * @param retryAfter delay until the client should retry; zero where the request is not refused,
     *     or where no time may be told
     */
    public record Decision(Outcome outcome, Duration retryAfter) {
        private static final Decision PASS = new Decision(Outcome.PASS, Duration.ZERO);
        private static final Decision IN_DOUBT = new Decision(Outcome.IN_DOUBT, Duration.ZERO);
    }

    /** Events that are counted. */
    public enum Count {
        /** A scope began to damp. */
        DAMPINGS,
        /** A refused client was given a slot. */
        SLOTS_GIVEN,
        /** A retry came at the time it was told or later, while its booking was still held. */
        SLOTS_KEPT,
        /** A retry came before its slot. */
        CAME_EARLY,
        /** A retry was refused. */
        TURNED_AWAY,
        /** A request was not sent, as it could have run a write twice. */
        WRITES_KEPT_ONCE
    }

    /** Receives state changes and counted events. */
    public interface Listener {
        /**
         * The state of a scope changed.
         *
         * @param scope name of the node, volume or instance
         */
        void stateChanged(String scope, State state, Instant now);

        /** An event happened once. */
        void counted(Count event);
    }

    /**
     * How fast a node works.
     *
     * @param unitsPerSecond the node's speed
     * @param maxUnitsPerSecond what it can take at most while it is cold; infinite when warm
     */
    public record Speed(double unitsPerSecond, double maxUnitsPerSecond) {}

    /** What a storm is detected for: a node, a volume or the instance. */
    private class Scope {
        final String name;
        final StormDetector detector;
        final RetryBudget budget;
        State state = State.CALM;

        Scope(String name, Instant now) {
            this.name = name;
            detector = new StormDetector(settings.retryRatio(), settings.recoveryTime(), now);
            budget = new RetryBudget(now);
        }

        void updateState(Instant now) {
            State next = detector.update(now);
            if (next != state) {
                state = next;
                listener.stateChanged(name, next, now);
                if (next == State.DAMPING) {
                    listener.counted(Count.DAMPINGS);
                }
                if (next == State.CALM) {
                    unsettled.remove(this);
                } else {
                    unsettled.add(this);
                }
            }
        }

        boolean admitsRetry(Instant now) {
            return state == State.CALM || budget.tryWithdraw(now);
        }

        /** Called when this scope is dropped in favour of another one. */
        void onDropped() {
            unsettled.remove(this);
        }
    }

    /** A scope with retry slots: one shard, or new objects, which any node can take. */
    private final class NodeScope extends Scope {
        private final int shard;
        private final RateEstimator originalUnits;
        private final RetrySlots slots = new RetrySlots(settings.slotLength(), SLOT_GRACE);

        NodeScope(int shard, Instant now) {
            super(shard < 0 ? "new objects" : "shard " + shard, now);
            this.shard = shard;
            originalUnits = new RateEstimator(RATE_TIME_CONSTANT, now);
        }

        /** Units per second that it will be able to take beside original requests. */
        double unitsPerSecondForRetries(Instant now) {
            if (shard < 0) {
                return NEW_OBJECTS_FRACTION
                        * settings.promisedSpeedFraction()
                        * totalUnitsPerSecond;
            }
            Speed speed = nodeSpeeds.get(shard);
            if (speed == null) {
                return 0;
            }
            double promised =
                    (1 - NEW_OBJECTS_FRACTION)
                                    * settings.promisedSpeedFraction()
                                    * speed.unitsPerSecond
                            - originalUnits.perSecond(now);
            return Math.min(
                    Math.max(promised, MIN_PROMISED_FRACTION * speed.unitsPerSecond),
                    speed.maxUnitsPerSecond);
        }

        /** Whether the current slot has room beside the retries that were promised it. */
        boolean hasSpareRoom(Instant now) {
            return slots.bookedUnits(now)
                    < unitsPerSecondForRetries(now) * settings.slotLength().toNanos() / 1e9;
        }

        /** Books or releases slots, and keeps the total of bookings; nothing else may do so. */
        <T> T updateSlots(Function<RetrySlots, T> update) {
            int before = slots.bookingCount();
            T result = update.apply(slots);
            bookedSlots += slots.bookingCount() - before;
            return result;
        }

        @Override
        void onDropped() {
            super.onDropped();
            bookedSlots -= slots.bookingCount();
        }
    }

    /** Creates the admission control of one instance whose memory nobody bounds. */
    public RetryAdmission(
            StormSettings settings, RandomGenerator random, Listener listener, Instant now) {
        this(settings, StormMemory.UNBOUNDED, random, listener, now);
    }

    /**
     * Creates the admission control of one instance, with every scope calm and no slots booked.
     *
     * @param memory how much is remembered; the least recently used is dropped
     * @param random spreads retries in time
     * @param listener receives state changes and counted events, in the caller's thread
     */
    public RetryAdmission(
            StormSettings settings,
            StormMemory memory,
            RandomGenerator random,
            Listener listener,
            Instant now) {
        this.settings = settings;
        this.memory = memory;
        nodes = scopes(memory.scopes());
        volumes = scopes(memory.scopes());
        this.random = random;
        this.listener = listener;
        instance = new Scope("instance", now);
        writes = new WriteRegister(memory.writes(), settings.uncertainWriteTtl(), now);
    }

    private static <K, S extends Scope> Map<K, S> scopes(int capacity) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, S> eldest) {
                if (size() <= capacity) {
                    return false;
                }
                eldest.getValue().onDropped();
                return true;
            }
        };
    }

    /**
     * Sets the current speeds of all nodes, by shard; where several instances send to a node, this
     * instance's share of its speed.
     */
    public void setNodeSpeeds(Map<Integer, Speed> speeds) {
        nodeSpeeds.clear();
        nodeSpeeds.putAll(speeds);
        totalUnitsPerSecond =
                nodeSpeeds.values().stream()
                        .mapToDouble(
                                speed -> Math.min(speed.unitsPerSecond, speed.maxUnitsPerSecond))
                        .sum();
    }

    /**
     * Updates the states of all scopes that are not calm. To be called several times a second, as
     * states change with time even when no requests arrive.
     */
    public void tick(Instant now) {
        List.copyOf(unsettled).forEach(scope -> scope.updateState(now));
    }

    /** Records that a request arrived and decides whether the scheduling policy is asked. */
    public Decision admit(ClientRequest request, Instant now) {
        NodeScope node = node(request, now);
        Scope volume = volume(request, now);
        Arrival arrival =
                request.isRetry()
                        ? node.updateSlots(slots -> slots.claim(request, now))
                        : Arrival.UNBOOKED;
        for (Scope scope : List.of(node, volume, instance)) {
            scope.detector.recordRequest(now, request.isRetry(), arrival == Arrival.EARLY);
            scope.updateState(now);
        }
        if (!request.isRetry()) {
            node.originalUnits.add(now, request.units());
            for (Scope scope : List.of(node, volume, instance)) {
                scope.budget.deposit(scope.detector.admittedRetryRatio(now));
            }
        }
        if (writes.mayRunTwice(request, now)) {
            listener.counted(Count.WRITES_KEPT_ONCE);
            return Decision.IN_DOUBT;
        }
        if (!request.isRetry()) {
            return Decision.PASS;
        }
        if (arrival != Arrival.UNBOOKED) {
            listener.counted(arrival == Arrival.EARLY ? Count.CAME_EARLY : Count.SLOTS_KEPT);
        }
        // One of many instances may see too few requests for a node to judge by; then what it sees
        // over all nodes has to do.
        boolean useInstanceState =
                instance.state != State.CALM && !node.detector.hasEnoughRequests(now);
        if (!useInstanceState && node.state == State.CALM && volume.state == State.CALM
                || arrival == Arrival.ON_TIME) {
            return Decision.PASS;
        }
        if (arrival == Arrival.UNBOOKED
                && node.hasSpareRoom(now)
                && node.admitsRetry(now)
                && volume.admitsRetry(now)
                && (!useInstanceState || instance.admitsRetry(now))) {
            return Decision.PASS;
        }
        listener.counted(Count.TURNED_AWAY);
        return new Decision(Outcome.TURNED_AWAY, scheduleRetry(request, Duration.ZERO, now));
    }

    /** Sets the longest retry delay that clients honour; zero where no time may be told. */
    public void setMaxRetryDelay(Duration maxRetryDelay) {
        this.maxRetryDelay = maxRetryDelay;
    }

    /**
     * Records that a request was served. Each one adds to the budgets of retries without a slot, as
     * in gRPC's retry throttling: where requests succeed there is room for retries.
     */
    public void recordServed(ClientRequest request, Instant now) {
        for (Scope scope : List.of(node(request, now), volume(request, now), instance)) {
            scope.budget.deposit(TOKENS_PER_SERVED_REQUEST);
        }
    }

    /**
     * Records that a request is refused, by the scheduling policy or by {@link #admit}, and books a
     * slot for its retry where one is free.
     *
     * @param minDelay the delay that the policy advises; the result is not shorter
     * @return delay from now until the client should retry; zero where no time may be told
     */
    public Duration scheduleRetry(ClientRequest refused, Duration minDelay, Instant now) {
        NodeScope node = node(refused, now);
        Scope volume = volume(refused, now);
        for (Scope scope : List.of(node, volume, instance)) {
            scope.detector.recordRefusal(now);
        }
        if (maxRetryDelay.isZero()) {
            return Duration.ZERO;
        }
        Optional<Instant> time =
                bookedSlots >= memory.bookedSlots()
                        ? Optional.empty()
                        : node.updateSlots(
                                slots ->
                                        slots.book(
                                                refused,
                                                node.unitsPerSecondForRetries(now),
                                                now,
                                                now.plus(minDelay),
                                                now.plus(maxRetryDelay),
                                                random));
        if (time.isPresent()) {
            listener.counted(Count.SLOTS_GIVEN);
            return Duration.between(now, time.get());
        }
        long spread =
                (long) (maxRetryDelay.toNanos() * DELAY_SPREAD_FRACTION * random.nextDouble());
        Duration delay = maxRetryDelay.minusNanos(spread);
        return delay.compareTo(minDelay) < 0 ? minDelay : delay;
    }

    /** Whether this program should keep its own further attempts few: the instance is not calm. */
    public boolean shouldLimitAttempts() {
        return instance.state != State.CALM;
    }

    /**
     * The writes that could come again. Whoever sends a request on that {@link #admit} has passed
     * enters it here.
     */
    public WriteRegister writes() {
        return writes;
    }

    /** The scopes that are not calm, by the name that operators read. */
    public Map<String, State> activeStorms() {
        Map<String, State> states = new LinkedHashMap<>();
        unsettled.forEach(scope -> states.put(scope.name, scope.state));
        return states;
    }

    /** Number of bookings that are held, over all nodes. */
    public int bookedSlots() {
        return bookedSlots;
    }

    private NodeScope node(ClientRequest request, Instant now) {
        return nodes.computeIfAbsent(
                request.shard() < 0 ? -1 : request.shard(), shard -> new NodeScope(shard, now));
    }

    private Scope volume(ClientRequest request, Instant now) {
        return volumes.computeIfAbsent(
                request.volume(), volume -> new Scope("volume " + Long.toHexString(volume), now));
    }
}
