package cypressglade.cli;

import cypressglade.config.Config;
import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.Micros;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.core.RequestPool;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.State;
import cypressglade.http.ClientListener;
import cypressglade.http.NodeClient;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import cypressglade.net.NodePool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Made-up requests through parts of their own, over pipes inside the program, before the doors
 * open. The first real requests would pay for all loading and compiling otherwise: on part of a
 * core they took five times the work, and half of those of the first seconds were refused. The
 * parts that serve learn nothing.
 */
final class Rehearsal {
    private static final int MOST_REQUESTS = 500;
    private static final int LANES = 8;

    /**
     * Requests that a node serves in the tightest aim, at the load that nodes are meant to bear.
     */
    private static final double IN_AIM = 12;

    /** Requests a second that code which never ran bears on half a core. */
    private static final double BEARABLE = 70;

    /** What comes beyond that in so many seconds is worth rehearsing. */
    private static final double SECONDS = 4;

    /** So many requests run nearly every piece of code once. */
    private static final int LEAST_REQUESTS = LANES;

    private static final Duration MOST = Duration.ofMillis(2500);

    /** For what is still open then. */
    private static final Duration LAST = Duration.ofMillis(300);

    private static final int STACK_BYTES = 160 * 1024;
    private static final byte[] ANSWER =
            ("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + "x".repeat(200))
                    .getBytes(StandardCharsets.US_ASCII);

    private final Config config;
    private final int requests;
    private final List<Plan> plans;
    private final CountDownLatch lanes = new CountDownLatch(LANES);
    private volatile boolean timeIsUp;
    private int asked;
    private int answered;

    private Rehearsal(Config config) {
        this.config = config;
        requests = requests(config.settings(), config.known().entries().size());
        // Work of a plan with a limit waits for its volume's store to fill: time without a gain.
        List<Plan> all = config.settings().plans();
        List<Plan> unlimited = all.stream().filter(plan -> plan.limitRate() <= 0).toList();
        plans = unlimited.isEmpty() ? all : unlimited;
    }

    /**
     * By what is to come: where it is much, the first seconds would be lost to loading and
     * compiling. Where many schedulers share the work, little comes to each, and closed doors lose
     * more than slow answers: after a mass kill all of them are away at once.
     */
    static int requests(Settings settings, int nodes) {
        double tightest =
                settings.classes().stream()
                        .mapToLong(RequestClass::targetLatencyUs)
                        .min()
                        .orElse(1);
        double aims = (double) Micros.of(Duration.ofSeconds(1)) / Math.max(1, tightest);
        double beyond = nodes * IN_AIM / settings.instances() * aims - BEARABLE;
        return (int) Math.max(LEAST_REQUESTS, Math.min(MOST_REQUESTS, beyond * SECONDS));
    }

    /** Plays all requests, or as many as the time allows; returns how many were answered. */
    static int play(Config config) throws IOException {
        return new Rehearsal(config).play();
    }

    private int play() throws IOException {
        Counters counters = new Counters();
        NodeDirectory directory = new NodeDirectory();
        try (PipeLoop loop = new PipeLoop();
                Engine engine = new Engine(config.settings(), directory, counters);
                RequestPool pool =
                        new RequestPool(config.budget().requests(), STACK_BYTES, counters)) {
            NodeClient nodes =
                    new NodeClient(
                            new NodePool(
                                    loop,
                                    directory,
                                    counters,
                                    config.connectTimeout(),
                                    config.idleLimit(),
                                    config.budget().nodeConnections()),
                            config.budget().answerBytes(),
                            config.settings().loadNames());
            engine.start(node -> nodes);
            engine.updateNodes(
                    new NodeList(
                            1,
                            true,
                            List.of(
                                    new NodeList.Entry(
                                            "rehearsal",
                                            config.listen(),
                                            0,
                                            0,
                                            0,
                                            State.READY,
                                            1,
                                            Instant.EPOCH))));
            ClientListener clients =
                    new ClientListener(
                            loop,
                            config.settings(),
                            engine,
                            counters,
                            pool,
                            nodes,
                            () -> true,
                            config.budget(),
                            Optional.empty());
            for (int i = 0; i < LANES; i++) {
                loop.execute(() -> new Lane(loop.openPipe(clients::accept)));
            }
            if (!lanes.await(MOST.toMillis(), TimeUnit.MILLISECONDS)) {
                timeIsUp = true;
                lanes.await(LAST.toMillis(), TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        return answered;
    }

    /** Dials nobody: each connection is a pipe to a node that answers at once. */
    private static final class PipeLoop extends EventLoop {
        PipeLoop() throws IOException {}

        @Override
        public EventLoop.PendingConnection connect(
                InetSocketAddress address, Consumer<Connection> up, Runnable down) {
            execute(
                    () -> {
                        Connection[] ends = connectedPair();
                        ends[0].readInto(new Answering(ends[0]));
                        up.accept(ends[1]);
                    });
            return () -> {};
        }
    }

    /** Bytes in, an answer out, for as long as the other side goes on. */
    private record Answering(Connection connection) implements Connection.Listener {
        @Override
        public void received(ByteBuffer in) {
            connection.send(ByteBuffer.wrap(ANSWER));
        }

        @Override
        public void ended() {
            connection.close();
        }
    }

    /** One client: the next request when the last is answered. */
    private final class Lane implements Connection.Listener {
        private final Connection connection;

        Lane(Connection connection) {
            this.connection = connection;
            connection.readInto(this);
            ask();
        }

        private void ask() {
            int number = asked++;
            List<RequestClass> classes = config.settings().classes();
            RequestClass type = classes.get(number % classes.size());
            String body = type.write() ? "x".repeat(200) : "";
            String request =
                    (type.write() ? "PUT /" : "GET /")
                            + type.name()
                            + String.format("/%016x/%016x", number % 40, number)
                            + " HTTP/1.1\r\nHost: rehearsal\r\n"
                            + "X-Trace-Id: "
                            + number
                            + "\r\nTier: "
                            + plans.get(number % plans.size()).name()
                            + "\r\nX-Expires-In-Ms: "
                            + Micros.toDuration(type.deadlineUs()).toMillis()
                            + "\r\nIO-Info: units=1,shard=0,hosts=1\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
            connection.send(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void received(ByteBuffer in) {
            answered++;
            if (asked < requests && !timeIsUp) {
                ask();
            } else {
                lanes.countDown();
            }
        }

        @Override
        public void ended() {
            connection.close();
        }
    }
}
