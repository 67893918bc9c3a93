package cypressglade.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.DemandTracker.ColdNode;
import cypressglade.core.Engine;
import cypressglade.core.Engine.LimitAllocation;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeStatus;
import cypressglade.fleet.View;
import cypressglade.learn.Learner;
import cypressglade.learn.NodeObservation;
import cypressglade.learn.Origin;
import cypressglade.member.Member;
import cypressglade.member.Message;
import cypressglade.member.RecentMembers;
import cypressglade.member.ReplayGuard;
import cypressglade.member.Swim;
import cypressglade.net.EventLoop;
import cypressglade.net.UdpSocket;
import cypressglade.peer.PeersConfig.Network;
import cypressglade.peer.SealedMessage.Fault;
import cypressglade.peer.SealedMessage.RejectedException;
import cypressglade.share.Allocation;
import cypressglade.share.Notice;
import cypressglade.share.ShareKey;
import cypressglade.share.SharingProtocol;
import cypressglade.share.SharingSettings;
import cypressglade.share.Verdicts.Verdict;
import cypressglade.snapshot.SnapshotStore;
import cypressglade.snapshot.SnapshotStore.SnapshotFile;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Exchanges data with the other instances, and restores what this instance had learned before it
 * was restarted. One thread owns the membership, the observations and the replay guard. The I/O
 * thread only passes bytes to it, and a second thread writes snapshots, so that a slow disk does
 * not make this instance look dead.
 */
