package cypressglade.lab;

import cypressglade.storm.ClientRequest;
import cypressglade.storm.RetryAdmission;
import cypressglade.storm.RetryAdmission.Speed;
import cypressglade.storm.StormDetector;
import cypressglade.storm.StormSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Storms of second tries in virtual time, without sockets: schedulers, nodes that work off a queue,
 * come back cold and put off a part of their writes' work, and clients with habits of coming again.
 * What is done about storms is the code of the program ({@link RetryAdmission}); who is sent on is
 * decided by a plain rule in place of the decision module: each scheduler has as much out at a node
 * as is worked off in a part of a client's patience, one request at the least, and refuses what
 * comes beyond; at a node that gave no answer in time they test in turn, by a request each.
 *
 * <p>All chance comes from the scene's seed. A scene is played by {@link #play}, once.
 */
public final class StormLab {
    private static final Duration WAY = Duration.ofMillis(1);
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration LONGEST_ADVICE = Duration.ofSeconds(1);
    private static final Duration PLAIN_ADVICE = Duration.ofMillis(50);
    // Of all schedulers, at a silent node.
    private static final Duration TEST_GAP = Duration.ofMillis(62);
    private static final Duration LOOK = Duration.ofMillis(500);
    private static final Duration FLUSH = Duration.ofSeconds(2);
    private static final int MOST_TRIES = 20;
    private static final int KINDS = 2; // of requests: reads, and writes
    private static final double UNITS = 2;
    private static final double OUT_PART = 0.25; // of a client's patience, that may wait at a node
    private static final double PUT_OFF = 0.3; // of a write's work, done at the next flush
    private static final double COLD = 0.31;
    private static final Duration WARM_AFTER = Duration.ofSeconds(15);
    private static final double RECOVERED = 0.95;
    private static final int STEADY = 3; // seconds that have to be as good, one after another

    private static final RetryAdmission.Listener QUIET =
            new RetryAdmission.Listener() {
                @Override
                public void stateChanged(String place, StormDetector.State state, Instant at) {}

                @Override
                public void counted(RetryAdmission.Count what) {}
            };

    private final Scene scene;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private final Node[] nodes;
    private final Head[] heads;
    private final long[] served;
    private final long[] asked = new long[Habit.values().length];
    private final long[] answered = new long[Habit.values().length];
    private Instant now = Instant.EPOCH;
    private long lastEvent;
    private long lastTry;
    private long tries;
    private long turned;
    private long nanos;
    private long decisions;

    /** What a client does that was not served. */
    public enum Habit {
        NEVER,
        AT_ONCE,
        FIXED,
        EXPONENTIAL,
        HEEDS
    }

    /** Nodes {@code from} to {@code to} are away for a time. */
    public record Outage(int from, int to, Duration begin, Duration end) {}

    /**
     * What is played.
     *
     * @param speed of a node, in units a second
     * @param load first tries, as a part of what all nodes can do
     * @param habits of the clients, in turn
     * @param storms what is done about storms; nothing without
     */
    public record Scene(
            int schedulers,
            int nodes,
            int clients,
            double speed,
            double load,
            List<Habit> habits,
            List<Outage> outages,
            Duration span,
            Optional<StormSettings> storms,
            long seed) {}

    /**
     * What came of it.
     *
     * @param recoveryS seconds from the last outage's end until as much is served as before the
     *     first, for good; -1 where that did not come
     * @param worst the least that was served in a second from the first outage on, of what was
     *     before
     * @param tries of clients, first and further ones
     * @param turned away before the plain rule was asked
     * @param decisionUs processor time that {@link RetryAdmission} took for a decision, on average
     * @param perSecond how many were served in each second
     * @param served part of what was asked that was served in the end, by habit
     */
    public record Result(
            double recoveryS,
            double worst,
            long tries,
            long turned,
            double decisionUs,
            List<Long> perSecond,
            Map<Habit, Double> served) {}

    private record Event(Instant at, long number, Runnable run) {}

    /** One request of a client, through all its tries. */
    private static final class Ask {
        private final int node;
        private final int client;
        private final boolean write;
        private final Habit habit;
        private final long piece;
        private int tries;

        Ask(int node, int client, boolean write, Habit habit, long piece) {
            this.node = node;
            this.client = client;
            this.write = write;
            this.habit = habit;
            this.piece = piece;
        }
    }

    /** A queue worked off in turn, at a speed that rises after a start. */
    private final class Node {
        private final int number;
        private Instant started = Instant.EPOCH.minus(WARM_AFTER);
        private Instant free = Instant.EPOCH;
        private double putOff;

        Node(int number) {
            this.number = number;
        }

        boolean away() {
            return scene.outages.stream()
                    .anyMatch(
                            outage ->
                                    number >= outage.from
                                            && number < outage.to
                                            && !now.isBefore(Instant.EPOCH.plus(outage.begin))
                                            && now.isBefore(Instant.EPOCH.plus(outage.end)));
        }

