package cypressglade.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.cli.OperatorFiles;
import cypressglade.measure.Figures;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.Site;
import cypressglade.standin.StorageNode;
import cypressglade.standin.StorageNode.Arrival;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * {@code make measure-console}: the effect of open consoles on request latency, in alternate slices
 * with and without them, and the delay until a drain is in force, at twice the normal load. Exits
 * with 1 if a bound is exceeded.
 */
public final class ConsoleMeasure {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int NODES = 8;
    private static final double SERVICE_TIME_MS = 1.5;
    private static final int NORMAL_REQUESTS_PER_SECOND = 200;
    private static final int CLIENTS = 40;

    /**
     * Pairs of slices that fit under a minute. With these the bound on p99 allows for noise; the
     * measurement prints the number of pairs that it takes without the allowance.
     */
    private static final int DEFAULT_PAIRS = 48;

    // Short, so that drifts of the machine's speed affect both slices of a pair alike.
    private static final long SLICE_MS = 300;
    private static final long SETTLE_MS = 50;
    private static final double MAX_RELATIVE_CHANGE = 0.02;
    private static final int DRAINS = 100;
    private static final long DRAIN_MS = 60;

    private final Figures figures = new Figures();
    private final List<StorageNode> nodes =
            IntStream.range(0, NODES)
                    .mapToObj(i -> new StorageNode(SERVICE_TIME_MS, false))
                    .toList();
    private final int pairs;
    private final Recorder latency = new Recorder(3);
    private final ControlConfig config;
    private final Site site;

    private ConsoleMeasure(int pairs) throws Exception {
        this.pairs = pairs;
        config =
                new ControlConfig(
                        Files.createTempDirectory(
                                "console",
                                PosixFilePermissions.asFileAttribute(
                                        PosixFilePermissions.fromString("rwx------"))));
        site =
                new Site(
                        nodes.stream().map(StorageNode::hostPort).toList(),
                        new OperatorFiles(Optional.empty(), Optional.empty(), Optional.of(config)));
    }

    public static void main(String[] args) throws Exception {
        ConsoleMeasure measure =
                new ConsoleMeasure(args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_PAIRS);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Thread thread = new Thread(() -> measure.ask(client), "client");
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(3000); // warm-up: JIT compilation would slow the first slices
        measure.consoles();
        measure.drains();
        measure.figures.end();
    }

