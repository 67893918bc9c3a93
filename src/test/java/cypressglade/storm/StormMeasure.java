package cypressglade.storm;

import cypressglade.cli.OperatorFiles;
import cypressglade.lab.StormLab;
import cypressglade.lab.StormLab.Habit;
import cypressglade.lab.StormLab.Outage;
import cypressglade.lab.StormLab.Scene;
import cypressglade.measure.Figures;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.OutageNode;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * {@code make measure-storms}: measures an outage of half of the nodes on real sockets at twice the
 * normal load, with the handling of retry storms on and off; the same with 100 schedulers, 1,000
 * nodes and 100,000 clients in the model; and the cost of a decision at 10, 100 and 1,000 nodes.
 */
public final class StormMeasure {
    private static final int NODES = 4;
    private static final double NODE_MS = 2;
    // Each node loses one of so many answers, so that writes that have run are retried.
    private static final int ANSWERS_PER_LOSS = 200;
    private static final int CLIENTS = 128;
    private static final int MAX_SENDS = 12;
    private static final int EXPIRY_MS = 700;
    private static final int FAILED = 502;
    private static final long SHARED_PIECES = 64;
    // Twice the normal load: half of all nodes' speed.
    private static final Duration THINK_TIME = Duration.ofMillis(60);
    private static final int OUTAGE_START_S = 3;
    private static final int OUTAGE_END_S = 8;
    private static final int DURATION_S = 16;
    private static final double MAX_RECOVERY_S = 30;
    private static final double MAX_COST_GROWTH = 2;

    private final Figures figures = new Figures();

    /** Results of one run on real sockets; see runClient for the index of the arrays. */
    private static final class Run {
        private final AtomicIntegerArray servedPerSecond = new AtomicIntegerArray(DURATION_S + 1);
        private final LongAdder writes = new LongAdder();
        private final LongAdder[] requested = {new LongAdder(), new LongAdder()};
        private final LongAdder[] served = {new LongAdder(), new LongAdder()};
        private final LongAdder retries = new LongAdder();

        /** Retries that were failed although their write had not run at any node. */
        private final LongAdder harmlessFailed = new LongAdder();

        private long writesRunTwice;
        private double overshoot;

        private double servedFraction(int habit) {
            return served[habit].sum() / (double) Math.max(1, requested[habit].sum());
        }

        /**
         * Seconds from the end of the outage until three seconds in a row serve 95% of the rate
         * before.
         */
        private double recoverySeconds() {
            double before =
                    IntStream.range(1, OUTAGE_START_S)
                            .map(servedPerSecond::get)
                            .average()
                            .orElse(0);
            for (int second = OUTAGE_END_S; second + 3 <= DURATION_S; second++) {
                if (IntStream.range(second, second + 3)
                                .map(servedPerSecond::get)
                                .average()
                                .orElse(0)
                        >= 0.95 * before) {
                    return second - OUTAGE_END_S;
                }
            }
            return Double.POSITIVE_INFINITY;
        }
    }

    public static void main(String[] args) throws Exception {
        new StormMeasure().run();
    }

    private void run() throws Exception {
        Run off = runOnSockets(Optional.empty(), Long.MAX_VALUE);
        Run on = runOnSockets(Optional.of(StormSettings.DEFAULTS), Long.MAX_VALUE);
        Run shared = runOnSockets(Optional.of(StormSettings.DEFAULTS), SHARED_PIECES);
        figures.atMost("recovery_s", on.recoverySeconds(), MAX_RECOVERY_S);
        figures.say("recovery_s_off", off.recoverySeconds());
        figures.say("served_least_in_a_second", minServedPerSecond(on));
        figures.say("served_least_in_a_second_off", minServedPerSecond(off));
        figures.atLeast("writes", on.writes.sum(), 20_000);
        figures.atMost("writes_run_twice", on.writesRunTwice, 0);
        figures.atLeast(
                "writes_run_twice_off",
                off.writesRunTwice,
                1); // otherwise the measurement proves nothing
        figures.say("retries", on.retries.sum());
        figures.say("harmless_retries_failed", on.harmlessFailed.sum());
        figures.atMost("shared_writes_run_twice", shared.writesRunTwice, 0);
        figures.say("shared_retries", shared.retries.sum());
        figures.say("shared_harmless_retries_failed", shared.harmlessFailed.sum());
        figures.say("shared_served_share_heeding", shared.servedFraction(0));
        figures.atMost("cold_overshoot", on.overshoot, 1);
        figures.say("served_share_heeding", on.servedFraction(0));
        figures.say("served_share_deaf", on.servedFraction(1));
        figures.atMost("deaf_advantage", on.servedFraction(1) / on.servedFraction(0), 1);
        runModel();
        double[] micros =
                IntStream.of(10, 100, 1000).mapToDouble(StormMeasure::decisionMicros).toArray();
        figures.say("decision_us_10", micros[0]);
        figures.say("decision_us_100", micros[1]);
        figures.say("decision_us_1000", micros[2]);
        figures.atMost("decision_growth", micros[2] / micros[0], MAX_COST_GROWTH);
        figures.end();
    }