        double speed() {
            double warm =
                    Math.min(
                            1,
                            Duration.between(started, now).toNanos()
                                    / (double) WARM_AFTER.toNanos());
            return scene.speed * (COLD + (1 - COLD) * warm);
        }

        /** Takes work; returns when it is done. */
        Instant take(double units, boolean write) {
            double work = write ? units * (1 - PUT_OFF) : units;
            putOff += write ? units * PUT_OFF : 0;
            free = (free.isBefore(now) ? now : free).plusNanos((long) (work / speed() * 1e9));
            return free;
        }

        void flush() {
            free = (free.isBefore(now) ? now : free).plusNanos((long) (putOff / speed() * 1e9));
            putOff = 0;
            after(FLUSH, this::flush);
        }
    }

    /** A scheduler: what it lately saw of each node, and what it does about storms. */
    private final class Head {
        private final Optional<RetryAdmission> storms;
        private final int[] out = new int[scene.nodes];
        private final int most =
                (int)
                        Math.max(
                                1,
                                OUT_PART
                                        * PATIENCE.toNanos()
                                        / 1e9
                                        * scene.speed
                                        / UNITS
                                        / scene.schedulers);
        private final Instant[] tested = new Instant[scene.nodes];
        private final boolean[] down = new boolean[scene.nodes];

        Head(long seed) {
            Arrays.fill(tested, Instant.EPOCH);
            storms =
                    scene.storms.map(
                            terms ->
                                    new RetryAdmission(
                                            terms, new SplittableRandom(seed), QUIET, now));
            storms.ifPresent(
                    kept -> {
                        kept.setMaxRetryDelay(LONGEST_ADVICE);
                        look();
                    });
        }

        private void look() {
            Map<Integer, Speed> speeds = new HashMap<>();
            for (Node node : nodes) {
                if (!down[node.number]) {
                    speeds.put(
                            node.number,
                            new Speed(node.speed() / scene.schedulers, Double.POSITIVE_INFINITY));
                }
            }
            storms.get().setNodeSpeeds(speeds);
            storms.get().tick(now);
            after(LOOK, this::look);
        }

        void came(Ask ask) {
            Instant expiry = now.plus(PATIENCE);
            ClientRequest one =
                    new ClientRequest(
                            ask.node,
                            ask.client,
                            1,
                            ask.piece,
                            ask.write ? "write" : "read",
                            UNITS,
                            ask.tries > 1,
                            ClientRequest.Effect.NONE,
                            0,
                            Duration.ZERO,
                            expiry);
            tries++;
            if (storms.isPresent()) {
                long from = System.nanoTime();
                RetryAdmission.Decision decision = storms.get().admit(one, now);
                nanos += System.nanoTime() - from;
                decisions++;
                if (decision.outcome() == RetryAdmission.Outcome.TURNED_AWAY) {
                    turned++;
                    refused(ask, decision.retryAfter());
                    return;
                }
            }
            Node node = nodes[ask.node];
            if (!fits(ask.node)) {
                refuse(ask, one);
            } else if (node.away()) {
                down[ask.node] = true;
                refuse(ask, one);
            } else {
                Instant done = node.take(UNITS, ask.write);
                boolean inTime = done.plus(WAY).isBefore(expiry);
                out[ask.node]++;
                after(
                        Duration.between(now, inTime ? done : expiry),
                        () -> {
                            out[ask.node]--;
                            down[ask.node] = !inTime;
                            if (inTime) {
                                storms.ifPresent(kept -> kept.recordServed(one, now));
                                answer(ask);
                            } else {
                                again(ask, Duration.ZERO);
                            }
                        });
            }
        }

        /**
         * Whether so little is out there that it is answered in good time; a node that is away is
         * tested.
         */
        private boolean fits(int node) {
            if (!down[node]) {
                return out[node] < most;
            }
            if (Duration.between(tested[node], now)
                            .compareTo(TEST_GAP.multipliedBy(scene.schedulers))
                    < 0) {
                return false;
            }
            tested[node] = now;
            return true;
        }

        private void refuse(Ask ask, ClientRequest one) {
            Duration advice = PLAIN_ADVICE;
            if (storms.isPresent()) {
                long from = System.nanoTime();
                advice = storms.get().scheduleRetry(one, PLAIN_ADVICE, now);
                nanos += System.nanoTime() - from;
            }
            refused(ask, advice);
        }

        private void refused(Ask ask, Duration advice) {
            after(WAY, () -> again(ask, advice));
        }
    }

    public StormLab(Scene scene) {
        this.scene = scene;
        random = new SplittableRandom(scene.seed);
        nodes = new Node[scene.nodes];
        Arrays.setAll(nodes, Node::new);
        heads = new Head[scene.schedulers];
        Arrays.setAll(heads, number -> new Head(random.nextLong()));
        served = new long[(int) scene.span.toSeconds() + 1];
    }

    private void after(Duration wait, Runnable run) {
        events.add(new Event(now.plus(wait), ++lastEvent, run));
    }