public final class Peers implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Peers.class.getName());
    // Shorter than the silence that a single request reveals, so that none is missed.
    private static final Duration OBSERVE_INTERVAL = Duration.ofMillis(250);
    // Half of the time for which an operator connection waits for an answer.
    private static final long MAX_VIEW_WAIT_MILLIS = 500;
    private static final Duration ABSENT_MEMBER_HOLD = Duration.ofSeconds(30);
    private static final Duration MAX_CLOSE_WAIT = Duration.ofMillis(500);
    private static final int MAX_QUEUED_EVENTS = 256;
    private static final int MAX_PULLS = 3;
    private static final int OBSERVATIONS_PER_NODE = 3;
    private static final int OBSERVATIONS_PER_FRAME = 200;
    private static final int MEMBERS_PER_FRAME = 200;
    private static final int MAX_BIND_ATTEMPTS = 8;
    private static final int MAX_UNCONFIRMED_MESSAGES = 64;
    // Replies to unknown generations and versions, per OBSERVE_INTERVAL.
    private static final int MAX_SHORT_REPLIES = 50;

    private final PeersConfig config;
    private final EventLoop loop;
    private final Engine engine;
    private final Counters counters;
    private final SecureRandom random = new SecureRandom();
    private final ScheduledExecutorService protocolExecutor =
            Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "peers"));
    private final ScheduledExecutorService diskExecutor =
            Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "snapshots"));
    private final AtomicInteger queuedEvents = new AtomicInteger();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final CountDownLatch startupDone = new CountDownLatch(1);
    private final Consumer<Verdict> verdictListener;
    private final Optional<SnapshotStore> learnedStore;
    private final Optional<SnapshotStore> verdictStore;
    private volatile KeyRing keys;
    private volatile List<Member> members = List.of();

    // Used only by the peers' thread once start() has begun.
    private final long generation;
    private final Learner learner;
    private final ReplayGuard guard;
    private final Map<Learner.Count, Long> publishedCounts = new EnumMap<>(Learner.Count.class);
    private final Set<InetSocketAddress> activePulls = new HashSet<>();
    private final Map<InetSocketAddress, Message> unconfirmed = new LinkedHashMap<>();
    private final Set<Fault> loggedFaults = new HashSet<>();
    private RecentMembers recentMembers;
    private RecentMembers.Share coldNodeShare = new RecentMembers.Share(0, 1);
    private Swim swim;
    private Optional<View> view = Optional.empty();
    private Optional<SharingProtocol<InetSocketAddress>> sharing = Optional.empty();
    private UdpSocket udpSocket;
    private TransferServer transferServer;
    private TransferClient transferClient;
    private int shortReplies;
    private boolean closed;

    /** Creates the peers without a listener for verdicts. */
    public Peers(PeersConfig config, EventLoop loop, Engine engine, Counters counters) {
        this(config, loop, engine, counters, verdict -> {});
    }

    /**
     * Creates the peers with a listener for verdicts: those that operators gave at other members,
     * and those given at this one before it was restarted.
     *
     * @param verdictListener called on the peers' thread
     */
    public Peers(
            PeersConfig config,
            EventLoop loop,
            Engine engine,
            Counters counters,
            Consumer<Verdict> verdictListener) {
        this.config = config;
        this.verdictListener = verdictListener;
        this.loop = loop;
        this.engine = engine;
        this.counters = counters;
        long randomNumber = random.nextLong();
        generation = randomNumber == 0 ? 1 : randomNumber; // 0 means an unknown generation
        learner = new Learner(new Origin(config.name(), generation), config.maxNodes());
        guard = new ReplayGuard(generation);
        learnedStore =
                config.snapshots()
                        .map(snapshots -> new SnapshotStore(snapshots.directory(), "learned"));
        verdictStore =
                config.snapshots()
                        .filter(snapshots -> isSharing(config))
                        .map(snapshots -> new SnapshotStore(snapshots.directory(), "verdicts"));
        keys = config.network().map(Network::keys).orElse(null);
    }

    private static boolean isSharing(PeersConfig config) {
        return config.network().flatMap(Network::sharingSettings).isPresent();
    }

    /** Whether this instance shares limits and verdicts with others. */
    public boolean sharesLimits() {
        return isSharing(config);
    }

    /**
     * Announces an operator's verdict to all members. Returns at once and may be called from any
     * thread; does nothing if verdicts are not shared.
     *
     * @param subject what the verdict is about
     * @param action what the operator decided
     */
    public void announceVerdict(String subject, String action) {
        execute(
                () ->
                        sharing.ifPresent(
                                protocol -> {
                                    logVerdict(
                                            protocol.issueVerdict(
                                                    subject, action, MonotonicClock.now()),
                                            "verdict");
                                    storeVerdicts(protocol);
                                }));
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Reads the snapshots, opens the port and asks the seeds for their observations. Returns once
     * the first transfer has ended, or after the configured maximum wait.
     *
     * @throws IOException if the port cannot be bound
     */
    public void start() throws IOException {
        restoreSnapshot();
        if (config.network().isPresent()) {
            warmUp();
            openNetwork(config.network().get());
        } else {
            startupDone.countDown();
        }
        protocolExecutor.scheduleWithFixedDelay(
                guarded(this::observeNodes), 0, OBSERVE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        config.snapshots()
                .ifPresent(
                        snapshots ->
                                protocolExecutor.scheduleWithFixedDelay(
                                        guarded(
                                                () -> {
                                                    byte[] body = snapshotBody();
                                                    diskExecutor.execute(() -> writeSnapshot(body));
                                                }),
                                        snapshots.interval().toMillis(),
                                        snapshots.interval().toMillis(),
                                        TimeUnit.MILLISECONDS));
        try {
            startupDone.await(config.maxStartWait().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Loads the classes that a transfer needs, so that the wait for a peer is not spent on it. */
    private void warmUp() throws IOException {
        Instant now = MonotonicClock.now();
        NodeObservation observation =
                new NodeObservation("warm", 0, 1, 0, 0, 0, 0, Duration.ZERO, now, learner.self());
        try {
            byte[] body =
                    Codec.encode(
                            new TransferFrame(
                                    0, 0, 0, true, List.of(), List.of(observation), Map.of()),
                            now);
            Codec.decodeTransfer(SealedMessage.open(keys, SealedMessage.seal(keys, body)), now);
        } catch (RejectedException impossible) {
            throw new IllegalStateException("own signature rejected", impossible);
        }
    }

    /** The address that the peers' port is bound to; empty if this instance runs alone. */
    public Optional<InetSocketAddress> address() {
        return Optional.ofNullable(transferServer).map(TransferServer::address);
    }

    /**
     * The members that this instance knows, itself first; empty if it runs alone. May be called
     * from any thread; the list is at most 250 ms old.
     */
    public List<Member> members() {
        return members;
    }

    /**
     * This instance's view of the fleet, as one line of JSON; empty if no view is kept or none was
     * ready in time. Waits up to {@value #MAX_VIEW_WAIT_MILLIS} ms, so it must not be called from
     * the I/O thread.
     */
    public Optional<String> fleetViewJson() {
        if (config.network().isEmpty() || !config.network().get().keepsFleetView()) {
            return Optional.empty();
        }
        CompletableFuture<Optional<String>> answer = new CompletableFuture<>();
        execute(
                () ->
                        answer.complete(
                                view.map(
                                        fleetView -> {
                                            ObjectNode json =
                                                    fleetView.toJson(swim, MonotonicClock.now());
                                            sharing.ifPresent(
                                                    shared -> SharingJson.addTo(json, shared));
                                            return json.toString();
                                        })));
        try {
            return answer.get(MAX_VIEW_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException failed) {
            LOG.log(Level.DEBUG, "fleet view not ready in time", failed);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return Optional.empty();
    }

    /** Applies the keys of a new configuration; other changes need a restart. */
    public void applyConfig(PeersConfig next) {
        next.network().ifPresent(network -> keys = network.keys());
        if (!next.name().equals(config.name())
                || next.network().isPresent() != config.network().isPresent()) {
            LOG.log(Level.WARNING, "only the keys of the peers' file change without a restart");
        }
    }

    /** Announces that this instance leaves and writes a last snapshot; waits briefly for both. */
    @Override
    public void close() {
        if (!closing.compareAndSet(false, true)) {
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        execute(
                () -> {
                    closed = true;
                    if (swim != null) {
                        swim.leave(MonotonicClock.now());
                    }
                    byte[] body = snapshotBody();
                    diskExecutor.execute(
                            () -> {
                                writeSnapshot(body);
                                done.countDown();
                            });
                });
        try {
            done.await(MAX_CLOSE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        protocolExecutor.shutdownNow();
        diskExecutor.shutdown();
        if (transferServer != null) {
            transferServer.close();
            udpSocket.close();
        }
    }

    // ---- the peers' thread

    private void execute(Runnable task) {
        try {
            protocolExecutor.execute(guarded(task));
        } catch (RejectedExecutionException afterClose) {
            LOG.log(Level.DEBUG, "peers are closed", afterClose);
        }
    }

    /**
     * Queues an event from outside. To bound memory, returns false and counts the event as dropped
     * if the queue is full.
     */
    private boolean enqueue(Runnable task) {
        if (queuedEvents.incrementAndGet() > MAX_QUEUED_EVENTS) {
            queuedEvents.decrementAndGet();
            counters.add(Name.PEER_DROPPED);
            return false;
        }
        execute(
                () -> {
                    queuedEvents.decrementAndGet();
                    task.run();
                });
        return true;
    }

    /** Logs an exception of a task, so that it does not stop later tasks. */
    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOG.log(Level.ERROR, "failure in a task of the peers' thread", failure);
            }
        };
    }

    private void openNetwork(Network network) throws IOException {
        bind(network.listenAddress());
        InetSocketAddress at = network.advertisedAddress().orElse(transferServer.address());
        Optional<InetSocketAddress> local =
                Optional.of(network.listenAddress())
                        .filter(listen -> !listen.getAddress().isAnyLocalAddress())
                        .map(listen -> new InetSocketAddress(listen.getAddress(), 0));
        transferClient = new TransferClient(loop, local, this::execute, random, () -> keys);
        recentMembers = new RecentMembers(config.name(), ABSENT_MEMBER_HOLD);
        Instant now = MonotonicClock.now();
        swim =
                new Swim(
                        new Member(config.name(), at, generation, 0, Member.State.ALIVE),
                        network.seeds(),
                        network.swimSettings(),
                        random,
                        new SwimCallbacks(),
                        now);
        view =
                network.keepsFleetView()
                        ? Optional.of(new View(config.name(), now))
                        : Optional.empty();
        sharing =
                network.sharingSettings()
                        .map(
                                settings ->
                                        new SharingProtocol<>(
                                                config.name(),
                                                settings,
                                                engine.coldWindow(),
                                                loadVerdicts(),
                                                random,
                                                new SharingCallbacks(settings),
                                                now));
        execute(
                () -> {
                    network.seeds().stream().filter(seed -> !seed.equals(at)).forEach(this::pull);
                    if (activePulls.isEmpty()) {
                        startupDone.countDown(); // there is no seed to learn from
                    }
                    runAndReschedule(() -> swim.tick(MonotonicClock.now()), swim::nextTickAt);
                    sharing.ifPresent(this::startSharing);
                });
        protocolExecutor.scheduleWithFixedDelay(
                guarded(this::pullFromRandomMember),
                network.refreshInterval().toMillis(),
                network.refreshInterval().toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void startSharing(SharingProtocol<InetSocketAddress> protocol) {
        protocol.start();
        // 1 ms later, to be past the edge of the window.
        runAndReschedule(
                () -> tickSharing(protocol),
                () -> protocol.nextTick(MonotonicClock.now()).plusMillis(1));
    }

    private void tickSharing(SharingProtocol<InetSocketAddress> protocol) {
        Map<String, InetSocketAddress> present =
                swim.presentMembers().stream()
                        .collect(
                                Collectors.toMap(
                                        Member::name, Member::address, (one, other) -> one));
        protocol.tick(present, MonotonicClock.now());
    }

    /**
     * Binds TCP and UDP to the same port. If the port is to be chosen by the system, the one chosen
     * for TCP may be in use for UDP, and another is tried.
     */
    private void bind(InetSocketAddress listen) throws IOException {
        for (int i = 1; transferServer == null; i++) {
            TransferServer server =
                    new TransferServer(loop, listen, random, this::transferRequested);
            try {
                udpSocket = loop.openUdpSocket(server.address(), this::datagramReceived);
                transferServer = server;
            } catch (IOException bindFailed) {
                server.close();
                if (listen.getPort() != 0 || i >= MAX_BIND_ATTEMPTS) {
                    throw new IOException(
                            "peers: cannot listen on "
                                    + listen
                                    + " (UDP): "
                                    + bindFailed.getMessage(),
                            bindFailed);
                }
            }
        }
    }

    /** Runs a task and schedules its next run, also if this one fails. */
    private void runAndReschedule(Runnable task, Supplier<Instant> nextRunAt) {
        // Applies after a failure, so that it is not repeated at once.
        Instant next = MonotonicClock.now().plus(OBSERVE_INTERVAL);
        try {
            task.run();
            next = nextRunAt.get();
        } finally {
            if (!closed) {
                protocolExecutor.schedule(
                        guarded(() -> runAndReschedule(task, nextRunAt)),
                        Math.max(1, MonotonicClock.until(next).toMillis()),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Reads the node statuses of the scheduling policy and passes hints back to it. */
    private void observeNodes() {
        shortReplies = 0;
        engine.readNodes(statuses -> execute(() -> applyNodeStatuses(statuses)));
        updateMembers();
    }

    /**
     * Publishes the members. The engine learns of a new member at once, as from then on each
     * instance may send a cold node only its own share.
     */
    private void updateMembers() {
        members = swim == null ? List.of() : List.copyOf(swim.members());
        view.ifPresent(fleetView -> fleetView.retain(members));
        if (swim != null && config.network().get().sharesColdNodeLimits()) {
            RecentMembers.Share next = recentMembers.update(swim.members(), MonotonicClock.now());
            if (!next.equals(coldNodeShare)) {
                coldNodeShare = next;
                engine.setInstances(next.rank(), next.instances());
            }
        }
    }

    private void applyNodeStatuses(List<NodeStatus> statuses) {
        Instant now = MonotonicClock.now();
        learner.observe(statuses, now);
        learner.hints(statuses, now)
                .forEach(hint -> engine.hint(hint.nodeId(), hint::toSchedulerHint));
        publishCounts();
    }

    private void publishCounts() {
        for (Learner.Count count : Learner.Count.values()) {
            long increase = learner.count(count) - publishedCounts.getOrDefault(count, 0L);
            publishedCounts.put(count, learner.count(count));
            switch (count) {
                case HINTS_TAKEN -> counters.add(Name.HINTS_TAKEN, increase);
                case HINTS_CONFIRMED -> counters.add(Name.HINTS_CONFIRMED, increase);
                case HINTS_CONTRADICTED -> counters.add(Name.HINTS_CONTRADICTED, increase);
                case WORDS_AGED_OUT -> counters.add(Name.HINTS_AGED_OUT, increase);
                case WORDS_TAKEN -> counters.add(Name.WORDS_TAKEN, increase);
                case WORDS_REFUSED, WORDS_NO_ROOM -> counters.add(Name.WORDS_REFUSED, increase);
                default -> {}
            }
        }
    }

    // ---- transfers

    private void pullFromRandomMember() {
        List<Member> present = swim.presentMembers();
        if (!present.isEmpty()) {
            pull(present.get(random.nextInt(present.size())).address());
        }
    }

    private void pull(InetSocketAddress from) {
        if (closed || activePulls.size() >= MAX_PULLS || !activePulls.add(from)) {
            return;
        }
        transferClient.pull(
                from,
                config.maxNodes() * OBSERVATIONS_PER_NODE,
                new TransferClient.Listener() {
                    @Override
                    public List<Member> members() {
                        return swim.members().stream().limit(MEMBERS_PER_FRAME).toList();
                    }

                    @Override
                    public void frameReceived(TransferFrame frame) {
                        swim.merge(frame.members(), MonotonicClock.now());
                        learner.receive(frame.observations(), MonotonicClock.now());
                        sharing.ifPresent(protocol -> protocol.acceptVerdicts(frame.verdicts()));
                        publishCounts();
                    }

                    @Override
                    public void finished(String failure) {
                        activePulls.remove(from);
                        counters.add(
                                failure.isEmpty() ? Name.TRANSFERS_TAKEN : Name.TRANSFERS_BROKEN);
                        LOG.log(Level.DEBUG, "transfer from {0}: {1}", from, failure);
                        // Hints reach the scheduling policy before the listeners open, as the
                        // engine handles its events in order.
                        engine.readNodes(
                                statuses ->
                                        execute(
                                                () -> {
                                                    applyNodeStatuses(statuses);
                                                    startupDone.countDown();
                                                }));
                    }
                });
    }

    /** Called on the I/O thread. */
    private void transferRequested(byte[] sealedRequest, long nonce, TransferServer.Reply reply) {
        if (!enqueue(() -> reply.accept(answerRequest(sealedRequest, nonce)))) {
            reply.accept(List.of());
        }
    }

    private List<byte[]> answerRequest(byte[] sealedRequest, long nonce) {
        Instant now = MonotonicClock.now();
        try {
            TransferFrame request =
                    Codec.decodeTransfer(SealedMessage.open(keys, sealedRequest), now);
            if (request.echoedNonce() != nonce) {
                throw new RejectedException(Fault.REPLAYED);
            }
            swim.merge(request.members(), now);
            counters.add(Name.TRANSFERS_SERVED);
            return encodeAnswer(request, now);
        } catch (RejectedException rejected) {
            countRejection(rejected.fault());
            return rejected.fault() == Fault.VERSION
                    ? List.of(SealedMessage.versionMismatch())
                    : List.of();
        } catch (IOException unreadable) {
            countRejection(Fault.BODY);
            return List.of();
        }
    }

    private List<byte[]> encodeAnswer(TransferFrame request, Instant now) {
        List<Member> members = swim.members();
        List<NodeObservation> observations =
                learner.observations(
                        now,
                        Math.min(
                                Math.min(Codec.MAX_OBSERVATIONS, request.index()),
                                config.maxNodes() * OBSERVATIONS_PER_NODE));
        List<Verdict> verdicts = sharing.map(SharingProtocol::verdicts).orElse(List.of());
        int frames =
                Math.max(
                        1,
                        Math.max(
                                (members.size() + MEMBERS_PER_FRAME - 1) / MEMBERS_PER_FRAME,
                                (Math.max(verdicts.size(), observations.size())
                                                + OBSERVATIONS_PER_FRAME
                                                - 1)
                                        / OBSERVATIONS_PER_FRAME));
        List<byte[]> answer = new ArrayList<>();
        for (int i = 0; i < frames; i++) {
            answer.add(
                    SealedMessage.seal(
                            keys,
                            Codec.encode(
                                    new TransferFrame(
                                            request.clientNonce(),
                                            0,
                                            i,
                                            i == frames - 1,
                                            slice(members, i, MEMBERS_PER_FRAME),
                                            slice(observations, i, OBSERVATIONS_PER_FRAME),
                                            i == 0 ? counterValues() : Map.of(),
                                            slice(verdicts, i, OBSERVATIONS_PER_FRAME)),
                                    now)));
        }
        return answer;
    }

    private static <T> List<T> slice(List<T> all, int index, int size) {
        return all.subList(
                Math.min(all.size(), index * size), Math.min(all.size(), (index + 1) * size));
    }

    private Map<String, Long> counterValues() {
        Map<String, Long> values = new LinkedHashMap<>();
        for (Learner.Count count : Learner.Count.values()) {
            values.put(count.name().toLowerCase(Locale.ROOT), learner.count(count));
        }
        values.put("words_kept", (long) learner.peerObservationCount());
        values.put("shares_cold_among", (long) coldNodeShare.instances());
        values.put("name_conflicts", swim.nameConflicts());
        values.put("names_refused", swim.refusedNameClaims());
        values.put("health", (long) swim.health().score());
        values.put("stalls", swim.stalls());
        values.put("members_turned_away", swim.rejectedMembers());
        sharing.ifPresent(
                protocol -> {
                    values.put("limits_agreed_among", (long) protocol.allocation().agreedMembers());
                    values.put("verdicts_held", (long) protocol.verdicts().size());
                    values.put("shared_turned_away", protocol.rejected());
                });
        return values;
    }

    // ---- datagrams

    /** Called on the I/O thread. */
    private void datagramReceived(InetSocketAddress from, byte[] datagram) {
        enqueue(() -> handleDatagram(from, datagram));
    }

    private void handleDatagram(InetSocketAddress from, byte[] datagram) {
        counters.add(Name.PEER_MESSAGES);
        try {
            if (datagram.length > UdpSocket.MAX_DATAGRAM_BYTES) {
                throw new RejectedException(Fault.BODY);
            }
            Envelope envelope = Codec.decodeEnvelope(SealedMessage.open(keys, datagram));
            switch (guard.check(
                    from,
                    envelope.senderGeneration(),
                    envelope.receiverGeneration(),
                    envelope.sequenceNumber())) {
                case FRESH -> {
                    Message unconfirmedMessage = unconfirmed.remove(from);
                    if (unconfirmedMessage != null) {
                        sendMessage(from, unconfirmedMessage);
                    }
                    envelope.message()
                            .ifPresent(
                                    message -> swim.receive(message, from, MonotonicClock.now()));
                    envelope.notice().ifPresent(notice -> receive(notice, from));
                }
                case UNKNOWN_GENERATION -> {
                    // No reply to a reply: two instances would send them to each other without end.
                    if (envelope.hasContent()) {
                        sendShortReply(from, ownGeneration(envelope.senderGeneration()));
                    }
                }
                default -> throw new RejectedException(Fault.REPLAYED);
            }
        } catch (RejectedException rejected) {
            countRejection(rejected.fault());
            if (rejected.fault() == Fault.VERSION) {
                sendShortReply(from, SealedMessage.versionMismatch());
            }
        } catch (IOException unreadable) {
            countRejection(Fault.BODY);
        }
    }

    private void receive(Notice notice, InetSocketAddress from) {
        sharing.ifPresent(shared -> shared.receive(notice, from));
    }

    /** A sealed envelope without content, which tells a peer this instance's generation. */
    private byte[] ownGeneration(long to) {
        Envelope envelope =
                new Envelope(generation, to, guard.nextSequenceNumber(), Optional.empty());
        return SealedMessage.seal(keys, Codec.encode(envelope));
    }

    private void sendShortReply(InetSocketAddress to, byte[] answer) {
        if (shortReplies++ < MAX_SHORT_REPLIES) {
            udpSocket.send(to, answer);
        }
    }

    private void countRejection(Fault fault) {
        counters.add(Name.PEER_REFUSED);
        // Each kind is logged only once, so that a flood does not fill the log.
        if (loggedFaults.add(fault)) {
            LOG.log(
                    Level.WARNING,
                    "rejected a message from a peer: {0}; later ones of this kind are only counted",
                    fault);
        }
    }

    private void sendMessage(InetSocketAddress to, Message message) {
        send(to, Optional.of(message), Optional.empty());
    }

    private void send(InetSocketAddress to, Optional<Message> message, Optional<Notice> notice) {
        udpSocket.send(
                to,
                SealedMessage.seal(
                        keys,
                        Codec.encode(
                                new Envelope(
                                        generation,
                                        guard.generationAt(to),
                                        guard.nextSequenceNumber(),
                                        message,
                                        notice))));
    }

    /** Carries out what the sharing protocol asks for. */
    private final class SharingCallbacks implements SharingProtocol.Out<InetSocketAddress> {
        private final SharingSettings settings;

        SharingCallbacks(SharingSettings settings) {
            this.settings = settings;
        }

        @Override
        public void send(InetSocketAddress to, Notice notice) {
            Peers.this.send(to, Optional.empty(), Optional.of(notice));
        }

        @Override
        public void fetchVerdicts(InetSocketAddress peer) {
            pull(peer);
        }

        @Override
        public void verdictAccepted(Verdict verdict) {
            logVerdict(verdict, "verdict_taken");
            verdictListener.accept(verdict);
            sharing.ifPresent(Peers.this::storeVerdicts);
        }

        @Override
        public void allocationChanged(Allocation allocation) {
            Map<Long, Double> volumes = new HashMap<>();
            Map<ColdNode, Double> cold = new HashMap<>();
            allocation
                    .shares()
                    .forEach(
                            (key, share) -> {
                                if (ShareKey.isVolume(key)) {
                                    volumes.put(ShareKey.volumeId(key), share);
                                } else {
                                    ShareKey.nodeGeneration(key)
                                            .map(node -> new ColdNode(node.id(), node.startedUs()))
                                            .ifPresent(node -> cold.put(node, share));
                                }
                            });
            engine.applyAllocation(
                    new LimitAllocation(
                            volumes,
                            cold,
                            allocation.otherVolumesShare(),
                            allocation.otherColdNodesShare(),
                            settings.minShare(),
                            settings.windowStart(allocation.window() + 1)));
        }

        @Override
        public void requestDemand(long window) {
            engine.takeDemand(
                    demand -> {
                        Map<String, Double> demandByKey = new HashMap<>();
                        demand.unitsByVolume()
                                .forEach(
                                        (volume, units) ->
                                                demandByKey.put(ShareKey.ofVolume(volume), units));
                        demand.unitsByColdNode()
                                .forEach(
                                        (node, units) ->
                                                demandByKey.put(
                                                        ShareKey.ofNode(
                                                                node.id(), node.startedUs()),
                                                        units));
                        execute(
                                () ->
                                        sharing.ifPresent(
                                                protocol ->
                                                        protocol.reportDemand(
                                                                window, demandByKey)));
                    });
        }
    }

    private void logVerdict(Verdict verdict, String event) {
        LOG.log(
                Level.INFO,
                "{0}",
                SharingJson.verdictLine(config.name(), event, verdict, MonotonicClock.now()));
    }

    private void storeVerdicts(SharingProtocol<InetSocketAddress> protocol) {
        verdictStore.ifPresent(
                file -> {
                    byte[] body = Codec.encodeVerdicts(protocol.verdicts());
                    diskExecutor.execute(() -> writeSnapshot(file, body));
                });
    }

    /** Loads the verdicts from before the restart, which stay valid whatever their age. */
    private List<Verdict> loadVerdicts() {
        return verdictStore
                .flatMap(
                        file ->
                                file.readNewest(
                                        Instant.now(),
                                        SnapshotStore.ANY_AGE,
                                        snapshot -> Codec.decodeVerdicts(snapshot.body()),
                                        this::snapshotIgnored))
                .orElse(List.of());
    }

    private void snapshotIgnored(SnapshotFile snapshot, String reason) {
        counters.add(Name.SNAPSHOTS_IGNORED);
        LOG.log(Level.WARNING, "ignored snapshot {0}: {1}", snapshot.file(), reason);
    }

    /** Carries out what the membership asks for. */
    private final class SwimCallbacks implements Swim.Callbacks {
        @Override
        public void send(InetSocketAddress to, Message message) {
            if (guard.generationAt(to) == 0
                    && (unconfirmed.size() < MAX_UNCONFIRMED_MESSAGES
                            || unconfirmed.containsKey(to))) {
                // It will be rejected, and is sent again once the peer's generation is known.
                unconfirmed.put(to, message);
            }
            sendMessage(to, message);
        }

        @Override
        public void exchangeMemberLists(InetSocketAddress peer) {
            pull(peer);
        }

        @Override
        public void memberChanged(Member member) {
            updateMembers();
            LOG.log(
                    Level.INFO,
                    "{0}",
                    view.map(fleetView -> fleetView.recordChange(member, MonotonicClock.now()))
                            .orElseGet(
                                    () ->
                                            "member "
                                                    + member.name()
                                                    + " at "
                                                    + member.address()
                                                    + ": "
                                                    + member.state()));
        }

        @Override
        public void nameClaimRefused(Member known, Member claim) {
            String line =
                    view.map(
                                    fleetView ->
                                            fleetView.recordRefusal(
                                                    known, claim, MonotonicClock.now()))
                            .orElse("");
            if (!line.isEmpty()) {
                LOG.log(Level.WARNING, "{0}", line);
            }
        }
    }

    // ---- snapshots

    private byte[] snapshotBody() {
        return Codec.encodeSnapshot(
                config.name(),
                learner.observations(MonotonicClock.now(), Codec.MAX_OBSERVATIONS),
                MonotonicClock.now());
    }

    private void writeSnapshot(byte[] body) {
        learnedStore.ifPresent(file -> writeSnapshot(file, body));
    }

    private void writeSnapshot(SnapshotStore file, byte[] body) {
        try {
            file.write(body, Instant.now());
            counters.add(Name.SNAPSHOTS_WRITTEN);
        } catch (IOException failed) {
            counters.add(Name.SNAPSHOTS_FAILED);
            LOG.log(Level.WARNING, "could not write a snapshot: {0}", failed.toString());
        }
    }

    /** Restores the observations of the last snapshot; called before any task runs. */
    private void restoreSnapshot() {
        learnedStore
                .flatMap(
                        file ->
                                file.readNewest(
                                        Instant.now(),
                                        config.snapshots().get().maxAge(),
                                        this::decodeObservations,
                                        this::snapshotIgnored))
                .ifPresent(observations -> learner.receive(observations, MonotonicClock.now()));
    }

    private List<NodeObservation> decodeObservations(SnapshotFile snapshot) throws IOException {
        return Codec.decodeSnapshot(
                        snapshot.body(), config.name(), snapshot.age(), MonotonicClock.now())
                .orElseThrow(() -> new IOException("written by an instance of another name"));
    }
}
