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
 * {@code make measure-console}: what consoles cost the requests, in slices with and without them in
 * turn, and how soon drains hold, at twice the normal load; 1 where a bound is missed.
 */
public final class ConsoleMeasure {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int NODES = 8;
    private static final double PACE_MS = 1.5;
    private static final int NORMAL_RATE = 200;
    private static final int CLIENTS = 40;

    /**
     * What fits under a minute; the bound on p99 without allowance for noise takes the number it
     * prints.
     */
    private static final int PAIRS = 48;

    // Short, so that what drifts on the machine is the same in both of a pair.
    private static final long SLICE_MS = 300;
    private static final long SETTLE_MS = 50;
    private static final double BOUND = 0.02;
    private static final int DRAINS = 100;
    private static final long DRAINED_MS = 60;

    private final Figures figures = new Figures();
    private final List<StorageNode> nodes =
            IntStream.range(0, NODES).mapToObj(i -> new StorageNode(PACE_MS, false)).toList();
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
                new ConsoleMeasure(args.length > 0 ? Integer.parseInt(args[0]) : PAIRS);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Thread thread = new Thread(() -> measure.ask(client), "client");
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(3000); // what is compiled late would count against the first slices
        measure.consoles();
        measure.drains();
        measure.figures.end();
    }

    /**
     * One client on one connection, at its part of the rate: a reader late by itself starts the
     * next at once.
     */
    private void ask(int client) {
        long gap = 1_000_000_000L * CLIENTS / (2 * NORMAL_RATE);
        long next = System.nanoTime() + gap * client / CLIENTS;
        try (Socket socket = site.connect()) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (int i = 0; ; i++) {
                LockSupport.parkNanos(next - System.nanoTime());
                long asked = System.nanoTime();
                String path = String.format("/job-read/%016x/%016x", client, i);
                String cost = "units=2,shard=" + (client + i) % NODES + ",hosts=1";
                String request = Site.request("GET", path, Site.headers(900, "standard", cost), "");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                if (HttpPeer.Message.read(in).status() == 200) {
                    latency.recordValue((System.nanoTime() - asked) / 1000);
                }
                next = Math.max(next + gap, System.nanoTime());
            }
        } catch (IOException ended) {
            throw new IllegalStateException(ended);
        }
    }

    /** Three that watch, of which one never reads. */
    private List<AutoCloseable> open() throws IOException {
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

    private Histogram slice() throws InterruptedException {
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
                if ((i + turn) % 2
                        == 0) { // which of a pair goes first changes, or a drift would count
                    List<AutoCloseable> consoles = open();
                    with = slice();
                    for (AutoCloseable console : consoles) {
                        console.close();
                    }
                } else {
                    without = slice();
                }
            }
            p50[i] = change(with, without, 50);
            p99[i] = change(with, without, 99);
            before = without;
            count += with.getTotalCount() + without.getTotalCount();
        }
        figures.say("pairs", pairs);
        figures.say("requests_a_second", count * 1000.0 / (2 * pairs * SLICE_MS));
        figures.say("p50_ms", before.getValueAtPercentile(50) / 1e3);
        figures.say("p99_ms", before.getValueAtPercentile(99) / 1e3);
        double noise = error(p99);
        figures.say("p99_standard_error", noise);
        figures.say(
                "pairs_that_the_noise_takes", Math.ceil(pairs * Math.pow(2 * noise / BOUND, 2)));
        figures.atMost("console_p50_change", median(p50), BOUND);
        figures.atMost("console_p99_change", median(p99), BOUND + (pairs > PAIRS ? 0 : 2 * noise));
    }

    /** Standard error of the median, by the median distance from it. */
    private static double error(double[] values) {
        double middle = median(values);
        double deviation =
                1.4826
                        * median(
                                Arrays.stream(values)
                                        .map(value -> Math.abs(value - middle))
                                        .toArray());
        return 1.2533 * deviation / Math.sqrt(values.length);
    }

    private static double change(Histogram with, Histogram without, double percent) {
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
     * Each node in turn, each drain given three times at once; what came at the node after the
     * answer.
     */
    private void drains() throws Exception {
        double worst = 0;
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
            Thread.sleep(DRAINED_MS);
            long until = System.nanoTime();
            for (Arrival arrival : nodes.get(node).arrivals) {
                if (arrival.nanos() > answered && arrival.nanos() < until) {
                    worst = Math.max(worst, (arrival.nanos() - answered) / 1e6);
                }
            }
            acted("undrain", node, name + "u");
            nodes.get(node).arrivals.clear();
            Thread.sleep(SETTLE_MS);
        }
        figures.say("drains", DRAINS);
        figures.hold("drains_acted", acted, DRAINS);
        figures.atMost("drain_worst_ms", worst, 500);
        figures.atMost("drains_acted_twice", twice, 0);
    }
}
