package cypressglade.share;

import cypressglade.lab.ProcessFleet;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.Site;
import cypressglade.standin.StorageNode;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A fleet for tests: five processes of the program that share the limit of a plan, links with
 * faults between them, two storage nodes (one warm, one that has just started), and clients whose
 * demand far exceeds the limit. What the nodes received is checked against one token bucket of the
 * whole limit.
 */
final class LimitRig implements AutoCloseable {
    static final int MEMBERS = 5;
    static final Duration PERIOD = Duration.ofMillis(200);
    static final SharingSettings SETTINGS =
            new SharingSettings(
                    IntStream.range(0, MEMBERS)
                            .mapToObj(ProcessFleet::name)
                            .collect(Collectors.toSet()),
                    0.25,
                    2,
                    Duration.ofMillis(500));

    /** The refill rate of the limit. */
    static final double LIMIT_UNITS_PER_S = 200;

    /** The capacity of the limit's token bucket. */
    static final double BURST_UNITS = 100;

    /**
     * Tolerated excess, as documented for operators: what the limit allows in 150 ms, plus one of
     * the largest requests.
     */
    static final double SLACK_UNITS = LIMIT_UNITS_PER_S * 0.15 + 6;

    static final String VOLUME = "00000000000000aa";
    static final String OTHER_VOLUME = "00000000000000bb";
    static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int EXPIRY_MS = 900;

    final StorageNode warm = new StorageNode(0.2, false);
    final StorageNode cold;
    final ProcessFleet fleet;
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final AtomicLong refused = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();

    /**
     * Starts the processes and the nodes.
     *
     * @param coldMs milliseconds that a unit takes at the cold node, which starts now
     */
    LimitRig(Path directory, double coldMs) throws Exception {
        cold = new StorageNode(coldMs, false);
        String entries =
                Site.entry(0, warm.hostPort(), "active", 0)
                        + ","
                        + Site.entry(1, cold.hostPort(), "active", System.currentTimeMillis());
        String limits = "\"neverOver\":" + LIMIT_UNITS_PER_S + ",\"limitBurst\":" + BURST_UNITS;
        fleet =
                new ProcessFleet(
                        directory,
                        MEMBERS,
                        PERIOD,
                        23,
                        text ->
                                text.replace(Site.entry(0, "127.0.0.1:10801", "active", 0), entries)
                                        .replace("\"balancers\":1", "\"balancers\":" + MEMBERS)
                                        .replace("\"neverOver\":1,\"limitBurst\":8", limits),
                        Optional.of(SETTINGS));
        fleet.act("0s delay * * 1ms..20ms");
        fleet.startAll(MEMBERS);
    }

    /** Among how many members the shares of a member are agreed now; 0 if it has only floors. */
    int agreed(int member) throws IOException {
        return fleet.view(member).path("limits").path("agreed_among").asInt();
    }

    /** Waits until these members have shares agreed among so many; false after {@link #TIMEOUT}. */
    boolean awaitAgreement(int among, Integer... members) throws IOException {
        return await(
                () -> {
                    try {
                        for (int member : members) {
                            if (agreed(member) != among) {
                                return false;
                            }
                        }
                        return true;
                    } catch (IOException notYet) {
                        return false;
                    }
                });
    }

