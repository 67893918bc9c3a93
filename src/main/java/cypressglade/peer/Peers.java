package cypressglade.peer;

import static cypressglade.member.ReplayGuard.Verdict.UNKNOWN_GENERATION;

import com.fasterxml.jackson.databind.node.ObjectNode;
import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.DemandTracker;
import cypressglade.core.Engine;
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
import cypressglade.net.Datagrams;
import cypressglade.net.Loop;
import cypressglade.share.Allocation;
import cypressglade.share.Notice;
import cypressglade.share.ShareKey;
import cypressglade.share.SharingProtocol;
import cypressglade.share.SharingSettings;
import cypressglade.share.Verdicts.Verdict;
import cypressglade.snapshot.SnapshotStore;
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
 * What this instance has to do with others, and with its own former life. One thread owns the
 * membership, what was learned, and the replay guard; the I/O thread only hands over bytes, and a
 * second thread writes snapshots, as a slow disk must not look like a dead instance.
 */
public final class Peers implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Peers.class.getName());
    // A silence of one request lasts longer.
    private static final Duration LOOK = Duration.ofMillis(250);
    private static final long VIEW_WAIT_MS = 500; // half of what a caller at the door waits
    private static final Duration CENSUS_HOLD = Duration.ofSeconds(30);
    private static final Duration STOP_WAIT = Duration.ofMillis(500);
    private static final int MOST_WAITING = 256;
    private static final int MOST_PULLS = 3;
    private static final int WORDS_A_NODE = 3;
    private static final int WORDS_A_FRAME = 200;
    private static final int MEMBERS_A_FRAME = 200;
    private static final int BIND_TRIES = 8;
    private static final int MOST_HELD = 64;
    // Between two looks: to unknown lives and versions.
    private static final int MOST_SHORT_ANSWERS = 50;

    private final PeersConfig config;
    private final Loop loop;
    private final Engine engine;
    private final Counters counters;
    private final SecureRandom random = new SecureRandom();
    private final ScheduledExecutorService owner =
            Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "peers"));
    private final ScheduledExecutorService disk =
            Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "snapshots"));
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final CountDownLatch learned = new CountDownLatch(1);
    private final Consumer<Verdict> ruling;
    private final Optional<SnapshotStore> store;
    private final Optional<SnapshotStore> verdicts;
    private volatile KeyRing keys;
    private volatile List<Member> members = List.of();

    // The owner's alone, from the start on.
    private final long life;
    private final Learner learner;
    private final ReplayGuard guard;
    private final Map<Learner.Count, Long> told = new EnumMap<>(Learner.Count.class);
    private final Set<InetSocketAddress> pulls = new HashSet<>();
    private final Map<InetSocketAddress, Message> held = new LinkedHashMap<>();
    private final Set<Sealed.Fault> logged = new HashSet<>();
    private RecentMembers census;
    private RecentMembers.Share share = new RecentMembers.Share(0, 1);
    private Swim swim;
    private Optional<View> view = Optional.empty();
    private Optional<SharingProtocol<InetSocketAddress>> sharing = Optional.empty();
    private Datagrams datagrams;
    private TransferServer transfers;
    private TransferClient client;
    private int shortAnswers;
    private boolean closed;

    public Peers(PeersConfig config, Loop loop, Engine engine, Counters counters) {
        this(config, loop, engine, counters, verdict -> {});
    }

    /**
     * The same, with somebody who acts on what operators decided at other members, and at this one
     * in its former life; told on the owner's thread.
     */
    public Peers(
            PeersConfig config,
            Loop loop,
            Engine engine,
            Counters counters,
            Consumer<Verdict> ruling) {
        this.config = config;
        this.ruling = ruling;
        this.loop = loop;
        this.engine = engine;
        this.counters = counters;
        long drawn = random.nextLong();
        life = drawn == 0 ? 1 : drawn; // 0 stands for a life that is not known
        learner = new Learner(new Origin(config.name(), life), config.mostNodes());
        guard = new ReplayGuard(life);
        store = config.snapshots().map(kept -> new SnapshotStore(kept.directory(), "learned"));
        verdicts =
                config.snapshots()
                        .filter(kept -> shares(config))
                        .map(kept -> new SnapshotStore(kept.directory(), "verdicts"));
        keys = config.talk().map(PeersConfig.Talk::keys).orElse(null);
    }

    private static boolean shares(PeersConfig config) {
        return config.talk().flatMap(PeersConfig.Talk::terms).isPresent();
    }

    /** Whether limits and verdicts are shared. */
    public boolean shares() {
        return shares(config);
    }

    /**
     * An operator decided at this instance: all members are told. Returns at once, from any thread;
     * nothing happens where verdicts are not shared.
     */
    public void decided(String subject, String word) {
        execute(
                () ->
                        sharing.ifPresent(
                                kept -> {
                                    say(
                                            kept.issueVerdict(subject, word, MonotonicClock.now()),
                                            "verdict");
                                    keepVerdicts(kept);
                                }));
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Reads the snapshot, opens the port and asks the seeds; returns once something was learned, or
     * after the bound of the configuration.
     *
     * @throws IOException where the port cannot be had
     */
    public void start() throws IOException {
        recall();
        if (config.talk().isPresent()) {
            warm();
            open(config.talk().get());
        } else {
            learned.countDown();
        }
        owner.scheduleWithFixedDelay(
                guarded(this::look), 0, LOOK.toMillis(), TimeUnit.MILLISECONDS);
        config.snapshots()
                .ifPresent(
                        kept ->
                                owner.scheduleWithFixedDelay(
                                        guarded(
                                                () -> {
                                                    byte[] body = body();
                                                    disk.execute(() -> write(body));
                                                }),
                                        kept.every().toMillis(),
                                        kept.every().toMillis(),
                                        TimeUnit.MILLISECONDS));
        try {
            learned.await(config.startWait().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Loads what the first transfer needs, so that the wait for a peer is not spent on that. */
    private void warm() throws IOException {
        Instant now = MonotonicClock.now();
        NodeObservation word =
                new NodeObservation("warm", 0, 1, 0, 0, 0, 0, Duration.ZERO, now, learner.self());
        try {
            byte[] body =
                    Codec.bytes(
                            new Transfer(0, 0, 0, true, List.of(), List.of(word), Map.of()), now);
            Codec.transfer(Sealed.open(keys, Sealed.seal(keys, body)), now);
        } catch (Sealed.Refused never) {
            throw new IllegalStateException("the own signature", never);
        }
    }

    /** Where others reach this instance. */
    public Optional<InetSocketAddress> address() {
        return Optional.ofNullable(transfers).map(TransferServer::address);
    }

    /**
     * Whom this instance sees, itself first; from any thread, at most a quarter of a second old.
     */
    public List<Member> members() {
        return members;
    }

    /**
     * What this instance sees of the fleet, as one line of JSON, or nothing where no view is kept
     * or none came in time: from any thread but the I/O thread, as it waits {@value #VIEW_WAIT_MS}
     * ms at most.
     */
    public Optional<String> view() {
        if (config.talk().isEmpty() || !config.talk().get().view()) {
            return Optional.empty();
        }
        CompletableFuture<Optional<String>> said = new CompletableFuture<>();
        execute(
                () ->
                        said.complete(
                                view.map(
                                        kept -> {
                                            ObjectNode whole =
                                                    kept.toJson(swim, MonotonicClock.now());
                                            sharing.ifPresent(
                                                    shared -> SharedLines.add(whole, shared));
                                            return whole.toString();
                                        })));
        try {
            return said.get(VIEW_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException late) {
            LOG.log(Level.DEBUG, "no view in time", late);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        return Optional.empty();
    }

    /** Takes the keys of a new configuration; the rest of it changes with a restart. */
    public void use(PeersConfig next) {
        next.talk().ifPresent(talk -> keys = talk.keys());
        if (!next.name().equals(config.name())
                || next.talk().isPresent() != config.talk().isPresent()) {
            LOG.log(Level.WARNING, "of the peers' file, keys alone change without a restart");
        }
    }

    /** Leaves in order and writes a last snapshot; waits a moment for both. */
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
                    byte[] body = body();
                    disk.execute(
                            () -> {
                                write(body);
                                done.countDown();
                            });
                });
        try {
            done.await(STOP_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        owner.shutdownNow();
        disk.shutdown();
        if (transfers != null) {
            transfers.close();
            datagrams.close();
        }
    }

    // ---- the owner's thread

    private void execute(Runnable task) {
        try {
            owner.execute(guarded(task));
        } catch (RejectedExecutionException closing) {
            LOG.log(Level.DEBUG, "peers are closed", closing);
        }
    }

    /**
     * Hands over what came from outside; false, and counted, where too much waits: bounds memory.
     */
    private boolean enqueue(Runnable task) {
        if (waiting.incrementAndGet() > MOST_WAITING) {
            waiting.decrementAndGet();
            counters.add(Name.PEER_DROPPED);
            return false;
        }
        execute(
                () -> {
                    waiting.decrementAndGet();
                    task.run();
                });
        return true;
    }

    /** A fault in one event must not end those to come. */
    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException fault) {
                LOG.log(Level.ERROR, "peers", fault);
            }
        };
    }

    private void open(PeersConfig.Talk talk) throws IOException {
        bind(talk.listen());
        InetSocketAddress at = talk.advertised().orElse(transfers.address());
        Optional<InetSocketAddress> local =
                Optional.of(talk.listen())
                        .filter(listen -> !listen.getAddress().isAnyLocalAddress())
                        .map(listen -> new InetSocketAddress(listen.getAddress(), 0));
        client = new TransferClient(loop, local, this::execute, random, () -> keys);
        census = new RecentMembers(config.name(), CENSUS_HOLD);
        Instant now = MonotonicClock.now();
        swim =
                new Swim(
                        new Member(config.name(), at, life, 0, Member.State.ALIVE),
                        talk.seeds(),
                        talk.timing(),
                        random,
                        new Wiring(),
                        now);
        view = talk.view() ? Optional.of(new View(config.name(), now)) : Optional.empty();
        sharing =
                talk.terms()
                        .map(
                                terms ->
                                        new SharingProtocol<>(
                                                config.name(),
                                                terms,
                                                engine.coldWindow(),
                                                recallVerdicts(),
                                                random,
                                                new Shared(terms),
                                                now));
        execute(
                () -> {
                    talk.seeds().stream().filter(seed -> !seed.equals(at)).forEach(this::pull);
                    if (pulls.isEmpty()) {
                        learned.countDown(); // nobody to learn from
                    }
                    repeat(() -> swim.tick(MonotonicClock.now()), swim::nextTickAt);
                    sharing.ifPresent(this::begin);
                });
        owner.scheduleWithFixedDelay(
                guarded(this::refresh),
                talk.refresh().toMillis(),
                talk.refresh().toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void begin(SharingProtocol<InetSocketAddress> kept) {
        kept.start();
        // past the edge of its window
        repeat(() -> tick(kept), () -> kept.nextTick(MonotonicClock.now()).plusMillis(1));
    }

    private void tick(SharingProtocol<InetSocketAddress> kept) {
        Map<String, InetSocketAddress> present =
                swim.presentMembers().stream()
                        .collect(
                                Collectors.toMap(
                                        Member::name, Member::address, (one, other) -> one));
        kept.tick(present, MonotonicClock.now());
    }

    /** Both sockets have one port; where it is any, the one that TCP got may be taken on UDP. */
    private void bind(InetSocketAddress listen) throws IOException {
        for (int i = 1; transfers == null; i++) {
            TransferServer server = new TransferServer(loop, listen, random, this::asked);
            try {
                datagrams = loop.datagrams(server.address(), this::received);
                transfers = server;
            } catch (IOException taken) {
                server.close();
                if (listen.getPort() != 0 || i >= BIND_TRIES) {
                    throw new IOException(
                            "peers: cannot listen on " + listen + " (UDP): " + taken.getMessage(),
                            taken);
                }
            }
        }
    }

    /**
     * Looks, and plans the next look; also where this one had a fault, as it must not be the last.
     */
    private void repeat(Runnable look, Supplier<Instant> due) {
        Instant next =
                MonotonicClock.now().plus(LOOK); // after a fault, which may come again at once
        try {
            look.run();
            next = due.get();
        } finally {
            if (!closed) {
                owner.schedule(
                        guarded(() -> repeat(look, due)),
                        Math.max(1, MonotonicClock.until(next).toMillis()),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Asks the module what it knows, and tells it what it does not. */
    private void look() {
        shortAnswers = 0;
        engine.readNodes(facts -> execute(() -> seen(facts)));
        recount();
    }

    /** Told at once when somebody comes: from then on each may send a cold node its part only. */
    private void recount() {
        members = swim == null ? List.of() : List.copyOf(swim.members());
        view.ifPresent(kept -> kept.retain(members));
        if (swim != null && config.talk().get().shareCold()) {
            RecentMembers.Share next = census.update(swim.members(), MonotonicClock.now());
            if (!next.equals(share)) {
                share = next;
                engine.setInstances(next.rank(), next.instances());
            }
        }
    }

    private void seen(List<NodeStatus> facts) {
        Instant now = MonotonicClock.now();
        learner.observe(facts, now);
        learner.hints(facts, now)
                .forEach(taught -> engine.hint(taught.nodeId(), taught::toSchedulerHint));
        publish();
    }

    private void publish() {
        for (Learner.Count count : Learner.Count.values()) {
            long more = learner.count(count) - told.getOrDefault(count, 0L);
            told.put(count, learner.count(count));
            switch (count) {
                case HINTS_TAKEN -> counters.add(Name.HINTS_TAKEN, more);
                case HINTS_CONFIRMED -> counters.add(Name.HINTS_CONFIRMED, more);
                case HINTS_CONTRADICTED -> counters.add(Name.HINTS_CONTRADICTED, more);
                case WORDS_AGED_OUT -> counters.add(Name.HINTS_AGED_OUT, more);
                case WORDS_TAKEN -> counters.add(Name.WORDS_TAKEN, more);
                case WORDS_REFUSED, WORDS_NO_ROOM -> counters.add(Name.WORDS_REFUSED, more);
                default -> {}
            }
        }
    }

    // ---- transfers

    private void refresh() {
        List<Member> present = swim.presentMembers();
        if (!present.isEmpty()) {
            pull(present.get(random.nextInt(present.size())).address());
        }
    }

    private void pull(InetSocketAddress from) {
        if (closed || pulls.size() >= MOST_PULLS || !pulls.add(from)) {
            return;
        }
        client.pull(
                from,
                config.mostNodes() * WORDS_A_NODE,
                new TransferClient.Listener() {
                    @Override
                    public List<Member> members() {
                        return swim.members().stream().limit(MEMBERS_A_FRAME).toList();
                    }

                    @Override
                    public void came(Transfer frame) {
                        swim.merge(frame.members(), MonotonicClock.now());
                        learner.receive(frame.words(), MonotonicClock.now());
                        sharing.ifPresent(kept -> kept.acceptVerdicts(frame.verdicts()));
                        publish();
                    }

                    @Override
                    public void over(String fault) {
                        pulls.remove(from);
                        counters.add(
                                fault.isEmpty() ? Name.TRANSFERS_TAKEN : Name.TRANSFERS_BROKEN);
                        LOG.log(Level.DEBUG, "transfer from {0}: {1}", from, fault);
                        // What came goes to the module before the doors open: its events are taken
                        // in order.
                        engine.readNodes(
                                facts ->
                                        execute(
                                                () -> {
                                                    seen(facts);
                                                    learned.countDown();
                                                }));
                    }
                });
    }

    /** On the I/O thread. */
    private void asked(byte[] question, long nonce, TransferServer.Reply reply) {
        if (!enqueue(() -> reply.accept(answer(question, nonce)))) {
            reply.accept(List.of());
        }
    }

    private List<byte[]> answer(byte[] question, long nonce) {
        Instant now = MonotonicClock.now();
        try {
            Transfer asked = Codec.transfer(Sealed.open(keys, question), now);
            if (asked.nonce() != nonce) {
                throw new Sealed.Refused(Sealed.Fault.REPLAYED);
            }
            swim.merge(asked.members(), now);
            counters.add(Name.TRANSFERS_SERVED);
            return answer(asked, now);
        } catch (Sealed.Refused refused) {
            refused(refused.fault());
            return refused.fault() == Sealed.Fault.VERSION ? List.of(Sealed.no()) : List.of();
        } catch (IOException unreadable) {
            refused(Sealed.Fault.BODY);
            return List.of();
        }
    }

    private List<byte[]> answer(Transfer asked, Instant now) {
        List<Member> members = swim.members();
        List<NodeObservation> words =
                learner.observations(
                        now,
                        Math.min(
                                Math.min(Codec.MOST_WORDS, asked.index()),
                                config.mostNodes() * WORDS_A_NODE));
        List<Verdict> held = sharing.map(SharingProtocol::verdicts).orElse(List.of());
        int frames =
                Math.max(
                        1,
                        Math.max(
                                (members.size() + MEMBERS_A_FRAME - 1) / MEMBERS_A_FRAME,
                                (Math.max(held.size(), words.size()) + WORDS_A_FRAME - 1)
                                        / WORDS_A_FRAME));
        List<byte[]> answer = new ArrayList<>();
        for (int i = 0; i < frames; i++) {
            answer.add(
                    Sealed.seal(
                            keys,
                            Codec.bytes(
                                    new Transfer(
                                            asked.ask(),
                                            0,
                                            i,
                                            i == frames - 1,
                                            part(members, i, MEMBERS_A_FRAME),
                                            part(words, i, WORDS_A_FRAME),
                                            i == 0 ? figures() : Map.of(),
                                            part(held, i, WORDS_A_FRAME)),
                                    now)));
        }
        return answer;
    }

    private static <T> List<T> part(List<T> all, int number, int size) {
        return all.subList(
                Math.min(all.size(), number * size), Math.min(all.size(), (number + 1) * size));
    }

    private Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>();
        for (Learner.Count count : Learner.Count.values()) {
            figures.put(count.name().toLowerCase(Locale.ROOT), learner.count(count));
        }
        figures.put("words_kept", (long) learner.peerObservationCount());
        figures.put("shares_cold_among", (long) share.instances());
        figures.put("name_conflicts", swim.nameConflicts());
        figures.put("names_refused", swim.refusedNameClaims());
        figures.put("health", (long) swim.health().score());
        figures.put("stalls", swim.stalls());
        figures.put("members_turned_away", swim.rejectedMembers());
        sharing.ifPresent(
                kept -> {
                    figures.put("limits_agreed_among", (long) kept.allocation().agreedMembers());
                    figures.put("verdicts_held", (long) kept.verdicts().size());
                    figures.put("shared_turned_away", kept.rejected());
                });
        return figures;
    }

    // ---- datagrams

    /** On the I/O thread. */
    private void received(InetSocketAddress from, byte[] datagram) {
        enqueue(() -> take(from, datagram));
    }

    private void take(InetSocketAddress from, byte[] datagram) {
        counters.add(Name.PEER_MESSAGES);
        try {
            if (datagram.length > Datagrams.MOST_BYTES) {
                throw new Sealed.Refused(Sealed.Fault.BODY);
            }
            Envelope envelope = Codec.envelope(Sealed.open(keys, datagram));
            switch (guard.check(from, envelope.from(), envelope.to(), envelope.number())) {
                case FRESH -> {
                    Message kept = held.remove(from);
                    if (kept != null) {
                        put(from, kept);
                    }
                    envelope.message()
                            .ifPresent(
                                    message -> swim.receive(message, from, MonotonicClock.now()));
                    envelope.notice().ifPresent(notice -> receive(notice, from));
                }
                case UNKNOWN_GENERATION -> {
                    if (envelope.says()) { // or two would tell each other without end
                        answerShortly(from, ownLife(envelope.from()));
                    }
                }
                default -> throw new Sealed.Refused(Sealed.Fault.REPLAYED);
            }
        } catch (Sealed.Refused refused) {
            refused(refused.fault());
            if (refused.fault() == Sealed.Fault.VERSION) {
                answerShortly(from, Sealed.no());
            }
        } catch (IOException unreadable) {
            refused(Sealed.Fault.BODY);
        }
    }

    private void receive(Notice notice, InetSocketAddress from) {
        sharing.ifPresent(shared -> shared.receive(notice, from));
    }

    /** A sealed envelope without content: tells an instance the life of this one. */
    private byte[] ownLife(long to) {
        Envelope envelope = new Envelope(life, to, guard.nextSequenceNumber(), Optional.empty());
        return Sealed.seal(keys, Codec.bytes(envelope));
    }

    private void answerShortly(InetSocketAddress to, byte[] answer) {
        if (shortAnswers++ < MOST_SHORT_ANSWERS) {
            datagrams.send(to, answer);
        }
    }

    private void refused(Sealed.Fault fault) {
        counters.add(Name.PEER_REFUSED);
        if (logged.add(fault)) { // a flood must not fill the log: each kind once
            LOG.log(Level.WARNING, "a message is refused and counted: {0}", fault);
        }
    }

    private void put(InetSocketAddress to, Message message) {
        send(to, Optional.of(message), Optional.empty());
    }

    private void send(InetSocketAddress to, Optional<Message> message, Optional<Notice> notice) {
        datagrams.send(
                to,
                Sealed.seal(
                        keys,
                        Codec.bytes(
                                new Envelope(
                                        life,
                                        guard.generationAt(to),
                                        guard.nextSequenceNumber(),
                                        message,
                                        notice))));
    }

    /** What sharing orders. */
    private final class Shared implements SharingProtocol.Out<InetSocketAddress> {
        private final SharingSettings terms;

        Shared(SharingSettings terms) {
            this.terms = terms;
        }

        @Override
        public void send(InetSocketAddress to, Notice notice) {
            Peers.this.send(to, Optional.empty(), Optional.of(notice));
        }

        @Override
        public void fetchVerdicts(InetSocketAddress with) {
            pull(with);
        }

        @Override
        public void verdictAccepted(Verdict verdict) {
            say(verdict, "verdict_taken");
            ruling.accept(verdict);
            sharing.ifPresent(Peers.this::keepVerdicts);
        }

        @Override
        public void allocationChanged(Allocation grant) {
            Map<Long, Double> volumes = new HashMap<>();
            Map<DemandTracker.ColdNode, Double> cold = new HashMap<>();
            grant.shares()
                    .forEach(
                            (key, part) -> {
                                if (ShareKey.isVolume(key)) {
                                    volumes.put(ShareKey.volumeId(key), part);
                                } else {
                                    ShareKey.nodeGeneration(key)
                                            .map(
                                                    run ->
                                                            new DemandTracker.ColdNode(
                                                                    run.id(), run.startedUs()))
                                            .ifPresent(node -> cold.put(node, part));
                                }
                            });
            engine.applyAllocation(
                    new Engine.LimitAllocation(
                            volumes,
                            cold,
                            grant.otherVolumeShare(),
                            grant.otherColdNodeShare(),
                            terms.minShare(),
                            terms.windowStart(grant.window() + 1)));
        }

        @Override
        public void requestDemand(long window) {
            engine.takeDemand(
                    demand -> {
                        Map<String, Double> wanted = new HashMap<>();
                        demand.unitsByVolume()
                                .forEach(
                                        (volume, units) ->
                                                wanted.put(ShareKey.ofVolume(volume), units));
                        demand.unitsByColdNode()
                                .forEach(
                                        (node, units) ->
                                                wanted.put(
                                                        ShareKey.ofNode(
                                                                node.id(), node.startedUs()),
                                                        units));
                        execute(() -> sharing.ifPresent(kept -> kept.reportDemand(window, wanted)));
                    });
        }
    }

    private void say(Verdict verdict, String what) {
        LOG.log(
                Level.INFO,
                "{0}",
                SharedLines.verdict(config.name(), what, verdict, MonotonicClock.now()));
    }

    private void keepVerdicts(SharingProtocol<InetSocketAddress> kept) {
        verdicts.ifPresent(
                file -> {
                    byte[] body = Codec.verdicts(kept.verdicts());
                    disk.execute(() -> write(file, body));
                });
    }

    /** Verdicts of the former life: they hold however long it is over. */
    private List<Verdict> recallVerdicts() {
        return verdicts.flatMap(
                        file ->
                                file.readNewest(
                                        Instant.now(),
                                        SnapshotStore.ANY_AGE,
                                        found -> Codec.verdicts(found.body()),
                                        this::ignored))
                .orElse(List.of());
    }

    private void ignored(SnapshotStore.SnapshotFile found, String fault) {
        counters.add(Name.SNAPSHOTS_IGNORED);
        LOG.log(Level.WARNING, "{0} is ignored: {1}", found.file(), fault);
    }

    /** What the membership orders. */
    private final class Wiring implements Swim.Callbacks {
        @Override
        public void send(InetSocketAddress to, Message message) {
            if (guard.generationAt(to) == 0 && (held.size() < MOST_HELD || held.containsKey(to))) {
                held.put(
                        to,
                        message); // it will be turned away and is sent again when the life is known
            }
            put(to, message);
        }

        @Override
        public void exchangeMemberLists(InetSocketAddress with) {
            pull(with);
        }

        @Override
        public void memberChanged(Member member) {
            recount();
            LOG.log(
                    Level.INFO,
                    "{0}",
                    view.map(kept -> kept.recordChange(member, MonotonicClock.now()))
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
                    view.map(kept -> kept.recordRefusal(known, claim, MonotonicClock.now()))
                            .orElse("");
            if (!line.isEmpty()) {
                LOG.log(Level.WARNING, "{0}", line);
            }
        }
    }

    // ---- snapshots

    private byte[] body() {
        return Codec.snapshot(
                config.name(),
                learner.observations(MonotonicClock.now(), Codec.MOST_WORDS),
                MonotonicClock.now());
    }

    private void write(byte[] body) {
        store.ifPresent(file -> write(file, body));
    }

    private void write(SnapshotStore file, byte[] body) {
        try {
            file.write(body, Instant.now());
            counters.add(Name.SNAPSHOTS_WRITTEN);
        } catch (IOException failed) {
            counters.add(Name.SNAPSHOTS_FAILED);
            LOG.log(Level.WARNING, "snapshot not written: {0}", failed.toString());
        }
    }

    /** Before anything else runs. */
    private void recall() {
        store.flatMap(
                        file ->
                                file.readNewest(
                                        Instant.now(),
                                        config.snapshots().get().mostAge(),
                                        this::words,
                                        this::ignored))
                .ifPresent(words -> learner.receive(words, MonotonicClock.now()));
    }

    private List<NodeObservation> words(SnapshotStore.SnapshotFile found) throws IOException {
        return Codec.snapshot(found.body(), config.name(), found.age(), MonotonicClock.now())
                .orElseThrow(() -> new IOException("another instance's"));
    }
}
