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
import cypressglade.peer.PeersConfig.Network;
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
 * {@code make measure-learning}: measures the benefit and the cost of learning from other
 * instances. Exits with 1 if a bound is missed.
 */
public final class LearningMeasure {
    private static final int NODES = 10;
    private static final int[] SILENT = {0, 1};
    private static final int SLOW = 2;
    private static final int COLD = 4;
    private static final double SERVICE_TIME_MS = 4;
    private static final double SLOW_SERVICE_TIME_MS = 40;
    private static final double TARGET_LATENCY_MS = 400;
    private static final int REQUESTS_PER_SECOND = 100;
    // The rule on cold nodes of the example configuration.
    private static final double COLD_UNITS = 11;
    private static final double COLD_INITIAL_FRACTION = 0.29;
    private static final double RAMP_SECONDS = 17;
    private static final double WINDOW_SECONDS = 1;

    private final Figures figures = new Figures();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final ScheduledExecutorService pacer = Executors.newScheduledThreadPool(2);
    private final KeyRing keys;

    private LearningMeasure() throws Exception {
        keys = KeyRing.parse("k", "1 " + "0a".repeat(32));
    }

    public static void main(String[] args) throws Exception {
        LearningMeasure measure = new LearningMeasure();
        // In parallel to the other measurements, on a core of its own.
        Thread virtual = new Thread(measure::measureMembership, "virtual time");
        virtual.start();
        measure.measureStart();
        measure.measureStaleObservations();
        measure.measureTransfer();
        virtual.join();
        measure.figures.end();
    }