    /** Waits for a condition; false if it does not hold within {@link #TIMEOUT}. */
    boolean await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            fleet.pass(Duration.ofMillis(50));
        }
        return true;
    }

    /**
     * Starts clients of a member, each of which requests one unit after the other until this is
     * closed.
     */
    void startClients(int member, int clients, String volume, String tier, int shard) {
        for (int i = 0; i < clients; i++) {
            Thread thread =
                    new Thread(
                            () -> requestUntilClosed(member, volume, tier, shard),
                            "client of " + member);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void requestUntilClosed(int member, String volume, String tier, int shard) {
        long key = (long) member << 32 | Thread.currentThread().getId() << 20;
        while (!isClosed.get()) {
            InetSocketAddress at = fleet.clients(member);
            try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
                socket.setSoTimeout(2 * EXPIRY_MS);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (!isClosed.get()) {
                    String path = "/job-read/" + volume + "/" + String.format("%016x", ++key);
                    String cost = "units=1,shard=" + shard + ",hosts=" + MEMBERS;
                    String headers = Site.headers(EXPIRY_MS, tier, cost);
                    String request = Site.request("GET", path, headers, "");
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    if (HttpPeer.Message.read(in).status() != 200) {
                        refused.incrementAndGet();
                        fleet.pass(Duration.ofMillis(5));
                    }
                }
            } catch (IOException gone) {
                // its member was ended; the next process listens on another port
                fleet.pass(Duration.ofMillis(50));
            }
        }
    }

    long refused() {
        return refused.get();
    }

    /** The arrivals at both nodes for the limited volume since a time, oldest first. */
    List<StorageNode.Arrival> arrivals(long sinceNanos) {
        return List.of(warm, cold).stream()
                .flatMap(node -> node.arrivals.stream())
                .filter(arrival -> arrival.volume().equals(VOLUME) && arrival.nanos() >= sinceNanos)
                .sorted(Comparator.comparingLong(StorageNode.Arrival::nanos))
                .toList();
    }

    /**
     * Most units sent, in any span of time, beyond one token bucket of the limit, full at first.
     */
    double overshoot() {
        return overshoot(Long.MIN_VALUE);
    }

    /** The same, counting from a time on, with a full bucket then. */
    double overshoot(long sinceNanos) {
        double level = BURST_UNITS;
        double lowest = BURST_UNITS;
        long at = Long.MIN_VALUE;
        for (StorageNode.Arrival arrival : arrivals(sinceNanos)) {
            level =
                    at == Long.MIN_VALUE
                            ? BURST_UNITS
                            : Math.min(
                                    BURST_UNITS,
                                    level + LIMIT_UNITS_PER_S * (arrival.nanos() - at) / 1e9);
            at = arrival.nanos();
            level -= arrival.units();
            lowest = Math.min(lowest, level);
        }
        return -lowest;
    }

    /** Units sent per second since a time, as a fraction of the limit. */
    double usedFraction(long sinceNanos) {
        return arrivals(sinceNanos).stream().mapToDouble(StorageNode.Arrival::units).sum()
                / ((System.nanoTime() - sinceNanos) / 1e9)
                / LIMIT_UNITS_PER_S;
    }

    /** Most units that the cold node received in any span of this length. */
    double maxColdUnits(Duration span) {
        List<StorageNode.Arrival> all =
                cold.arrivals.stream()
                        .sorted(Comparator.comparingLong(StorageNode.Arrival::nanos))
                        .toList();
        double max = 0;
        double sum = 0;
        int from = 0;
        for (StorageNode.Arrival arrival : all) {
            sum += arrival.units();
            while (all.get(from).nanos() <= arrival.nanos() - span.toNanos()) {
                sum -= all.get(from++).units();
            }
            max = Math.max(max, sum);
        }
        return max;
    }

    /** Whether the verdict that a member holds on a subject has this action. */
    boolean holdsVerdict(int member, String subject, String action) throws IOException {
        for (var verdict : fleet.view(member).path("verdicts")) {
            if (verdict.path("subject").asText().equals(subject)) {
                return verdict.path("word").asText().equals(action);
            }
        }
        return false;
    }

    /** Waits until all these members hold it; false after {@link #TIMEOUT}. */
    boolean awaitVerdict(Set<Integer> members, String subject, String action) {
        return await(
                () ->
                        members.stream()
                                .allMatch(
                                        member -> {
                                            try {
                                                return holdsVerdict(member, subject, action);
                                            } catch (IOException notYet) {
                                                return false;
                                            }
                                        }));
    }

    @Override
    public void close() throws IOException {
        isClosed.set(true);
        fleet.close();
        warm.close();
        cold.close();
    }
}
