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
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * {@code make measure-storms}: an outage of half of the nodes on real sockets at twice the normal
 * load, with what is done about storms and without; the same at 100 schedulers, 1,000 nodes and
 * 100,000 clients in the model; and what a decision costs at 10, 100 and 1,000 nodes.
 */
public final class StormMeasure {
    private static final int NODES = 4;
    private static final double NODE_MS = 2;
    private static final int LOSES_EVERY = 200; // answers: what ran and was not told of comes again
    private static final int CLIENTS = 128;
    private static final int MOST_TRIES = 12;
    private static final int EXPIRES_MS = 700;
    // Twice the normal load: half of all nodes' speed.
    private static final Duration THINK = Duration.ofMillis(60);
    private static final int OUT_FROM_S = 3;
    private static final int OUT_TO_S = 8;
    private static final int SPAN_S = 16;
    private static final double MOST_RECOVERY_S = 30;
    private static final double COST_GROWTH = 2;

    private final Figures figures = new Figures();

    /** What one run on real sockets found. */
    private static final class Run {
        private final AtomicIntegerArray perSecond = new AtomicIntegerArray(SPAN_S + 1);
        private final LongAdder writes = new LongAdder();
        private final LongAdder[] asked = {new LongAdder(), new LongAdder()};
        private final LongAdder[] served = {new LongAdder(), new LongAdder()};
        private long twice;
        private double overshoot;

        private double share(int habit) {
            return served[habit].sum() / (double) Math.max(1, asked[habit].sum());
        }

        /**
         * Seconds from the outage's end until three seconds together serve 95% of what was before.
         */
        private double recovery() {
            double before = IntStream.range(1, OUT_FROM_S).map(perSecond::get).average().orElse(0);
            for (int second = OUT_TO_S; second + 3 <= SPAN_S; second++) {
                if (IntStream.range(second, second + 3).map(perSecond::get).average().orElse(0)
                        >= 0.95 * before) {
                    return second - OUT_TO_S;
                }
            }
            return Double.POSITIVE_INFINITY;
        }
    }

    public static void main(String[] args) throws Exception {
        new StormMeasure().run();
    }

    private void run() throws Exception {
        Run off = sockets(Optional.empty());
        Run on = sockets(Optional.of(Terms.USUAL));
        figures.atMost("recovery_s", on.recovery(), MOST_RECOVERY_S);
        figures.say("recovery_s_off", off.recovery());
        figures.say("served_least_in_a_second", least(on));
        figures.say("served_least_in_a_second_off", least(off));
        figures.atLeast("writes", on.writes.sum(), 20_000);
        figures.atMost("writes_run_twice", on.twice, 0);
        figures.atLeast("writes_run_twice_off", off.twice, 1); // or the rig has nothing to tell by
        figures.atMost("cold_overshoot", on.overshoot, 1);
        figures.say("served_share_heeding", on.share(0));
        figures.say("served_share_deaf", on.share(1));
        figures.atMost("deaf_advantage", on.share(1) / on.share(0), 1);
        model();
        double[] cost = IntStream.of(10, 100, 1000).mapToDouble(StormMeasure::cost).toArray();
        figures.say("decision_us_10", cost[0]);
        figures.say("decision_us_100", cost[1]);
        figures.say("decision_us_1000", cost[2]);
        figures.atMost("decision_growth", cost[2] / cost[0], COST_GROWTH);
        figures.end();
    }

    private static double least(Run run) {
        return IntStream.range(OUT_FROM_S, SPAN_S).map(run.perSecond::get).min().orElse(0);
    }

    // ---- real sockets

    private static Run sockets(Optional<Terms> storms) throws Exception {
        List<OutageNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new OutageNode(NODE_MS, LOSES_EVERY));
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
                                Optional.empty(), Optional.empty(), Optional.empty(), storms))) {
            long start = System.nanoTime();
            long end = start + TimeUnit.SECONDS.toNanos(SPAN_S);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> client(site, run, number, start, end), "client");
                thread.start();
                clients.add(thread);
            }
            sleepUntil(start + TimeUnit.SECONDS.toNanos(OUT_FROM_S));
            for (OutageNode node : nodes.subList(0, NODES / 2)) {
                node.away(true);
            }
            for (int second = OUT_FROM_S; second < OUT_TO_S; second++) {
                site.lists.add(" "); // the watch lives, as discovery says with an empty line
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
            run.twice =
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
     * The most that came in a second since the node was back, of twice what it could do at that
     * time.
     */
    private static double overshoot(OutageNode node) {
        long[] came = node.sinceBack.stream().mapToLong(Long::longValue).sorted().toArray();
        double most = 0;
        int from = 0;
        for (int i = 0; i < came.length; i++) {
            while (came[from] < came[i] - 1_000_000_000L) {
                from++;
            }
            most = Math.max(most, (i - from + 1) / (2 * node.speed(came[from])));
        }
        return most;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    /** Every other client heeds the time that it is told; the others come again at once. */
    private static void client(Site site, Run run, int number, long start, long end) {
        SplittableRandom random = new SplittableRandom(number);
        int deaf = number % 2;
        Socket socket = null;
        try {
            sleepUntil(start + random.nextLong(THINK.toNanos()));
            while (System.nanoTime() < end) {
                int shard = random.nextInt(NODES);
                String path =
                        "/job-write/"
                                + String.format("%016x", number % 16)
                                + "/"
                                + String.format("%016x", random.nextLong());
                run.asked[deaf].increment();
                run.writes.increment();
                for (int tries = 0; tries < MOST_TRIES && System.nanoTime() < end; tries++) {
                    Message answer = null;
                    try {
                        socket = socket == null ? site.connect() : socket;
                        String headers =
                                Site.headers(
                                        EXPIRES_MS,
                                        "standard",
                                        "units=1,shard=" + shard + ",hosts=1");
                        String second = tries > 0 ? "X-Second-Try: 1\r\n" : "";
                        String request = Site.request("PUT", path, headers + second, "data");
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
                        run.served[deaf].increment();
                        run.perSecond.incrementAndGet(
                                (int)
                                        Math.min(
                                                SPAN_S,
                                                (System.nanoTime() - start) / 1_000_000_000L));
                        break;
                    }
                    double wait =
                            answer == null
                                    ? 0
                                    : Double.parseDouble(
                                            answer.headers().getOrDefault("retry-after", "0"));
                    TimeUnit.MICROSECONDS.sleep(
                            deaf == 1 ? 5_000 : (long) (1e6 * Math.max(0.005, wait)));
                }
                TimeUnit.NANOSECONDS.sleep((long) (THINK.toNanos() * (0.5 + random.nextDouble())));
            }
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException gone) {
            // it is over either way
        }
    }

    // ---- the model

    private void model() {
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
                        Optional.of(Terms.USUAL),
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
        figures.atMost("model_recovery_s", on.recoveryS(), MOST_RECOVERY_S);
        figures.say("model_recovery_s_off", off.recoveryS()); // -1: not in the 30 s that are played
        figures.say("model_worst", on.worst());
        figures.say("model_worst_off", off.worst());
        figures.say("model_tries", on.tries());
        figures.say("model_tries_off", off.tries());
    }

    /** Microseconds of a decision and a refusal, at so many nodes. */
    private static double cost(int nodes) {
        int rounds = 60_000;
        double best = Double.MAX_VALUE;
        for (int again = 0; again < 3; again++) {
            best = Math.min(best, StormLab.cost(nodes, rounds, Terms.USUAL, again));
        }
        return best;
    }
}
