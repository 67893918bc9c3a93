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
import cypressglade.core.RequestLog;
import cypressglade.core.RequestPool;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.http.ClientListener;
import cypressglade.http.DiscoveryWatch;
import cypressglade.http.NodeClient;
import cypressglade.member.Member;
import cypressglade.nbd.NbdListener;
import cypressglade.nbd.NbdNodeLink;
import cypressglade.net.EventLoop;
import cypressglade.net.LoopHold;
import cypressglade.net.NodePool;
import cypressglade.operate.ManualDrains;
import cypressglade.peer.Peers;
import cypressglade.peer.PeersConfig;
import cypressglade.share.Verdicts.Verdict;
import cypressglade.storm.ConnectionPacer;
import cypressglade.storm.StormSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
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
    private static final Duration NBD_GRACE = Duration.ofMillis(800);

    /**
     * The kill comes no sooner than the longest deadline, but at most so long, and a little more.
     */
    private static final Duration MAX_COUNTED_DEADLINE = Duration.ofSeconds(3);

    private static final Duration KILL_MARGIN = Duration.ofMillis(400);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration SETTLE_TIME = Duration.ofMillis(50);

    /** For clients to end their side once we have ended ours; before the kill. */
    private static final Duration LINGER = Duration.ofMillis(200);

    /**
     * The front asks for the health ten times a second and sends no new connection 0.2 s after a
     * no.
     */
    private static final Duration HEALTH_CHECK_DELAY = Duration.ofMillis(300);

    /**
     * What discovery lists counts as known from a process's first moment, so clients are taken once
     * the first list is here, or after this time where discovery is down.
     */
    private static final Duration FIRST_LIST_TIMEOUT = Duration.ofSeconds(1);

    private static final String TEMPORARY = "TMPDIR";
    private static final String TRACE_IDS = "trace-ids.";
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
    private final Optional<NbdListener> nbdListener;
    private final Optional<Peers> peers;
    private final Optional<ControlService> control;
    private final Optional<OperatorPort> operatorPort;
    private final Optional<WriteHandover> writeHandover;
    private final AtomicLong evacuations = new AtomicLong();
    private final Object startLock = new Object();
    private boolean stopping; // guarded by startLock
    private volatile boolean ready;
    private volatile boolean evacuated;
    private volatile int processes = 1;

    private void recordHold(LoopHold hold) {
        counters.add(Counters.Name.LOOP_HOLDS);
        counters.add(Counters.Name.LOOP_HELD_MS, hold.duration().toMillis());
        engine.requestLog()
                .record(
                        RequestLog.NO_ID,
                        RequestLog.Event.HELD_UP,
                        "the I/O thread for "
                                + hold.duration().toMillis()
                                + " ms by "
                                + hold.owner()
                                + ", which read "
                                + hold.bytesRead()
                                + " bytes");
    }

    /**
     * Creates the parts; {@link #start} lets them take clients.
     *
     * @throws IOException where an address is taken or the I/O thread cannot be created
     */
    public Serve(Config config, OperatorFiles files) throws IOException {
        this.config = config;
        this.files = files;
        Budget budget = inThisHeap(config);
        loop = new EventLoop();
        NodeDirectory directory = new NodeDirectory();
        engine =
                new Engine(
                        config.settings(),
                        directory,
                        counters,
                        files.storms(),
                        budget.memoryBounds());
        loop.reportHolds(this::recordHold);
        writeHandover = writeHandover();
        writeHandover.ifPresent(engine::shareWrites);
        pool = new RequestPool(budget.requests(), STACK_BYTES, counters);
        connections =
                new NodePool(
                        loop,
                        directory,
                        counters,
                        config.connectTimeout(),
                        config.idleLimit(),
                        budget.nodeConnections());
        nodes = new NodeClient(connections, budget.answerBytes(), config.settings().loadNames());
        nbdNodes = files.nbd().map(front -> new NbdNodeLink(connections, front));
        engine.start(
                node ->
                        nbdNodes.isPresent() && nbdNodes.get().isNbdNode(directory.findReady(node))
                                ? nbdNodes.get()
                                : nodes);
        ManualDrains drains = new ManualDrains(engine::updateNodes, this::announceDecision);
        peers =
                files.peers()
                        .map(
                                file ->
                                        new Peers(
                                                file,
                                                loop,
                                                engine,
                                                counters, // before who asks it
                                                verdict -> applyVerdict(verdict, drains)));
        control = controlService(drains);
        operatorPort = operatorPort(drains);
        boolean takesDecisions =
                control.isPresent()
                        || operatorPort.isPresent()
                        || peers.filter(Peers::sharesLimits).isPresent();
        Consumer<NodeList> lists = takesDecisions ? drains::updateNodes : engine::updateNodes;
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
        clients = clientListener();
        shareIds();
        nbdListener = nbdListener(directory);
    }

    /**
     * By the directory of the operators' file, or that of the operator port where it names none.
     */
    private Optional<WriteHandover> writeHandover() {
        return files.storms()
                .flatMap(
                        storms ->
                                storms.uncertainWriteDirectory()
                                        .or(() -> config.operator().map(port -> sharedDirectory())))
                .map(WriteHandover::new);
    }

    private Path sharedDirectory() {
        return OperatorPort.sharedDirectory(config.name(), System.getenv(TEMPORARY));
    }

    private Optional<ControlService> controlService(ManualDrains drains) throws IOException {
        if (files.control().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new ControlService(
                        files.control().get(),
                        engine,
                        counters,
                        drains,
                        this::members,
                        () -> InForce.of(this.config, this.files)));
    }

    private Optional<OperatorPort> operatorPort(ManualDrains drains) throws IOException {
        if (config.operator().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new OperatorPort(
                        config.operator().get(),
                        config.name(),
                        System.getenv(TEMPORARY),
                        drains,
                        new OperatorCalls()));
    }

    /** What calls at the operator port act on. */
    private final class OperatorCalls implements OperatorPort.Scheduler {
        @Override
        public boolean takesClients() {
            return ready;
        }

        @Override
        public void evacuate(boolean on) {
            Serve.this.evacuate(on);
            announceDecision(MEMBER + memberName(), on ? EVACUATE : ACTIVATE);
        }

        @Override
        public Optional<String> fleet() {
            return peers.flatMap(Peers::fleetViewJson);
        }

        @Override
        public void setProcessCount(int count) {
            Serve.this.setProcessCount(count);
        }
    }

    private ClientListener clientListener() {
        return new ClientListener(
                loop,
                config.settings(),
                engine,
                counters,
                pool,
                nodes,
                () -> ready && !evacuated,
                inThisHeap(config),
                files.storms().map(Serve::connectionPacer));
    }

    /** Shares the ids of requests where another process may serve beside this one. */
    private void shareIds() {
        if (config.operator().isEmpty() || config.listen().getPort() == 0) {
            return;
        }
        SharedIdFile file =
                new SharedIdFile(
                        sharedDirectory().resolve(TRACE_IDS + config.listen().getPort()),
                        ClientListener.sharedIdBytes());
        clients.shareIds(file::map);
    }

    private static ConnectionPacer connectionPacer(StormSettings storms) {
        return new ConnectionPacer(storms.connectionsPerSecond(), MonotonicClock.now());
    }

    private Optional<NbdListener> nbdListener(NodeDirectory directory) throws IOException {
        if (files.nbd().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new NbdListener(
                        loop,
                        files.nbd().get(),
                        config.settings(),
                        engine,
                        directory,
                        counters,
                        pool,
                        nbdNodes.get(),
                        clients.inputBudget(),
                        clients.turns()));
    }

    /**
     * Sets how many processes serve as this scheduler; each takes its part of the limits, which are
     * one scheduler's.
     */
    private void setProcessCount(int count) {
        processes = count;
        engine.setProcessCount(count);
        if (ready) {
            applyBudget(config);
        }
    }

    private static Budget inThisHeap(Config config) {
        return config.budget().inHeapOf(Runtime.getRuntime().maxMemory());
    }

    /** Gives each part its values of a configuration, by how many processes share its limits. */
    private void applyBudget(Config shared) {
        Budget budget = inThisHeap(shared).among(processes);
        clients.applySettings(shared.settings(), budget);
        pool.resize(budget.requests(), budget.threads());
        nodes.reconfigure(budget.answerBytes(), shared.settings().loadNames());
        connections.reconfigure(
                shared.connectTimeout(), shared.idleLimit(), budget.nodeConnections());
    }

    /** Tells the other instances what an operator decided here, where they share verdicts. */
    private void announceDecision(String subject, String action) {
        peers.ifPresent(fleet -> fleet.announceVerdict(subject, action));
    }

    /** Applies what was decided at another instance, or here by a previous process. */
    private void applyVerdict(Verdict verdict, ManualDrains drains) {
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
     * Learns from peers and from discovery for a bounded time, and then takes clients, unless
     * {@link #drain} was called before. A caller must be able to stop the program from here on.
     *
     * @return whether this process takes clients
     */
    public boolean start() throws IOException {
        if (peers.isPresent()) {
            peers.get().start();
        }
        operatorPort.ifPresent(OperatorPort::start);
        try {
            discovery.awaitFirstList(FIRST_LIST_TIMEOUT);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        synchronized (startLock) {
            if (!stopping) {
                clients.start(config.listen());
                operatorPort.ifPresent(OperatorPort::markServing);
                ready = true;
                applyBudget(config);
            }
            return ready;
        }
    }

    /**
     * Makes the health check fail for good; false where this process never took clients, so that
     * nothing is owed to any.
     */
    private boolean stopOpening() {
        synchronized (startLock) {
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
                    HEALTH_CHECK_DELAY,
                    () -> {
                        if (evacuations.get() == turn) {
                            clients.startDraining();
                        }
                    });
        } else {
            clients.stopDraining();
        }
    }

    /** Where the operator port listens; empty where there is none. */
    public Optional<InetSocketAddress> operatorAddress() {
        return operatorPort.map(OperatorPort::address);
    }

    /**
     * Takes a new configuration: each part is handed its own values whole, and what is open goes
     * on.
     */
    public void use(Config next, OperatorFiles files) {
        engine.applySettings(next.settings());
        applyBudget(next);
        discovery.reconfigure(next.discovery(), next.nodeLists());
        if (files.nbd().isPresent() && nbdListener.isPresent()) {
            nbdNodes.get().reconfigure(files.nbd().get());
            nbdListener.get().reconfigure(files.nbd().get(), next.settings());
        }
        if (files.peers().isPresent() && peers.isPresent()) {
            peers.get().applyConfig(files.peers().get());
        }
        if (!next.listen().equals(config.listen())
                || files.nbd().isPresent() != nbdListener.isPresent()
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

    /** Where clients connect. */
    public InetSocketAddress address() {
        return clients.address();
    }

    /** Where NBD clients connect; empty where that front is off. */
    public Optional<InetSocketAddress> nbdAddress() {
        return nbdListener.map(NbdListener::address);
    }

    /** Where other instances reach this one, once it has started. */
    public Optional<InetSocketAddress> peerAddress() {
        return peers.flatMap(Peers::address);
    }

    /** Connections of clients that are open, or are being closed in order. */
    public int connected() {
        return clients.connectionCount();
    }

    /** The counters of all parts. */
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
        writeHandover.ifPresent(handover -> handover.stop(engine));
        peers.ifPresent(Peers::close);
        control.ifPresent(ControlService::close);
        operatorPort.ifPresent(OperatorPort::close);
    }

    private void answerAll(Instant told) throws InterruptedException {
        Duration longest =
                config.settings().classes().stream()
                        .map(RequestClass::deadlineUs)
                        .map(Micros::toDuration)
                        .max(Duration::compareTo)
                        .orElse(Duration.ZERO);
        Instant served =
                told.plus(
                                longest.compareTo(MAX_COUNTED_DEADLINE) < 0
                                        ? longest
                                        : MAX_COUNTED_DEADLINE)
                        .plus(KILL_MARGIN);
        if (operatorPort.filter(OperatorPort::isReplaced).isPresent()) {
            clients.stopAccepting();
        }
        nbdListener.ifPresent(NbdListener::refuseHandshakes);
        clients.setAnswerDeadline(served);
        if (nbdListener.isPresent()) {
            Instant refused = told.plus(NBD_GRACE);
            Thread.sleep(
                    MonotonicClock.until(refused.isBefore(served) ? refused : served).toMillis());
            nbdListener.get().refuseCommands();
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
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        while (clients.connectionCount() > 0
                && MonotonicClock.now().isBefore(served.plus(LINGER))) {
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        Thread.sleep(SETTLE_TIME.toMillis());
    }

    @Override
    public void close() {
        operatorPort.ifPresent(OperatorPort::close);
        peers.ifPresent(Peers::close);
        control.ifPresent(ControlService::close);
        clients.close();
        nbdListener.ifPresent(NbdListener::close);
        pool.close();
        engine.close();
        writeHandover.ifPresent(WriteHandover::release);
        loop.close();
    }
}
