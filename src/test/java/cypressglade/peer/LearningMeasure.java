package cypressglade.peer;

import cypressglade.cli.OperatorFiles;
import cypressglade.config.Config;
import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.lab.MemberNet;
import cypressglade.learn.NodeObservation;
import cypressglade.learn.Origin;
import cypressglade.measure.Figures;
import cypressglade.member.Member.State;
import cypressglade.member.SwimSettings;
import cypressglade.net.EventLoop;
import cypressglade.snapshot.SnapshotStore;
import cypressglade.standin.Site;
import cypressglade.standin.StorageNode;
import cypressglade.standin.StorageNode.Arrival;
import java.io.DataInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;

/**
 * {@code make measure-learning}: what word of others is worth, and what it costs; 1 where a bound
 * is missed.
 */
public final class LearningMeasure {
    private static final int NODES = 10;
    private static final int[] SILENT = {0, 1};
    private static final int SLOW = 2;
    private static final int COLD = 4;
    private static final double PACE_MS = 4;
    private static final double SLOW_MS = 40;
    private static final double AIM_MS = 400;
    private static final int RATE = 100;
    private static final double YOUNG_UNITS = 11; // the example's rule on cold nodes
    private static final double COLD_FROM = 0.29;
    private static final double RAMP_S = 17;
    private static final double WINDOW_S = 1;

    private final Figures figures = new Figures();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final ScheduledExecutorService pacer = Executors.newScheduledThreadPool(2);
    private final KeyRing keys;

    private LearningMeasure() throws Exception {
        keys = KeyRing.parse("k", "1 " + "0a".repeat(32));
    }

    public static void main(String[] args) throws Exception {
        LearningMeasure measure = new LearningMeasure();
        Thread virtual =
                new Thread(
                        measure::members,
                        "virtual time"); // beside the others, on a core of its own
        virtual.start();
        measure.start();
        measure.stale();
        measure.transfer();
        virtual.join();
        measure.figures.end();
    }

    private PeersConfig talking(String name, InetSocketAddress... seeds) {
        return new PeersConfig(
                name,
                Optional.of(
                        new PeersConfig.Talk(
                                new InetSocketAddress("127.0.0.1", 0),
                                Optional.empty(),
                                List.of(seeds),
                                keys,
                                Duration.ofSeconds(2),
                                true,
                                SwimSettings.defaults(),
                                false,
                                Optional.empty())),
                Optional.empty(),
                1024,
                Duration.ofMillis(200));
    }

    /** Ten nodes: two silent, two slow, one that starts cold. */
    private static List<StorageNode> nodes() {
        return IntStream.range(0, NODES)
                .mapToObj(i -> new StorageNode(i >= SLOW && i < COLD ? SLOW_MS : PACE_MS, i < SLOW))
                .toList();
    }