    private PeersConfig networked(String name, InetSocketAddress... seeds) {
        return new PeersConfig(
                name,
                Optional.of(
                        new Network(
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

    /** Ten nodes: two silent, two slow, and one that starts cold. */
    private static List<StorageNode> nodes() {
        return IntStream.range(0, NODES)
                .mapToObj(
                        i ->
                                new StorageNode(
                                        i >= SLOW && i < COLD
                                                ? SLOW_SERVICE_TIME_MS
                                                : SERVICE_TIME_MS,
                                        i < SLOW))
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

    /**
     * Sends reads at a steady rate, each to the next shard; counts those served within the target
     * latency.
     */
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
        long startNanos = System.nanoTime();
        try {
            String path = "/job-read/" + volume + "/" + String.format("%016x", number);
            String headers = Site.headers(900, "standard", "units=2,shard=" + shard + ",hosts=1");
            int status = site.ask(Site.request("GET", path, headers, "")).status();
            if (status == 200 && System.nanoTime() - startNanos <= TARGET_LATENCY_MS * 1e6) {
                within.increment();
            }
        } catch (java.io.IOException failed) {
            // a request without an answer counts as not served
        }
    }

    private static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    private static String volume(int number) {
        return String.format("%016x", number);
    }

    /**
     * Compares a new instance that learns from a running one with a new instance that does not, on
     * another set of nodes of the same kind.
     */
    private void measureStart() throws Exception {
        int[] all = IntStream.range(0, NODES).toArray();
        List<StorageNode> first = nodes();
        List<StorageNode> second = nodes();
        long coldStart = System.currentTimeMillis();
        Site running = site(first, coldStart, Optional.of(networked("running")));
        load(running, volume(1), REQUESTS_PER_SECOND, 4, all);
        sleep(4);
        Site learning =
                site(
                        first,
                        coldStart,
                        Optional.of(
                                networked("taught", running.serve.peerAddress().orElseThrow())));
        // puts the same load on the second set of nodes as the running instance on the first
        Site comparison = site(second, coldStart, Optional.empty());
        Site isolated = site(second, coldStart, Optional.empty());
        LongAdder byComparison = load(comparison, volume(4), REQUESTS_PER_SECOND, 2, all);
        long from = System.nanoTime();
        LongAdder byLearning = load(learning, volume(2), REQUESTS_PER_SECOND, 2, all);
        LongAdder byIsolated = load(isolated, volume(3), REQUESTS_PER_SECOND, 2, all);
        LongAdder byRunning = load(running, volume(1), REQUESTS_PER_SECOND, 2, all);
        sleep(2);
        load(running, volume(1), REQUESTS_PER_SECOND, 8, all);
        load(comparison, volume(4), REQUESTS_PER_SECOND, 8, all);
        load(learning, volume(2), REQUESTS_PER_SECOND, 8, all);
        load(isolated, volume(3), REQUESTS_PER_SECOND, 8, all);
        sleep(8.5);
        double toSilent =
                Arrays.stream(SILENT).mapToDouble(i -> first.get(i).units(volume(2), from)).sum();
        double isolatedToSilent =
                Arrays.stream(SILENT).mapToDouble(i -> second.get(i).units(volume(3), from)).sum();
        figures.say("silent_units_untaught", isolatedToSilent);
        figures.atMost("silent_units_ratio", toSilent / isolatedToSilent, 0.2);
        figures.say("early_service_untaught", (double) byIsolated.sum() / byComparison.sum());
        figures.atLeast("early_service", (double) byLearning.sum() / byRunning.sum(), 0.95);
        figures.atMost("cold_overshoot", overshoot(first.get(COLD), coldStart), 1);
        figures.say("hints_taken", learning.serve.counters().get(Counters.Name.HINTS_TAKEN));
        figures.say(
                "hints_contradicted",
                learning.serve.counters().get(Counters.Name.HINTS_CONTRADICTED));
        for (Site site : List.of(running, comparison, learning, isolated)) {
            site.close();
        }
    }

    /**
     * The maximum over all windows of the units received, divided by those that the rule on cold
     * nodes allows at the end of the window.
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
                                                    && one.nanos()
                                                            > last.nanos() - WINDOW_SECONDS * 1e9)
                            .mapToDouble(Arrival::units)
                            .sum();
            double age = (nowMs - startMs) / 1e3 - (nowNanos - last.nanos()) / 1e9;
            double allowed =
                    COLD_UNITS
                            * (1
                                    + (1 / COLD_INITIAL_FRACTION - 1)
                                            * Math.max(0, age)
                                            / RAMP_SECONDS);
            worst = Math.max(worst, units / allowed);
        }
        return worst;
    }

    /**
     * A node falls silent after it was observed as healthy: counts the requests that an instance
     * with that observation sends there in addition.
     */
    private void measureStaleObservations() throws Exception {
        List<StorageNode> first = List.of(new StorageNode(SERVICE_TIME_MS, false));
        List<StorageNode> second = List.of(new StorageNode(SERVICE_TIME_MS, true));
        Site running = site(first, 0, Optional.of(networked("running")));
        load(running, volume(1), REQUESTS_PER_SECOND, 2, 0);
        sleep(2.5);
        first.get(0).silent = true;
        Site learning =
                site(
                        first,
                        0,
                        Optional.of(
                                networked("taught", running.serve.peerAddress().orElseThrow())));
        Site isolated = site(second, 0, Optional.empty());
        load(learning, volume(2), 40, 3, 0);
        load(isolated, volume(3), 40, 3, 0);
        sleep(4);
        long byLearning =
                first.get(0).arrivals.stream()
                        .filter(one -> one.volume().equals(volume(2)))
                        .count();
        figures.say("stale_requests_untaught", second.get(0).arrivals.size());
        figures.atMost("stale_extra_requests", byLearning - second.get(0).arrivals.size(), 1);
        for (Site site : List.of(running, learning, isolated)) {
            site.close();
        }
    }

    /** Transfers 1,000 observations, timed from the connect to the last one checked. */
    private void measureTransfer() throws Exception {
        Path directory = Files.createTempDirectory("learned");
        Instant now = MonotonicClock.now();
        List<NodeObservation> observations =
                IntStream.range(0, 1000).mapToObj(i -> observation(i, now)).toList();
        new SnapshotStore(directory, "learned")
                .write(Codec.encodeSnapshot("full", observations, now), Instant.now());
        Config config = Site.config(Site.entry(0, "127.0.0.1:1", "active", 0), "127.0.0.1:1");
        try (EventLoop loop = new EventLoop();
                Engine engine =
                        new Engine(config.settings(), new NodeDirectory(), new Counters())) {
            engine.start(node -> null);
            PeersConfig peers =
                    new PeersConfig(
                            "full",
                            networked("full").network(),
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
                    PeerReport report = PeerReport.fetch(at, keys);
                    ms[i] = (System.nanoTime() - begun) / 1e6;
                    figures.hold("words", report.observations().size(), 1000);
                }
                figures.say("transfer_first_ms", ms[0]);
                Arrays.sort(ms);
                figures.atMost("transfer_ms", ms[ms.length / 2], 100);
                figures.atMost("transfer_bytes", bytes(at), 200_000);
            }
        }
    }

    private static NodeObservation observation(int i, Instant now) {
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
            TransferFrame request =
                    new TransferFrame(
                            FrameCodec.nonce(frame), 5, 4096, true, List.of(), List.of(), Map.of());
            byte[] sealed = SealedMessage.seal(keys, Codec.encode(request, MonotonicClock.now()));
            socket.getOutputStream().write(FrameCodec.encode(sealed).array());
            long bytes = 0;
            for (boolean last = false; !last; ) {
                frame = in.readNBytes(in.readInt());
                bytes += Integer.BYTES + frame.length;
                last =
                        Codec.decodeTransfer(SealedMessage.open(keys, frame), MonotonicClock.now())
                                .last();
            }
            return bytes;
        }
    }

    /**
     * Measures in virtual time the traffic of the membership by group size, the time to detect a
     * dead member, and members wrongly declared dead.
     */
    private void measureMembership() {
        List<Double> bytes = new ArrayList<>();
        for (int count : new int[] {10, 50, 200}) {
            MemberNet net = new MemberNet(17, SwimSettings.defaults());
            net.loss = 0.05;
            IntStream.range(0, count).forEach(net::start);
            net.pass(Duration.ofMinutes(10)); // by then all instances know each other
            net.size =
                    message -> {
                        Envelope envelope =
                                new Envelope(1L << 60, 1L << 61, 1 << 20, Optional.of(message));
                        return SealedMessage.HEADER_BYTES
                                + 28 // the headers of IPv4 and UDP
                                + Codec.encode(envelope).length;
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