    /**
     * Sends requests on one connection at this client's share of the rate. After a late answer the
     * next request starts at once.
     */
    private void ask(int client) {
        long intervalNanos = 1_000_000_000L * CLIENTS / (2 * NORMAL_REQUESTS_PER_SECOND);
        long next = System.nanoTime() + intervalNanos * client / CLIENTS;
        try (Socket socket = site.connect()) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (int i = 0; ; i++) {
                LockSupport.parkNanos(next - System.nanoTime());
                long sentNanos = System.nanoTime();
                String path = String.format("/job-read/%016x/%016x", client, i);
                String cost = "units=2,shard=" + (client + i) % NODES + ",hosts=1";
                String request = Site.request("GET", path, Site.headers(900, "standard", cost), "");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                if (HttpPeer.Message.read(in).status() == 200) {
                    latency.recordValue((System.nanoTime() - sentNanos) / 1000);
                }
                next = Math.max(next + intervalNanos, System.nanoTime());
            }
        } catch (IOException ended) {
            throw new IllegalStateException(ended);
        }
    }

    /** Opens three watching consoles, one of which never reads. */
    private List<AutoCloseable> openConsoles() throws IOException {
        List<AutoCloseable> consoles = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            ControlClient client = new ControlClient(config.socket());
            client.call("watch", Map.of());
            consoles.add(client);
            Thread reader =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        client.readLine();
                                    }
                                } catch (IOException closed) {
                                    return;
                                }
                            },
                            "console");
            reader.setDaemon(true);
            reader.start();
        }
        SocketChannel stopped = SocketChannel.open(UnixDomainSocketAddress.of(config.socket()));
        stopped.write(
                ByteBuffer.wrap("{\"v\":1,\"do\":\"watch\"}\n".getBytes(StandardCharsets.UTF_8)));
        consoles.add(stopped);
        return consoles;
    }

    private Histogram measureSlice() throws InterruptedException {
        Thread.sleep(SETTLE_MS);
        latency.getIntervalHistogram();
        Thread.sleep(SLICE_MS);
        return latency.getIntervalHistogram();
    }

    private void consoles() throws Exception {
        double[] p50 = new double[pairs];
        double[] p99 = new double[pairs];
        Histogram before = null;
        long count = 0;
        for (int i = 0; i < pairs; i++) {
            Histogram with = null;
            Histogram without = null;
            for (int turn = 0; turn < 2; turn++) {
                // Alternates the order within pairs, so that drifts cancel out.
                if ((i + turn) % 2 == 0) {
                    List<AutoCloseable> consoles = openConsoles();
                    with = measureSlice();
                    for (AutoCloseable console : consoles) {
                        console.close();
                    }
                } else {
                    without = measureSlice();
                }
            }
            p50[i] = relativeChange(with, without, 50);
            p99[i] = relativeChange(with, without, 99);
            before = without;
            count += with.getTotalCount() + without.getTotalCount();
        }
        figures.say("pairs", pairs);
        figures.say("requests_a_second", count * 1000.0 / (2 * pairs * SLICE_MS));
        figures.say("p50_ms", before.getValueAtPercentile(50) / 1e3);
        figures.say("p99_ms", before.getValueAtPercentile(99) / 1e3);
        double noise = standardErrorOfMedian(p99);
        figures.say("p99_standard_error", noise);
        figures.say(
                "pairs_that_the_noise_takes",
                Math.ceil(pairs * Math.pow(2 * noise / MAX_RELATIVE_CHANGE, 2)));
        figures.atMost("console_p50_change", median(p50), MAX_RELATIVE_CHANGE);
        figures.atMost(
                "console_p99_change",
                median(p99),
                MAX_RELATIVE_CHANGE + (pairs > DEFAULT_PAIRS ? 0 : 2 * noise));
    }

    /** Standard error of the median, estimated from the median absolute deviation. */
    private static double standardErrorOfMedian(double[] values) {
        double middle = median(values);
        double deviation =
                1.4826
                        * median(
                                Arrays.stream(values)
                                        .map(value -> Math.abs(value - middle))
                                        .toArray());
        return 1.2533 * deviation / Math.sqrt(values.length);
    }

    private static double relativeChange(Histogram with, Histogram without, double percent) {
        return (double) with.getValueAtPercentile(percent) / without.getValueAtPercentile(percent)
                - 1;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }

    private boolean acted(String what, int node, String command) {
        try (ControlClient client = new ControlClient(config.socket())) {
            JsonNode answer =
                    JSON.readTree(
                            client.call(
                                    what,
                                    Map.of(
                                            "node",
                                            "s-" + node,
                                            "force",
                                            "true",
                                            "command",
                                            command)));
            if (!answer.path("ok").asBoolean()) {
                throw new IllegalStateException(answer.toString());
            }
            return answer.path("acted").asBoolean();
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    /**
     * Drains each node in turn, with each order sent three times at once, and measures how long
     * after the answer requests still arrive at the node.
     */
    private void drains() throws Exception {
        double worstMillis = 0;
        int twice = 0;
        int acted = 0;
        for (int i = 0; i < DRAINS; i++) {
            int node = i % NODES;
            String name = "d" + i;
            List<CompletableFuture<Boolean>> orders =
                    IntStream.range(0, 3)
                            .mapToObj(
                                    j -> {
                                        String command = j == 2 ? name + "b" : name;
                                        return CompletableFuture.supplyAsync(
                                                () -> acted("drain", node, command));
                                    })
                            .toList();
            int times = (int) orders.stream().filter(CompletableFuture::join).count();
            long answered = System.nanoTime();
            acted += times;
            twice += times > 1 ? 1 : 0;
            Thread.sleep(DRAIN_MS);
            long until = System.nanoTime();
            for (Arrival arrival : nodes.get(node).arrivals) {
                if (arrival.nanos() > answered && arrival.nanos() < until) {
                    worstMillis = Math.max(worstMillis, (arrival.nanos() - answered) / 1e6);
                }
            }
            acted("undrain", node, name + "u");
            nodes.get(node).arrivals.clear();
            Thread.sleep(SETTLE_MS);
        }
        figures.say("drains", DRAINS);
        figures.hold("drains_acted", acted, DRAINS);
        figures.atMost("drain_worst_ms", worstMillis, 500);
        figures.atMost("drains_acted_twice", twice, 0);
    }
}