    private static Site site(List<StorageNode> nodes, long coldStartMs, Optional<PeersConfig> peers)
            throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            entries.add(
                    Site.entry(i, nodes.get(i).hostPort(), "active", i == COLD ? coldStartMs : 0));
        }
        return new Site(
                String.join(",", entries),
                new OperatorFiles(Optional.empty(), peers, Optional.empty()));
    }

    /** Reads at a steady rate, each on a shard in turn; counts what was served within the aim. */
    private LongAdder load(Site site, String volume, int rate, double seconds, int... shards) {
        LongAdder within = new LongAdder();
        int count = (int) (rate * seconds);
        for (int i = 0; i < count; i++) {
            int number = i;
            pacer.schedule(
                    () ->
                            clients.execute(
                                    () ->
                                            ask(
                                                    site,
                                                    volume,
                                                    number,
                                                    shards[number % shards.length],
                                                    within)),
                    (long) (i * 1e6 / rate),
                    TimeUnit.MICROSECONDS);
        }
        return within;
    }

    private static void ask(Site site, String volume, int number, int shard, LongAdder within) {
        long asked = System.nanoTime();
        try {
            String path = "/job-read/" + volume + "/" + String.format("%016x", number);
            String headers = Site.headers(900, "standard", "units=2,shard=" + shard + ",hosts=1");
            int status = site.ask(Site.request("GET", path, headers, "")).status();
            if (status == 200 && System.nanoTime() - asked <= AIM_MS * 1e6) {
                within.increment();
            }
        } catch (java.io.IOException failed) {
            // a request without an answer is one that was not served
        }
    }

    private static void pass(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    private static String volume(int number) {
        return String.format("%016x", number);
    }

    /**
     * A running instance, and beside it a new one that learns; elsewhere, on nodes alike, one that
     * does not.
     */
    private void start() throws Exception {
        int[] all = IntStream.range(0, NODES).toArray();
        List<StorageNode> first = nodes();
        List<StorageNode> second = nodes();
        long coldStart = System.currentTimeMillis();
        Site running = site(first, coldStart, Optional.of(talking("running")));
        load(running, volume(1), RATE, 4, all);
        pass(4);
        Site taught =
                site(
                        first,
                        coldStart,
                        Optional.of(talking("taught", running.serve.peerAddress().orElseThrow())));
        // loads those nodes as the running one does its own
        Site beside = site(second, coldStart, Optional.empty());
        Site untaught = site(second, coldStart, Optional.empty());
        LongAdder byBeside = load(beside, volume(4), RATE, 2, all);
        long from = System.nanoTime();
        LongAdder byTaught = load(taught, volume(2), RATE, 2, all);
        LongAdder byUntaught = load(untaught, volume(3), RATE, 2, all);
        LongAdder byRunning = load(running, volume(1), RATE, 2, all);
        pass(2);
        load(running, volume(1), RATE, 8, all);
        load(beside, volume(4), RATE, 8, all);
        load(taught, volume(2), RATE, 8, all);
        load(untaught, volume(3), RATE, 8, all);
        pass(8.5);
        double toSilent =
                Arrays.stream(SILENT).mapToDouble(i -> first.get(i).units(volume(2), from)).sum();
        double untaughtToSilent =
                Arrays.stream(SILENT).mapToDouble(i -> second.get(i).units(volume(3), from)).sum();
        figures.say("silent_units_untaught", untaughtToSilent);
        figures.atMost("silent_units_ratio", toSilent / untaughtToSilent, 0.2);
        figures.say("early_service_untaught", (double) byUntaught.sum() / byBeside.sum());
        figures.atLeast("early_service", (double) byTaught.sum() / byRunning.sum(), 0.95);
        figures.atMost("cold_overshoot", overshoot(first.get(COLD), coldStart), 1);
        figures.say("hints_taken", taught.serve.counters().get(Counters.Name.HINTS_TAKEN));
        figures.say(
                "hints_contradicted",
                taught.serve.counters().get(Counters.Name.HINTS_CONTRADICTED));
        for (Site site : List.of(running, beside, taught, untaught)) {
            site.close();
        }
    }

    /**
     * The most units that came in a window of the rule, over what it allows at the window's end.
     */
    private static double overshoot(StorageNode cold, long startMs) {
        long nowNanos = System.nanoTime();
        long nowMs = System.currentTimeMillis();
        List<Arrival> all =
                cold.arrivals.stream().sorted(Comparator.comparingLong(Arrival::nanos)).toList();
        double worst = 0;
        for (Arrival last : all) {
            double units =
                    all.stream()
                            .filter(
                                    one ->
                                            one.nanos() <= last.nanos()
                                                    && one.nanos() > last.nanos() - WINDOW_S * 1e9)
                            .mapToDouble(Arrival::units)
                            .sum();
            double age = (nowMs - startMs) / 1e3 - (nowNanos - last.nanos()) / 1e9;
            double allowed = YOUNG_UNITS * (1 + (1 / COLD_FROM - 1) * Math.max(0, age) / RAMP_S);
            worst = Math.max(worst, units / allowed);
        }
        return worst;
    }

    /**
     * Word says that a node is healthy, and it has fallen silent since: what a taught one sends
     * there beyond.
     */
    private void stale() throws Exception {
        List<StorageNode> first = List.of(new StorageNode(PACE_MS, false));
        List<StorageNode> second = List.of(new StorageNode(PACE_MS, true));
        Site running = site(first, 0, Optional.of(talking("running")));
        load(running, volume(1), RATE, 2, 0);
        pass(2.5);
        first.get(0).silent = true;
        Site taught =
                site(
                        first,
                        0,
                        Optional.of(talking("taught", running.serve.peerAddress().orElseThrow())));
        Site untaught = site(second, 0, Optional.empty());
        load(taught, volume(2), 40, 3, 0);
        load(untaught, volume(3), 40, 3, 0);
        pass(4);
        long byTaught =
                first.get(0).arrivals.stream()
                        .filter(one -> one.volume().equals(volume(2)))
                        .count();
        figures.say("stale_requests_untaught", second.get(0).arrivals.size());
        figures.atMost("stale_extra_requests", byTaught - second.get(0).arrivals.size(), 1);
        for (Site site : List.of(running, taught, untaught)) {
            site.close();
        }
    }

    /** A thousand nodes, from the connect to the last word checked. */
    private void transfer() throws Exception {
        Path directory = Files.createTempDirectory("learned");
        Instant now = MonotonicClock.now();
        List<NodeObservation> words = IntStream.range(0, 1000).mapToObj(i -> word(i, now)).toList();
        new SnapshotStore(directory, "learned")
                .write(Codec.snapshot("full", words, now), Instant.now());
        Config config = Site.config(Site.entry(0, "127.0.0.1:1", "active", 0), "127.0.0.1:1");
        try (EventLoop loop = new EventLoop();
                Engine engine =
                        new Engine(config.settings(), new NodeDirectory(), new Counters())) {
            engine.start(node -> null);
            PeersConfig peers =
                    new PeersConfig(
                            "full",
                            talking("full").talk(),
                            Optional.of(
                                    new PeersConfig.Snapshots(
                                            directory, Duration.ofHours(1), Duration.ofHours(1))),
                            1024,
                            Duration.ZERO);
            try (Peers full = new Peers(peers, loop, engine, new Counters())) {
                full.start();
                InetSocketAddress at = full.address().orElseThrow();
                double[] ms = new double[21];
                for (int i = 0; i < ms.length; i++) {
                    long begun = System.nanoTime();
                    PeerReport report = PeerReport.of(at, keys);
                    ms[i] = (System.nanoTime() - begun) / 1e6;
                    figures.hold("words", report.words().size(), 1000);
                }
                figures.say("transfer_first_ms", ms[0]);
                Arrays.sort(ms);
                figures.atMost("transfer_ms", ms[ms.length / 2], 100);
                figures.atMost("transfer_bytes", bytes(at), 200_000);
            }
        }
    }

    private static NodeObservation word(int i, Instant now) {
        return new NodeObservation(
                "storage-node-" + i,
                1_760_000_000_000_000L + i,
                5000 + i,
                120.5,
                0.31,
                0.01,
                400,
                Duration.ZERO,
                now,
                new Origin("scheduler-" + i % 3, i % 3));
    }

    private long bytes(InetSocketAddress at) throws Exception {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] frame = in.readNBytes(in.readInt());
            Transfer asked =
                    new Transfer(
                            Frames.nonce(frame), 5, 4096, true, List.of(), List.of(), Map.of());
            byte[] sealed = Sealed.seal(keys, Codec.bytes(asked, MonotonicClock.now()));
            socket.getOutputStream().write(Frames.frame(sealed).array());
            long bytes = 0;
            for (boolean last = false; !last; ) {
                frame = in.readNBytes(in.readInt());
                bytes += Integer.BYTES + frame.length;
                last = Codec.transfer(Sealed.open(keys, frame), MonotonicClock.now()).last();
            }
            return bytes;
        }
    }

    /**
     * In virtual time: what membership costs by size, how soon a dead one is known, and who is
     * wrongly dead.
     */
    private void members() {
        List<Double> bytes = new ArrayList<>();
        for (int count : new int[] {10, 50, 200}) {
            MemberNet net = new MemberNet(17, SwimSettings.defaults());
            net.loss = 0.05;
            IntStream.range(0, count).forEach(net::start);
            net.pass(Duration.ofMinutes(10)); // by then all who came are known to all
            net.size =
                    message -> {
                        Envelope envelope =
                                new Envelope(1L << 60, 1L << 61, 1 << 20, Optional.of(message));
                        return Sealed.HEAD
                                + 28 // the heads of IPv4 and UDP
                                + Codec.bytes(envelope).length;
                    };
            net.pass(Duration.ofMinutes(1));
            bytes.add(net.bytes / 60.0 / count);
            figures.say("member_bytes_a_second_" + count, net.bytes / 60.0 / count);
        }
        figures.atMost("member_bytes_growth", bytes.get(2) / bytes.get(0), 1.5);
        MemberNet net = new MemberNet(19, SwimSettings.defaults());
        net.loss = 0.05;
        IntStream.range(0, 200).forEach(net::start);
        net.pass(Duration.ofMinutes(3));
        List<Double> seconds = new ArrayList<>();
        for (int dead = 1; dead <= 20; dead++) {
            net.changes.clear();
            Instant at = net.now;
            String name = "i-" + dead;
            net.stop(dead);
            net.pass(Duration.ofMinutes(1));
            net.changes.stream()
                    .filter(
                            change ->
                                    change.member().name().equals(name)
                                            && change.member().state() == State.DEAD)
                    .forEach(
                            change ->
                                    seconds.add(
                                            Duration.between(at, change.at()).toMillis() / 1e3));
        }
        seconds.sort(Double::compare);
        figures.say("detect_p50_s", seconds.get(seconds.size() / 2));
        figures.atMost("detect_p99_s", seconds.get(seconds.size() * 99 / 100), 40);
        net.changes.clear();
        net.pass(Duration.ofHours(1));
        figures.say(
                "suspected_in_an_hour",
                net.changes.stream()
                        .filter(change -> change.member().state() == State.SUSPECT)
                        .map(change -> change.member())
                        .distinct()
                        .count());
        figures.atMost(
                "false_dead",
                net.changes.stream()
                        .filter(change -> change.member().state() == State.DEAD)
                        .count(),
                0);
    }
}