    private static double minServedPerSecond(Run run) {
        return IntStream.range(OUTAGE_START_S, DURATION_S)
                .map(run.servedPerSecond::get)
                .min()
                .orElse(0);
    }

    // Real sockets.

    /**
     * @param pieces of each volume that clients write to, so that writes of other clients look like
     *     a retry's own first try where they are few
     */
    private static Run runOnSockets(Optional<StormSettings> settings, long pieces)
            throws Exception {
        List<OutageNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new OutageNode(NODE_MS, ANSWERS_PER_LOSS));
        }
        String entries =
                IntStream.range(0, NODES)
                        .mapToObj(i -> Site.entry(i, nodes.get(i).hostPort(), "active", 0))
                        .collect(Collectors.joining(","));
        Run run = new Run();
        try (Site site =
                new Site(
                        entries,
                        new OperatorFiles(
                                Optional.empty(), Optional.empty(), Optional.empty(), settings))) {
            long start = System.nanoTime();
            long end = start + TimeUnit.SECONDS.toNanos(DURATION_S);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread =
                        new Thread(
                                () ->
                                        runClient(
                                                site,
                                                run,
                                                number,
                                                pieces,
                                                id -> hasRun(nodes, id),
                                                start,
                                                end),
                                "client");
                thread.start();
                clients.add(thread);
            }
            sleepUntil(start + TimeUnit.SECONDS.toNanos(OUTAGE_START_S));
            for (OutageNode node : nodes.subList(0, NODES / 2)) {
                node.away(true);
            }
            for (int second = OUTAGE_START_S; second < OUTAGE_END_S; second++) {
                site.lists.add(" "); // an empty line of discovery keeps its watch alive
                sleepUntil(start + TimeUnit.SECONDS.toNanos(second + 1));
            }
            for (int i = 0; i < NODES / 2; i++) {
                nodes.get(i).away(false);
                site.tell(
                        50 + i,
                        Site.entry(
                                i, nodes.get(i).hostPort(), "active", System.currentTimeMillis()));
            }
            for (Thread client : clients) {
                client.join();
            }
            run.writesRunTwice =
                    nodes.stream()
                            .flatMap(node -> node.runs.values().stream())
                            .filter(runs -> runs > 1)
                            .count();
            run.overshoot = nodes.stream().mapToDouble(StormMeasure::overshoot).max().orElse(0);
        } finally {
            for (OutageNode node : nodes) {
                node.close();
            }
        }
        return run;
    }

    /**
     * The largest number of requests in any second since the node came back, as a part of twice its
     * speed at that time.
     */
    private static double overshoot(OutageNode node) {
        long[] arrivals = node.sinceBack.stream().mapToLong(Long::longValue).sorted().toArray();
        double max = 0;
        int from = 0;
        for (int i = 0; i < arrivals.length; i++) {
            while (arrivals[from] < arrivals[i] - 1_000_000_000L) {
                from++;
            }
            max = Math.max(max, (i - from + 1) / (2 * node.speed(arrivals[from])));
        }
        return max;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    /**
     * One client: those of even number wait for the retry time that they are told (index 0 in the
     * results), the others ignore it and retry after 5 ms (index 1).
     */
    private static void runClient(
            Site site,
            Run run,
            int number,
            long pieces,
            Predicate<String> hasRun,
            long start,
            long end) {
        SplittableRandom random = new SplittableRandom(number);
        int habit = number % 2;
        Socket socket = null;
        try {
            sleepUntil(start + random.nextLong(THINK_TIME.toNanos()));
            while (System.nanoTime() < end) {
                int shard = random.nextInt(NODES);
                String path =
                        "/job-write/"
                                + String.format("%016x", number % 16)
                                + "/"
                                + String.format("%016x", random.nextLong(pieces));
                String id = String.format("%016x", random.nextLong());
                run.requested[habit].increment();
                run.writes.increment();
                for (int sends = 0; sends < MAX_SENDS && System.nanoTime() < end; sends++) {
                    Message answer = null;
                    try {
                        socket = socket == null ? site.connect() : socket;
                        String headers =
                                Site.headers(
                                        EXPIRY_MS,
                                        "standard",
                                        "units=1,shard=" + shard + ",hosts=1");
                        String retryHeader = sends > 0 ? "X-Second-Try: 1\r\n" : "";
                        String request = Site.request("PUT", path, headers + retryHeader, id);
                        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                        answer = Message.read(new DataInputStream(socket.getInputStream()));
                    } catch (IOException closed) {
                        closeQuietly(socket);
                        socket = null;
                    }
                    if (answer != null
                            && answer.headers().getOrDefault("connection", "").equals("close")) {
                        closeQuietly(socket);
                        socket = null;
                    }
                    if (answer != null && answer.status() == 200) {
                        run.served[habit].increment();
                        run.servedPerSecond.incrementAndGet(
                                (int)
                                        Math.min(
                                                DURATION_S,
                                                (System.nanoTime() - start) / 1_000_000_000L));
                        break;
                    }
                    if (sends > 0) {
                        run.retries.increment();
                        if (answer != null && answer.status() == FAILED && !hasRun.test(id)) {
                            run.harmlessFailed.increment();
                        }
                    }
                    double wait =
                            answer == null
                                    ? 0
                                    : Double.parseDouble(
                                            answer.headers().getOrDefault("retry-after", "0"));
                    TimeUnit.MICROSECONDS.sleep(
                            habit == 1 ? 5_000 : (long) (1e6 * Math.max(0.005, wait)));
                }
                TimeUnit.NANOSECONDS.sleep(
                        (long) (THINK_TIME.toNanos() * (0.5 + random.nextDouble())));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(socket);
        }
    }

    private static boolean hasRun(List<OutageNode> nodes, String id) {
        return nodes.stream().anyMatch(node -> node.runs.containsKey(id));
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException alreadyClosed) {
            // the connection is not used again in either case
        }
    }

    // The model.

    private void runModel() {
        Scene scene =
                new Scene(
                        100,
                        1000,
                        100_000,
                        20,
                        0.6,
                        Arrays.asList(Habit.HEEDS, Habit.AT_ONCE, Habit.FIXED, Habit.EXPONENTIAL),
                        List.of(new Outage(0, 200, Duration.ofSeconds(10), Duration.ofSeconds(20))),
                        Duration.ofSeconds(50),
                        Optional.of(StormSettings.DEFAULTS),
                        7);
        StormLab.Result on = new StormLab(scene).play();
        StormLab.Result off =
                new StormLab(
                                new Scene(
                                        scene.schedulers(),
                                        scene.nodes(),
                                        scene.clients(),
                                        scene.speed(),
                                        scene.load(),
                                        scene.habits(),
                                        scene.outages(),
                                        scene.span(),
                                        Optional.empty(),
                                        scene.seed()))
                        .play();
        figures.atLeast("model_recovered", on.recoveryS() >= 0 ? 1 : 0, 1);
        figures.atMost("model_recovery_s", on.recoveryS(), MAX_RECOVERY_S);
        figures.say(
                "model_recovery_s_off",
                off.recoveryS()); // -1: not within the 30 s after the outage
        figures.say("model_worst", on.worst());
        figures.say("model_worst_off", off.worst());
        figures.say("model_tries", on.tries());
        figures.say("model_tries_off", off.tries());
    }

    /** Microseconds for a decision and a refusal, with that number of nodes. */
    private static double decisionMicros(int nodes) {
        int rounds = 60_000;
        double best = Double.MAX_VALUE;
        for (int repetition = 0; repetition < 3; repetition++) {
            best = Math.min(best, StormLab.cost(nodes, rounds, StormSettings.DEFAULTS, repetition));
        }
        return best;
    }
}