    /** Plays the scene to its end. */
    public Result play() {
        for (Node node : nodes) {
            after(Duration.ofNanos((long) (random.nextDouble() * FLUSH.toNanos())), node::flush);
        }
        for (Outage outage : scene.outages) {
            after(
                    outage.end,
                    () -> {
                        for (int node = outage.from; node < outage.to; node++) {
                            nodes[node].started = now;
                            nodes[node].free = now;
                            nodes[node].putOff = 0;
                        }
                    });
        }
        first();
        Instant end = Instant.EPOCH.plus(scene.span);
        while (!events.isEmpty() && events.peek().at.isBefore(end)) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        return result();
    }

    /** The next first try, after a wait drawn for the load. */
    private void first() {
        double rate = scene.load * scene.nodes * scene.speed / UNITS;
        after(
                Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9)),
                () -> {
                    int client = random.nextInt(scene.clients);
                    Ask ask =
                            new Ask(
                                    random.nextInt(scene.nodes),
                                    client,
                                    random.nextInt(KINDS) == 0,
                                    scene.habits.get(client % scene.habits.size()),
                                    ++lastTry);
                    asked[ask.habit.ordinal()]++;
                    come(ask);
                    first();
                });
    }

    private void come(Ask ask) {
        ask.tries++;
        after(WAY, () -> heads[ask.client % heads.length].came(ask));
    }

    private void answer(Ask ask) {
        served[(int) Duration.between(Instant.EPOCH, now).toSeconds()]++;
        answered[ask.habit.ordinal()]++;
    }

    private void again(Ask ask, Duration advice) {
        if (ask.habit == Habit.NEVER || ask.tries >= MOST_TRIES) {
            return;
        }
        double grown = 0.1 * Math.pow(2, Math.min(6, ask.tries)) * (0.5 + random.nextDouble());
        Duration backoff = Duration.ofNanos((long) (grown * 1e9));
        after(
                switch (ask.habit) {
                    case AT_ONCE -> Duration.ofMillis(2);
                    case FIXED -> Duration.ofSeconds(1);
                    case HEEDS -> advice.isZero() ? backoff : advice;
                    default -> backoff;
                },
                () -> come(ask));
    }

    /** Microseconds of processor time of one refused second try, in a storm over so many nodes. */
    public static double cost(int nodes, int tries, StormSettings terms, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryAdmission storms = new RetryAdmission(terms, random, QUIET, Instant.EPOCH);
        Map<Integer, Speed> speeds = new HashMap<>();
        for (int node = 0; node < nodes; node++) {
            speeds.put(node, new Speed(100, Double.POSITIVE_INFINITY));
        }
        storms.setNodeSpeeds(speeds);
        storms.setMaxRetryDelay(LONGEST_ADVICE);
        Instant at = Instant.EPOCH;
        long from = System.nanoTime();
        for (int i = 0; i < tries; i++) {
            at = at.plusNanos(100_000); // 10,000 a second
            ClientRequest one =
                    new ClientRequest(
                            random.nextInt(nodes),
                            random.nextInt(1000),
                            1,
                            random.nextInt(100),
                            "read",
                            UNITS,
                            i % 4 > 0,
                            ClientRequest.Effect.NONE,
                            0,
                            Duration.ZERO,
                            Instant.MAX);
            if (storms.admit(one, at).outcome() == RetryAdmission.Outcome.PASS) {
                storms.scheduleRetry(one, PLAIN_ADVICE, at);
            }
        }
        return (System.nanoTime() - from) / 1e3 / tries;
    }

    private Result result() {
        long begin = scene.outages.stream().mapToLong(one -> one.begin.toSeconds()).min().orElse(0);
        long end = scene.outages.stream().mapToLong(one -> one.end.toSeconds()).max().orElse(0);
        List<Double> before = new ArrayList<>();
        for (long second = begin / 2; second < begin; second++) {
            before.add((double) served[(int) second]);
        }
        double usual = before.stream().mapToDouble(one -> one).average().orElse(1);
        double worst = 1;
        double recovery = -1;
        for (int second = (int) begin; second < served.length - 1; second++) {
            worst = Math.min(worst, served[second] / usual);
            if (second >= end && recovery < 0 && second + STEADY < served.length) {
                double mean = Arrays.stream(served, second, second + STEADY).average().orElse(0);
                recovery = mean >= RECOVERED * usual ? second - end : recovery;
            }
        }
        Map<Habit, Double> byHabit = new HashMap<>();
        for (Habit habit : Habit.values()) {
            if (asked[habit.ordinal()] > 0) {
                byHabit.put(habit, (double) answered[habit.ordinal()] / asked[habit.ordinal()]);
            }
        }
        return new Result(
                recovery,
                worst,
                tries,
                turned,
                nanos / 1e3 / Math.max(1, decisions),
                Arrays.stream(served).boxed().toList(),
                byHabit);
    }
}
