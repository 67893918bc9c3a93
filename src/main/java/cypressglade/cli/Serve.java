package cypressglade.cli;

import cypressglade.config.Budget;
import cypressglade.config.Config;
import cypressglade.control.ControlService;
import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.Micros;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.core.RequestPool;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.http.ClientListener;
import cypressglade.http.DiscoveryWatch;
import cypressglade.http.NodeClient;
import cypressglade.member.Member;
import cypressglade.nbd.NbdListener;
import cypressglade.nbd.NbdNodeLink;
import cypressglade.net.EventLoop;
import cypressglade.net.NodePool;
import cypressglade.operate.ManualDrains;
import cypressglade.peer.Peers;
import cypressglade.peer.PeersConfig;
import cypressglade.share.Verdicts.Verdict;
import cypressglade.storm.ConnectionPacer;
import cypressglade.storm.StormSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** One real scheduler: its parts, from start to stop. */
public final class Serve implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Serve.class.getName());
    private static final int STACK_BYTES = 160 * 1024;

    /** What comes within 0.7 s of the signal to stop is still owed an answer, on each front. */
    private static final Duration SERVE_ON = Duration.ofMillis(800);

    /**
     * The kill comes no sooner than the longest deadline, but at most so long, and a little more.
     */
    private static final Duration MOST_COUNTED = Duration.ofSeconds(3);

    private static final Duration BEFORE_THE_KILL = Duration.ofMillis(400);
    private static final Duration LOOK = Duration.ofMillis(10);
    private static final Duration SETTLE = Duration.ofMillis(50);

    /** For clients to end their side once we have ended ours; before the kill. */
    private static final Duration LINGER = Duration.ofMillis(200);

    /**
     * The front asks for the health ten times a second and sends no new connection 0.2 s after a
     * no.
     */
    private static final Duration FRONT_TURNED = Duration.ofMillis(300);

    /**
     * What discovery has counts as told from a process's first moment, and its first list says so:
     * the doors wait for it, but not for a discovery that is down.
     */
    private static final Duration FIRST_LIST = Duration.ofSeconds(1);

    private static final String MEMBER = "member ";
    private static final String EVACUATE = "evacuate";
    private static final String ACTIVATE = "activate";

    private volatile Config config;
    private volatile OperatorFiles files;
    private final Counters counters = new Counters();
    private final EventLoop loop;
    private final Engine engine;
    private final RequestPool pool;
    private final ClientListener clients;
    private final NodePool connections;
    private final NodeClient nodes;
    private final DiscoveryWatch discovery;
    private final Optional<NbdNodeLink> nbdNodes;
    private final Optional<NbdListener> blockClients;
    private final Optional<Peers> peers;
    private final Optional<ControlService> control;
    private final Optional<Doorway> door;
    private final Optional<DoubtFile> doubts;
    private final AtomicLong evacuations = new AtomicLong();
    private final Object doors = new Object();
    private boolean stopping; // guarded by doors
    private volatile boolean ready;
    private volatile boolean evacuated;
    private volatile int processes = 1;

    public Serve(Config config, OperatorFiles files) throws IOException {
        this.config = config;
        this.files = files;
        loop = new EventLoop();
        NodeDirectory directory = new NodeDirectory();
        engine = new Engine(config.settings(), directory, counters, files.storms());
        doubts = files.storms().flatMap(StormSettings::uncertainWriteDirectory).map(DoubtFile::new);
        doubts.ifPresent(kept -> kept.open(engine));
        pool = new RequestPool(config.budget().requests(), STACK_BYTES, counters);
        connections =
                new NodePool(
                        loop,
                        directory,
                        counters,
                        config.connectTimeout(),
                        config.idleLimit(),
                        config.budget().nodeConnections());
        nodes =
                new NodeClient(
                        connections, config.budget().answerBytes(), config.settings().loadNames());
        nbdNodes = files.nbd().map(front -> new NbdNodeLink(connections, front));
        engine.start(
                node ->
                        nbdNodes.isPresent() && nbdNodes.get().isNbdNode(directory.findReady(node))
                                ? nbdNodes.get()
                                : nodes);
        ManualDrains drains = new ManualDrains(engine::updateNodes, this::decided);
        peers =
                files.peers()
                        .map(
                                file ->
                                        new Peers(
                                                file,
                                                loop,
                                                engine,
                                                counters, // before who asks it
                                                verdict -> ruled(verdict, drains)));
        control =
                files.control().isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                new ControlService(
                                        files.control().get(),
                                        engine,
                                        counters,
                                        drains,
                                        this::members,
                                        () -> InForce.of(this.config, this.files)));
        door =
                config.operator().isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                new Doorway(
                                        config.operator().get(),
                                        config.name(),
                                        System.getenv("TMPDIR"),
                                        drains,
                                        new Doorway.Scheduler() {
                                            @Override
                                            public boolean started() {
                                                return ready;
                                            }

                                            @Override
                                            public void evacuate(boolean away) {
                                                Serve.this.evacuate(away);
                                                decided(
                                                        MEMBER + memberName(),
                                                        away ? EVACUATE : ACTIVATE);
                                            }

                                            @Override
                                            public Optional<String> fleet() {
                                                return peers.flatMap(Peers::fleetViewJson);
                                            }

                                            @Override
                                            public void beside(int processes) {
                                                Serve.this.beside(processes);
                                            }
                                        }));
        boolean byHand =
                control.isPresent()
                        || door.isPresent()
                        || peers.filter(Peers::sharesLimits).isPresent();
        Consumer<NodeList> lists = byHand ? drains::updateNodes : engine::updateNodes;
        lists.accept(config.known());
        discovery =
                new DiscoveryWatch(
                        loop,
                        config.discovery(),
                        config.nodeLists(),
                        directory,
                        lists,
                        counters,
                        config.settings().listOnRequest());
        discovery.start();
        clients =
                new ClientListener(
                        loop,
                        config.settings(),
                        engine,
                        counters,
                        pool,
                        nodes,
                        () -> ready && !evacuated,
                        config.budget(),
                        files.storms()
                                .map(
                                        terms ->
                                                new ConnectionPacer(
                                                        terms.connectionsPerSecond(),
                                                        MonotonicClock.now())));
        blockClients =
                files.nbd().isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                new NbdListener(
                                        loop,
                                        files.nbd().get(),
                                        config.settings(),
                                        engine,
                                        directory,
                                        counters,
                                        pool,
                                        nbdNodes.get()));
    }

    /**
     * So many processes serve as this scheduler: each takes its part of the limits, which are one
     * scheduler's.
     */
    private void beside(int count) {
        processes = count;
        engine.setProcessCount(count);
        if (ready) {
            deal(config);
        }
    }

    /** Hands each part its values of a configuration, by how many processes share its limits. */
    private void deal(Config shared) {
        Budget budget = shared.budget().among(processes);
        clients.applySettings(shared.settings(), budget);
        pool.resize(budget.requests(), budget.threads());
        nodes.reconfigure(budget.answerBytes(), shared.settings().loadNames());
        connections.reconfigure(
                shared.connectTimeout(), shared.idleLimit(), budget.nodeConnections());
    }

    /** An operator decided something here: the fleet hears of it, where one shares verdicts. */
    private void decided(String subject, String word) {
        peers.ifPresent(fleet -> fleet.announceVerdict(subject, word));
    }

    /** What was decided at another member, or here in a former life. */
    private void ruled(Verdict verdict, ManualDrains drains) {
        if (drains.applyDecision(
                verdict.subject(), verdict.action(), verdict.issuer(), verdict.issuedAt())) {
            return;
        }
        if (verdict.subject().equals(MEMBER + memberName())
                && List.of(EVACUATE, ACTIVATE).contains(verdict.action())) {
            evacuate(verdict.action().equals(EVACUATE));
        }
    }

    private String memberName() {
        return files.peers().map(PeersConfig::name).orElse("");
    }

    private List<Member> members() {
        return peers.map(Peers::members).orElse(List.of());
    }

    /**
     * Learns from peers and from discovery for a bounded time, and opens the doors. Whoever stops
     * the program must be able to from here on: what is told to stop before its doors are open
     * opens none.
     *
     * @return whether the doors are open
     */
    public boolean start() throws IOException {
        if (peers.isPresent()) {
            peers.get().start();
        }
        door.ifPresent(Doorway::start);
        try {
            discovery.awaitFirstList(FIRST_LIST);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        synchronized (doors) {
            if (!stopping) {
                clients.start(config.listen());
                door.ifPresent(Doorway::serving);
                ready = true;
                deal(config);
            }
            return ready;
        }
    }

    /**
     * Turns the health around for good; false where the doors were never open, and nothing is owed.
     */
    private boolean stopOpening() {
        synchronized (doors) {
            boolean wasReady = ready;
            stopping = true;
            ready = false;
            return wasReady;
        }
    }

    /**
     * Sends clients away without stopping, or takes them again: the health says no at once, and
     * once the front has seen it each answer ends its connection and idle ones are closed, so that
     * none is held idle.
     */
    private void evacuate(boolean away) {
        long turn = evacuations.incrementAndGet();
        evacuated = away;
        if (away) {
            loop.executeAfter(
                    FRONT_TURNED,
                    () -> {
                        if (evacuations.get() == turn) {
                            clients.startDraining();
                        }
                    });
        } else {
            clients.stopDraining();
        }
    }

    /** Where the operators' door listens, once it is bound. */
    public Optional<InetSocketAddress> operatorAddress() {
        return door.map(Doorway::address);
    }

    /**
     * Takes a new configuration: each part is handed its own values whole, and what is open goes
     * on.
     */
    public void use(Config next, OperatorFiles files) {
        engine.applySettings(next.settings());
        deal(next);
        discovery.reconfigure(next.discovery(), next.nodeLists());
        if (files.nbd().isPresent() && blockClients.isPresent()) {
            nbdNodes.get().reconfigure(files.nbd().get());
            blockClients.get().reconfigure(files.nbd().get(), next.settings());
        }
        if (files.peers().isPresent() && peers.isPresent()) {
            peers.get().applyConfig(files.peers().get());
        }
        if (!next.listen().equals(config.listen())
                || files.nbd().isPresent() != blockClients.isPresent()
                || files.peers().isPresent() != peers.isPresent()
                || files.control().isPresent() != control.isPresent()
                || !files.storms().equals(this.files.storms())
                || next.budget().memoryMb() != config.budget().memoryMb()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "listeners and the heap change with a restart only");
        }
        config = next;
        this.files = files;
    }

    /** The configuration in force. */
    public Config config() {
        return config;
    }

    public InetSocketAddress address() {
        return clients.address();
    }

    public Optional<InetSocketAddress> nbdAddress() {
        return blockClients.map(NbdListener::address);
    }

    /** Where other instances reach this one, once it has started. */
    public Optional<InetSocketAddress> peerAddress() {
        return peers.flatMap(Peers::address);
    }

    /** Connections of clients that are open, or are being closed in order. */
    public int connected() {
        return clients.connectionCount();
    }

    public Counters counters() {
        return counters;
    }

    /**
     * Stops as a planned restart wants it. Clients go on using the connections that they have, and
     * whoever would come through a stopped scheduler is lost: so it serves for as long as it is
     * sure not to be killed, and all that was taken is answered first. Where an upgrade's next
     * process takes clients on the same port, new connections are left to that one at once.
     */
    public void drain() throws InterruptedException {
        Instant told = MonotonicClock.now();
        LOG.log(System.Logger.Level.INFO, "told to stop, {0} requests open", pool.openCount());
        if (stopOpening()) {
            answerAll(told);
        }
        doubts.ifPresent(kept -> kept.close(engine));
        peers.ifPresent(Peers::close);
        control.ifPresent(ControlService::close);
        door.ifPresent(Doorway::close);
    }

    private void answerAll(Instant told) throws InterruptedException {
        Duration longest =
                config.settings().classes().stream()
                        .map(RequestClass::deadlineUs)
                        .map(Micros::toDuration)
                        .max(Duration::compareTo)
                        .orElse(Duration.ZERO);
        Instant served =
                told.plus(longest.compareTo(MOST_COUNTED) < 0 ? longest : MOST_COUNTED)
                        .plus(BEFORE_THE_KILL);
        if (door.filter(Doorway::relieved).isPresent()) {
            clients.stopAccepting();
        }
        blockClients.ifPresent(NbdListener::refuseHandshakes);
        clients.setAnswerDeadline(served);
        if (blockClients.isPresent()) {
            Instant refused = told.plus(SERVE_ON);
            Thread.sleep(
                    MonotonicClock.until(refused.isBefore(served) ? refused : served).toMillis());
            blockClients.get().refuseCommands();
        }
        Thread.sleep(MonotonicClock.until(served).toMillis());
        LOG.log(
                System.Logger.Level.INFO,
                "stopping: {0} requests open, {1} clients connected",
                pool.openCount(),
                clients.connectionCount());
        clients.startShutdown();
        pool.stopAll(); // those from before the signal may have longer to go than the program has
        while (pool.openCount() > 0 && MonotonicClock.now().isBefore(served.plus(LINGER))) {
            Thread.sleep(LOOK.toMillis());
        }
        while (clients.connectionCount() > 0
                && MonotonicClock.now().isBefore(served.plus(LINGER))) {
            Thread.sleep(LOOK.toMillis());
        }
        Thread.sleep(SETTLE.toMillis());
    }

    @Override
    public void close() {
        door.ifPresent(Doorway::close);
        peers.ifPresent(Peers::close);
        control.ifPresent(ControlService::close);
        clients.close();
        blockClients.ifPresent(NbdListener::close);
        pool.close();
        engine.close();
        loop.close();
    }
}
