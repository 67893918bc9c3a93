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
 * Five processes of the program that share the limit of a plan, fault links between them, two
 * storage nodes (one warm, one that has just started), and clients that ask for far more than the
 * limit. What the nodes were sent is held against one store of the whole limit.
 */
final class LimitRig implements AutoCloseable {
    static final int MEMBERS = 5;
    static final Duration PERIOD = Duration.ofMillis(200);
    static final SharingSettings TERMS =
            new SharingSettings(
                    IntStream.range(0, MEMBERS)
                            .mapToObj(ProcessFleet::name)
                            .collect(Collectors.toSet()),
                    0.25,
                    2,
                    Duration.ofMillis(500));

    /** Units a second, and at once. */
    static final double RATE = 200;

    static final double BURST = 100;

    /** As the pages have it: what the limit allows in 150 ms, and one of the largest requests. */
    static final double SLACK = RATE * 0.15 + 6;

    static final String VOLUME = "00000000000000aa";
    static final String OTHER = "00000000000000bb";
    static final Duration WAIT = Duration.ofSeconds(30);
    private static final int EXPIRES_MS = 900;

    final StorageNode warm = new StorageNode(0.2, false);
    final StorageNode cold;
    final ProcessFleet fleet;
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicLong refused = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();

    /**
     * @param coldMs a unit at the cold node, which starts now
     */
    LimitRig(Path folder, double coldMs) throws Exception {
        cold = new StorageNode(coldMs, false);
        String entries =
                Site.entry(0, warm.hostPort(), "active", 0)
                        + ","
                        + Site.entry(1, cold.hostPort(), "active", System.currentTimeMillis());
        String limits = "\"neverOver\":" + RATE + ",\"limitBurst\":" + BURST;
        fleet =
                new ProcessFleet(
                        folder,
                        MEMBERS,
                        PERIOD,
                        23,
                        text ->
                                text.replace(Site.entry(0, "127.0.0.1:10801", "active", 0), entries)
                                        .replace("\"balancers\":1", "\"balancers\":" + MEMBERS)
                                        .replace("\"neverOver\":1,\"limitBurst\":8", limits),
                        Optional.of(TERMS));
        fleet.act("0s delay * * 1ms..20ms");
        fleet.startAll(MEMBERS);
    }

    /** How many members the parts of a member are agreed among now; 0 where all have floors. */
    int agreed(int member) throws IOException {
        return fleet.view(member).path("limits").path("agreed_among").asInt();
    }

    /** Waits until the members given are agreed among so many. */
    boolean agree(int among, Integer... members) throws IOException {
        return until(
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

    /** Waits for something that is bound to come. */
    boolean until(BooleanSupplier come) {
        long end = System.nanoTime() + WAIT.toNanos();
        while (!come.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            fleet.pass(Duration.ofMillis(50));
        }
        return true;
    }

    /**
     * From now on so many clients of a member ask for one unit after the other, until it is closed.
     */
    void surge(int member, int clients, String volume, String tier, int shard) {
        for (int i = 0; i < clients; i++) {
            Thread thread =
                    new Thread(() -> ask(member, volume, tier, shard), "client of " + member);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void ask(int member, String volume, String tier, int shard) {
        long key = (long) member << 32 | Thread.currentThread().getId() << 20;
        while (!over.get()) {
            InetSocketAddress at = fleet.clients(member);
            try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
                socket.setSoTimeout(2 * EXPIRES_MS);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (!over.get()) {
                    String path = "/job-read/" + volume + "/" + String.format("%016x", ++key);
                    String cost = "units=1,shard=" + shard + ",hosts=" + MEMBERS;
                    String headers = Site.headers(EXPIRES_MS, tier, cost);
                    String request = Site.request("GET", path, headers, "");
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    if (HttpPeer.Message.read(in).status() != 200) {
                        refused.incrementAndGet();
                        fleet.pass(Duration.ofMillis(5));
                    }
                }
            } catch (IOException gone) {
                // its member was ended; the next one listens elsewhere
                fleet.pass(Duration.ofMillis(50));
            }
        }
    }

    long refused() {
        return refused.get();
    }

    /** What came for the limited volume since a time, oldest first. */
    List<StorageNode.Arrival> sent(long sinceNanos) {
        return List.of(warm, cold).stream()
                .flatMap(node -> node.arrivals.stream())
                .filter(one -> one.volume().equals(VOLUME) && one.nanos() >= sinceNanos)
                .sorted(Comparator.comparingLong(StorageNode.Arrival::nanos))
                .toList();
    }

    /** Most units sent, in any span, beyond one store of the limit that was full at its start. */
    double overshoot() {
        return overshoot(Long.MIN_VALUE);
    }

    /** The same, of spans since a time. */
    double overshoot(long sinceNanos) {
        double level = BURST;
        double least = BURST;
        long at = Long.MIN_VALUE;
        for (StorageNode.Arrival one : sent(sinceNanos)) {
            level =
                    at == Long.MIN_VALUE
                            ? BURST
                            : Math.min(BURST, level + RATE * (one.nanos() - at) / 1e9);
            at = one.nanos();
            level -= one.units();
            least = Math.min(least, level);
        }
        return -least;
    }

    /** Units a second sent since a time, in parts of the limit. */
    double used(long sinceNanos) {
        return sent(sinceNanos).stream().mapToDouble(StorageNode.Arrival::units).sum()
                / ((System.nanoTime() - sinceNanos) / 1e9)
                / RATE;
    }

    /** Most units that the cold node got in any span. */
    double mostCold(Duration span) {
        List<StorageNode.Arrival> all =
                cold.arrivals.stream()
                        .sorted(Comparator.comparingLong(StorageNode.Arrival::nanos))
                        .toList();
        double most = 0;
        double sum = 0;
        int from = 0;
        for (StorageNode.Arrival one : all) {
            sum += one.units();
            while (all.get(from).nanos() <= one.nanos() - span.toNanos()) {
                sum -= all.get(from++).units();
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    /** Whether a member holds a verdict with that word on a subject. */
    boolean holds(int member, String subject, String word) throws IOException {
        for (var verdict : fleet.view(member).path("verdicts")) {
            if (verdict.path("subject").asText().equals(subject)) {
                return verdict.path("word").asText().equals(word);
            }
        }
        return false;
    }

    /** Waits until all members given hold it. */
    boolean allHold(Set<Integer> members, String subject, String word) {
        return until(
                () ->
                        members.stream()
                                .allMatch(
                                        member -> {
                                            try {
                                                return holds(member, subject, word);
                                            } catch (IOException notYet) {
                                                return false;
                                            }
                                        }));
    }

    @Override
    public void close() throws IOException {
        over.set(true);
        fleet.close();
        warm.close();
        cold.close();
    }
}
