package cypressglade.member;

import cypressglade.member.Member.State;
import cypressglade.member.Message.Kind;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One instance's side of the SWIM membership protocol, with the extensions of Lifeguard. Its owner
 * calls {@link #tick} when the time {@link #nextTickAt} has come, and {@link #receive} for each
 * message; both may send through {@link Callbacks}. Not safe for use by several threads.
 *
 * <p>In each protocol period one member is probed, in a random order that is drawn anew for each
 * round, so that each member is probed once a round (SWIM, 4.3). A member that does not answer is
 * probed indirectly, through others. If that fails too it becomes suspect, and is declared dead
 * unless it refutes the suspicion in time. A member that is suspected is told so in each message to
 * it, because it can only refute what it knows.
 *
 * <p>Following Lifeguard, the time between two probes and the wait for an ack grow with the local
 * health score ({@link LocalHealth}). Members that were asked for an indirect probe and receive no
 * ack in time answer with a nack; a prober that receives no nacks either takes itself to be slow.
 *
 * <p>A name in use at one address is not taken over by another generation at another address while
 * the first member is present.
 */
public final class Swim {
    private static final int MAX_RELAYED_PINGS = 64;

    /** Random members that are told directly that this one leaves. */
    private static final int MAX_LEAVE_RECEIVERS = 8;

    /** Dead members that are remembered; beyond it those that died first are forgotten. */
    private static final int MAX_DEAD_MEMBERS = 64;

    /**
     * Fraction of the ack timeout after which a member that probes on behalf of another sends a
     * nack (Lifeguard).
     */
    private static final double NACK_FRACTION = 0.8;

    private final SwimSettings settings;
    private final RandomGenerator random;
    private final Callbacks callbacks;
    private final List<InetSocketAddress> seeds;
    private final Map<String, KnownMember> others = new LinkedHashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private final GossipQueue gossipQueue = new GossipQueue();
    private final Map<Long, RelayedPing> relayedPings = new LinkedHashMap<>();
    private final LocalHealth health = new LocalHealth();
    private Member self;
    private long lastSequenceNumber;
    private Probe probe;
    private Instant nextProbe;
    private Instant nextGossip;
    private Instant nextTimeoutCheck;
    private Instant nextExchange;
    private Instant nextReconnect;
    private long nameConflicts;
    private long rejectedMembers;
    private long refusedNameClaims;
    private long stalls;

    /**
     * What the protocol asks of its owner. Called by {@link #tick}, {@link #receive}, {@link
     * #merge} and {@link #leave}.
     */
    public interface Callbacks {
        /** Sends a message; it may be lost. */
        void send(InetSocketAddress to, Message message);

        /**
         * Starts an exchange of whole member lists with another instance: each side sends its
         * {@link Swim#members} and passes the other's to {@link Swim#merge}.
         */
        void exchangeMemberLists(InetSocketAddress with);

        /** A member was added, or its state or incarnation changed. */
        void memberChanged(Member member);

        /**
         * The update {@code claim} was not accepted: its name is in use by {@code known}, another
         * process. Where that name is this member's own, {@code claim} or {@code known} is this
         * member.
         */
        default void nameClaimRefused(Member known, Member claim) {
            // Ignored by default.
        }
    }

    /** Another member, with what this instance needs to judge it. */
    private static final class KnownMember {
        private Member member;
        private Instant stateSince;
        private Instant lastHeard = Instant.MIN; // last message received from it
        private final Set<String> suspectedBy = new HashSet<>();

        private KnownMember(Member member, Instant stateSince) {
            this.member = member;
            this.stateSince = stateSince;
        }
    }

    /**
     * The probe of the current protocol period. The ping is sent, sent again after an ack timeout,
     * and after another one sent a third time together with the ping-reqs.
     *
     * <p>At 5% loss the second ping avoids nine of ten indirect probes, which cost four messages
     * each. The third avoids four of five suspicions at 10% loss, which cost all members: with two
     * pings, a thousand members produced more updates than their messages hold, and refutations did
     * not reach some of them, which then declared live members dead.
     */
    private record Probe(
            long sequenceNumber,
            String target,
            Instant nextStepAt,
            int pingsSent,
            int indirectProbers,
            int nacks) {
        private static final int DIRECT_PINGS = 2;
        private static final int MAX_PINGS = 3;

        /** Whether another ping follows if no ack is received. */
        boolean hasNextStep() {
            return pingsSent < MAX_PINGS;
        }

        Probe withNack() {
            return new Probe(
                    sequenceNumber, target, nextStepAt, pingsSent, indirectProbers, nacks + 1);
        }
    }

    /**
     * A ping that was sent on behalf of another member; that member gets a nack at {@code nackAt}
     * if no ack was received by then.
     */
    private record RelayedPing(
            InetSocketAddress requester, long sequenceNumber, Instant expiresAt, Instant nackAt) {}

    /**
     * Starts with no other member known; the first tick contacts the seeds.
     *
     * @param self this instance, alive
     * @param seeds addresses where other members may be found; this instance's own is ignored
     * @param random source of all random choices
     * @param now time of the start
     */
    public Swim(
            Member self,
            List<InetSocketAddress> seeds,
            SwimSettings settings,
            RandomGenerator random,
            Callbacks callbacks,
            Instant now) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.settings = settings;
        this.random = random;
        this.callbacks = callbacks;
        nextProbe = now;
        nextGossip = now;
        nextTimeoutCheck = now;
        nextReconnect = now;
        nextExchange = now.plus(settings.exchangeInterval(1));
    }

    /** This instance, in its current incarnation and state. */
    public Member self() {
        return self;
    }

    /** All known members in any state, this instance first. */
    public List<Member> members() {
        List<Member> list = new ArrayList<>(List.of(self));
        others.values().forEach(known -> list.add(known.member));
        return list;
    }

    /** The other members that are alive or suspect. */
    public List<Member> presentMembers() {
        return others.values().stream()
                .map(known -> known.member)
                .filter(Member::isPresent)
                .toList();
    }

    /**
     * Number of times that an update named a higher incarnation of this instance's name from
     * another generation: an earlier run of this instance, or another process under its name.
     */
    public long nameConflicts() {
        return nameConflicts;
    }

    /**
     * Number of updates that were dropped because they were about further members while {@link
     * SwimSettings#maxMembers} were known.
     */
    public long rejectedMembers() {
        return rejectedMembers;
    }

    /** Number of updates refused because they claimed a name that another process uses. */
    public long refusedNameClaims() {
        return refusedNameClaims;
    }

    /** Number of times that this process was found to have stalled for over a protocol period. */
    public long stalls() {
        return stalls;
    }

    /** The local health score of this instance, which scales its waits. */
    public LocalHealth health() {
        return health;
    }

    /** When {@link #tick} is to be called next. A member that left needs no more ticks. */
    public Instant nextTickAt() {
        Instant due = nextProbe.isBefore(nextReconnect) ? nextProbe : nextReconnect;
        due = nextGossip.isBefore(due) ? nextGossip : due;
        due = nextTimeoutCheck.isBefore(due) ? nextTimeoutCheck : due;
        due = nextExchange.isBefore(due) ? nextExchange : due;
        for (RelayedPing relayed : relayedPings.values()) {
            due = relayed.nackAt.isBefore(due) ? relayed.nackAt : due;
        }
        return probe != null && probe.hasNextStep() && probe.nextStepAt.isBefore(due)
                ? probe.nextStepAt
                : due;
    }

    /** Runs every step that is due: probes, gossip, timeouts, list exchanges and reconnects. */
    public void tick(Instant now) {
        if (self.state() == State.LEFT) {
            return;
        }
        Duration late = Duration.between(nextTickAt(), now);
        if (late.compareTo(settings.period()) > 0) {
            handleStall(late);
        }
        if (probe != null && probe.hasNextStep() && !now.isBefore(probe.nextStepAt)) {
            continueProbe(now);
        }
        sendNacks(now);
        if (!now.isBefore(nextProbe)) {
            endProbe(now);
            startProbe(now);
            nextProbe = now.plus(health.scale(settings.period()));
            nextGossip = now.plus(settings.period());
        }
        // A slow member probes less often, but must pass on updates at the usual rate.
        if (!now.isBefore(nextGossip)) {
            pickRandom(presentMembers(), 1, Set.of())
                    .forEach(to -> send(to.address(), to.name(), Kind.ACK, 0, "", null));
            nextGossip = now.plus(settings.period());
        }
        // Suspicion timeouts are not scaled by local health: only probes are.
        if (!now.isBefore(nextTimeoutCheck)) {
            checkTimeouts(now);
            nextTimeoutCheck = now.plus(settings.period());
        }
        if (!now.isBefore(nextExchange)) {
            pickRandom(presentMembers(), 1, Set.of())
                    .forEach(member -> callbacks.exchangeMemberLists(member.address()));
            nextExchange = now.plus(settings.exchangeInterval(others.size()));
        }
        if (!now.isBefore(nextReconnect)) {
            reconnect();
            nextReconnect = now.plus(settings.reconnectInterval());
        }
    }

    /**
     * Handles a pause of this process (a long garbage collection, SIGSTOP), after which messages
     * that arrived meanwhile are still unread. The silence of others during the pause must not
     * count against them: suspicions are extended by its length, the open probe is dropped, and the
     * local health score rises.
     */
    private void handleStall(Duration late) {
        stalls++;
        health.probeFailed();
        probe = null;
        others.values().stream()
                .filter(known -> known.member.state() == State.SUSPECT)
                .forEach(known -> known.stateSince = known.stateSince.plus(late));
    }

    /**
     * Handles a message.
     *
     * @param from address that the message came from; acks and nacks are sent there
     */
    public void receive(Message message, InetSocketAddress from, Instant now) {
        if (self.state() == State.LEFT) {
            return;
        }
        String sender = message.updates().isEmpty() ? "" : message.updates().get(0).member().name();
        KnownMember sendingMember = others.get(sender);
        boolean acrossPartition = sendingMember != null && !sendingMember.member.isPresent();
        if (sendingMember != null) {
            sendingMember.lastHeard = now;
        }
        message.updates()
                .forEach(update -> applyUpdate(downgradeDeath(update, acrossPartition, now), now));
        switch (message.kind()) {
            case PING -> {
                if (message.target().isEmpty() || message.target().equals(self.name())) {
                    send(from, sender, Kind.ACK, message.sequenceNumber(), "", null);
                }
            }
            case PING_REQ -> {
                if (relayedPings.size() < MAX_RELAYED_PINGS && message.targetAddress() != null) {
                    long sequenceNumber = ++lastSequenceNumber;
                    Instant nackAt =
                            now.plusNanos((long) (NACK_FRACTION * settings.ackTimeout().toNanos()));
                    relayedPings.put(
                            sequenceNumber,
                            new RelayedPing(
                                    from,
                                    message.sequenceNumber(),
                                    now.plus(settings.period()),
                                    nackAt));
                    send(
                            message.targetAddress(),
                            message.target(),
                            Kind.PING,
                            sequenceNumber,
                            message.target(),
                            null);
                }
            }
            case ACK -> {
                RelayedPing relayed = relayedPings.remove(message.sequenceNumber());
                if (relayed != null) {
                    send(relayed.requester, "", Kind.ACK, relayed.sequenceNumber, "", null);
                } else if (probe != null && probe.sequenceNumber == message.sequenceNumber()) {
                    probe = null;
                    health.probeAnswered();
                }
            }
            case NACK -> {
                if (probe != null && probe.sequenceNumber == message.sequenceNumber()) {
                    probe = probe.withNack();
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    /**
     * Merges another member's whole list. A member that the list calls dead and that is present
     * here becomes suspect first, as in the push-pull of HashiCorp's memberlist: after a partition
     * each side's list calls the other side's members dead, and those get a chance to refute it
     * before they are declared dead again.
     */
    public void merge(Collection<Member> members, Instant now) {
        members.forEach(
                member ->
                        applyUpdate(downgradeDeath(new MemberUpdate(member, ""), true, now), now));
    }

    /**
     * Turns an update that declares a present member dead into a suspicion if it comes from across
     * a partition, or if this instance received a message from that member within the shortest
     * suspicion timeout. An update that was sent within one side of a partition is still passed on
     * when the partition heals, and would make members flap between dead and alive.
     */
    private MemberUpdate downgradeDeath(MemberUpdate update, boolean acrossPartition, Instant now) {
        Member reported = update.member();
        KnownMember known = reported.state() == State.DEAD ? others.get(reported.name()) : null;
        boolean suspectFirst =
                known != null
                        && known.member.isPresent()
                        && (acrossPartition
                                || known.lastHeard.isAfter(
                                        now.minus(
                                                settings.suspicionTimeout(
                                                        others.size(),
                                                        SwimSettings.MAX_CONFIRMATIONS))));
        return suspectFirst
                ? new MemberUpdate(reported.withState(State.SUSPECT), update.reportedBy())
                : update;
    }

    /** Announces that this instance leaves, so that no member has to suspect it. */
    public void leave(Instant now) {
        if (self.state() != State.LEFT) {
            List<Member> receivers = pickRandom(presentMembers(), MAX_LEAVE_RECEIVERS, Set.of());
            self = self.aliveWithIncarnation(self.incarnation() + 1).withState(State.LEFT);
            receivers.forEach(
                    member -> send(member.address(), member.name(), Kind.ACK, 0, "", null));
            nextProbe = nextGossip = nextTimeoutCheck = nextReconnect = nextExchange = Instant.MAX;
            probe = null;
        }
    }

    // ---- probes and timeouts

    private void startProbe(Instant now) {
        relayedPings.values().removeIf(relayed -> relayed.expiresAt.isBefore(now));
        if (probeOrder.isEmpty()) {
            presentMembers()
                    .forEach(
                            member ->
                                    probeOrder.add(
                                            random.nextInt(probeOrder.size() + 1), member.name()));
        }
        while (!probeOrder.isEmpty()) {
            KnownMember known = others.get(probeOrder.remove(probeOrder.size() - 1));
            if (known != null && known.member.isPresent()) {
                Member target = known.member;
                probe =
                        new Probe(
                                ++lastSequenceNumber,
                                target.name(),
                                now.plus(health.scale(settings.ackTimeout())),
                                1,
                                0,
                                0);
                send(
                        target.address(),
                        target.name(),
                        Kind.PING,
                        probe.sequenceNumber,
                        target.name(),
                        null);
                return;
            }
        }
    }

    private void continueProbe(Instant now) {
        probe =
                new Probe(
                        probe.sequenceNumber,
                        probe.target,
                        now.plus(health.scale(settings.ackTimeout())),
                        probe.pingsSent + 1,
                        probe.indirectProbers,
                        probe.nacks);
        KnownMember target = others.get(probe.target);
        if (target == null) {
            return;
        }
        send(
                target.member.address(),
                probe.target,
                Kind.PING,
                probe.sequenceNumber,
                probe.target,
                null);
        if (probe.pingsSent > Probe.DIRECT_PINGS) {
            List<Member> probers =
                    pickRandom(presentMembers(), settings.indirectProbers(), Set.of(probe.target));
            probe =
                    new Probe(
                            probe.sequenceNumber,
                            probe.target,
                            probe.nextStepAt,
                            probe.pingsSent,
                            probers.size(),
                            0);
            for (Member prober : probers) {
                send(
                        prober.address(),
                        prober.name(),
                        Kind.PING_REQ,
                        probe.sequenceNumber,
                        probe.target,
                        target.member.address());
            }
        }
    }

    /**
     * Sends the nacks that are due, so that the probing members know that their messages arrive.
     */
    private void sendNacks(Instant now) {
        for (Map.Entry<Long, RelayedPing> entry : relayedPings.entrySet()) {
            RelayedPing relayed = entry.getValue();
            if (!now.isBefore(relayed.nackAt)) {
                send(relayed.requester, "", Kind.NACK, relayed.sequenceNumber, "", null);
                entry.setValue(
                        new RelayedPing(
                                relayed.requester,
                                relayed.sequenceNumber,
                                relayed.expiresAt,
                                Instant.MAX));
            }
        }
    }

    private void endProbe(Instant now) {
        KnownMember target = probe == null ? null : others.get(probe.target);
        if (probe != null) {
            health.probeFailed();
            // A member that received the ping-req would have sent a nack: the messages of this
            // instance are late.
            if (probe.nacks < probe.indirectProbers) {
                health.nackMissed();
            }
        }
        probe = null;
        if (target != null && target.member.isPresent()) {
            applyUpdate(new MemberUpdate(target.member.withState(State.SUSPECT), self.name()), now);
        }
    }

    /**
     * Declares suspects dead whose timeout has passed, and forgets members that left or died long
     * ago.
     */
    private void checkTimeouts(Instant now) {
        List<KnownMember> suspects = new ArrayList<>();
        List<KnownMember> dead = new ArrayList<>();
        others.values()
                .removeIf(
                        known -> {
                            Member member = known.member;
                            if (member.state() == State.SUSPECT) {
                                suspects.add(known);
                            } else if (member.state() == State.DEAD) {
                                dead.add(known);
                            }
                            return member.state() == State.LEFT
                                            && known.stateSince
                                                    .plus(settings.leftRetention())
                                                    .isBefore(now)
                                    || member.state() == State.DEAD
                                            && known.stateSince
                                                    .plus(settings.deadRetention())
                                                    .isBefore(now);
                        });
        for (KnownMember known : suspects) {
            if (!known.stateSince
                    .plus(settings.suspicionTimeout(others.size(), known.suspectedBy.size() - 1))
                    .isAfter(now)) {
                applyUpdate(new MemberUpdate(known.member.withState(State.DEAD), self.name()), now);
            }
        }
        if (dead.size() > MAX_DEAD_MEMBERS) {
            dead.sort(Comparator.comparing((KnownMember known) -> known.stateSince).reversed());
            dead.subList(MAX_DEAD_MEMBERS, dead.size())
                    .forEach(known -> others.remove(known.member.name()));
        }
    }

    /**
     * Pings a dead member or a seed at which no present member is known: after a partition each
     * side holds the other's members dead and no longer probes them.
     */
    private void reconnect() {
        Set<InetSocketAddress> reachable = new HashSet<>();
        presentMembers().forEach(member -> reachable.add(member.address()));
        List<InetSocketAddress> unreachable = new ArrayList<>(seeds);
        others.values().stream()
                .filter(known -> known.member.state() == State.DEAD)
                .forEach(known -> unreachable.add(known.member.address()));
        unreachable.removeAll(reachable);
        // With no other member present, all seeds are tried at once: the start waits for one.
        if (reachable.isEmpty()) {
            unreachable.forEach(this::pingAddress);
        } else if (!unreachable.isEmpty()) {
            pingAddress(unreachable.get(random.nextInt(unreachable.size())));
        }
    }

    private void pingAddress(InetSocketAddress at) {
        Optional<Member> knownThere =
                others.values().stream()
                        .map(known -> known.member)
                        .filter(member -> member.address().equals(at))
                        .findFirst();
        send(
                at,
                knownThere.map(Member::name).orElse(""),
                Kind.PING,
                ++lastSequenceNumber,
                "",
                null);
    }

    private List<Member> pickRandom(List<Member> from, int max, Set<String> excludedNames) {
        List<Member> candidates = new ArrayList<>(from);
        candidates.removeIf(member -> excludedNames.contains(member.name()));
        List<Member> picked = new ArrayList<>();
        while (picked.size() < max && !candidates.isEmpty()) {
            picked.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return picked;
    }

    private void send(
            InetSocketAddress to,
            String receiverName,
            Kind kind,
            long sequenceNumber,
            String target,
            InetSocketAddress targetAddress) {
        List<MemberUpdate> updates = new ArrayList<>(List.of(new MemberUpdate(self, self.name())));
        KnownMember receiver = others.get(receiverName);
        // A receiver that is not alive here is told so: it can refute only what it knows.
        if (receiver != null && receiver.member.state() != State.ALIVE) {
            updates.add(new MemberUpdate(receiver.member, self.name()));
        }
        updates.addAll(
                gossipQueue.next(
                        SwimSettings.MAX_UPDATES_PER_MESSAGE,
                        settings.maxTransmissions(others.size() + 1)));
        callbacks.send(to, new Message(kind, sequenceNumber, target, targetAddress, updates));
    }

    // ---- updates

    private void applyUpdate(MemberUpdate update, Instant now) {
        Member reported = update.member();
        if (reported.name().equals(self.name())) {
            applyToSelf(reported);
            return;
        }
        KnownMember known = others.get(reported.name());
        if (known != null
                && reported.isPresent()
                && reported.generation() != known.member.generation()
                && known.member.isPresent()
                && !reported.address().equals(known.member.address())) {
            // Another process under a name in use: a restart keeps its address.
            refusedNameClaims++;
            callbacks.nameClaimRefused(known.member, reported);
            return;
        }
        if (known == null) {
            if (!reported.isPresent()) {
                return; // A member that is gone need not be known.
            } else if (others.size() >= settings.maxMembers()) {
                rejectedMembers++;
                return;
            }
            KnownMember added = new KnownMember(reported, now);
            others.put(reported.name(), added);
            probeOrder.add(random.nextInt(probeOrder.size() + 1), reported.name());
            addSuspicion(added, update);
            spreadUpdate(update);
        } else if (reported.overrides(known.member)) {
            boolean isBack = !known.member.isPresent() && reported.isPresent();
            known.member = reported;
            known.stateSince = now;
            known.suspectedBy.clear();
            addSuspicion(known, update);
            spreadUpdate(update);
            if (isBack) {
                probeOrder.add(random.nextInt(probeOrder.size() + 1), reported.name());
                // A partition may have healed, with more members on the other side.
                callbacks.exchangeMemberLists(reported.address());
            }
        } else if (reported.state() == State.SUSPECT
                && reported.incarnation() == known.member.incarnation()
                && known.member.state() == State.SUSPECT
                && known.suspectedBy.size() <= SwimSettings.MAX_CONFIRMATIONS
                && addSuspicion(known, update)) {
            gossipQueue.add(update); // One more confirmation, which the others have to count too.
        }
    }

    /**
     * Records who suspects a member; returns whether that is one more member that found it
     * unresponsive itself.
     */
    private static boolean addSuspicion(KnownMember known, MemberUpdate update) {
        return known.member.state() == State.SUSPECT
                && !update.reportedBy().isEmpty()
                && known.suspectedBy.add(update.reportedBy());
    }

    private void spreadUpdate(MemberUpdate update) {
        gossipQueue.add(update);
        callbacks.memberChanged(update.member());
    }

    /**
     * Refutes what is reported of this instance and is not true, even if it is about an earlier run
     * of it, by taking a higher incarnation.
     */
    private void applyToSelf(Member reported) {
        boolean otherGeneration = reported.generation() != self.generation();
        if (otherGeneration && reported.isPresent() && !reported.address().equals(self.address())) {
            refusedNameClaims++;
            callbacks.nameClaimRefused(self, reported);
            return; // Otherwise two processes under one name would refute each other endlessly.
        }
        if (otherGeneration
                && reported.state() == State.ALIVE
                && reported.incarnation() > self.incarnation()) {
            nameConflicts++; // An earlier run, or another instance under the same name.
        }
        if (reported.incarnation() >= self.incarnation()
                && (otherGeneration || reported.state() != State.ALIVE)
                && self.state() != State.LEFT) {
            if (!otherGeneration) {
                health.refuted(); // Suspected while alive: this instance may be slow.
            }
            self = self.aliveWithIncarnation(reported.incarnation() + 1);
            gossipQueue.add(new MemberUpdate(self, self.name()));
        }
    }
}
