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
 * One instance's side of the membership protocol. Its owner calls {@link #tick} when {@link
 * #nextTickAt} has come and {@link #receive} for each message; both may send through {@link
 * Swim.Callbacks}. Not safe for use by several threads.
 *
 * <p>Each period one member is pinged, in an order shuffled anew each round, so that each is pinged
 * once in a round (SWIM, 4.3). Who does not answer is asked for through others; who answers none of
 * them is suspected, and taken for dead if it does not overrule that in time. Who stands accused is
 * told with every message that goes to it, as it can clear itself only when it knows.
 *
 * <p>After Lifeguard, the period and the wait for an answer grow with what this member itself
 * missed ({@link LocalHealth}); helpers that hear nothing in time say so (a nack), so that a prober
 * whose helpers are silent too takes itself for the slow one. A name in use at one address is not
 * taken by another life at another address while the first is present.
 */
public final class Swim {
    private static final int MOST_RELAYS = 64;
    private static final int TOLD_ON_LEAVING = 8;
    private static final int MOST_LOST = 64;

    private final SwimSettings timing;
    private final RandomGenerator random;
    private final Swim.Callbacks out;
    private final List<InetSocketAddress> seeds;
    private final Map<String, Entry> others = new LinkedHashMap<>();
    private final List<String> round = new ArrayList<>();
    private final GossipQueue rumours = new GossipQueue();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private final LocalHealth health = new LocalHealth();
    private Member self;
    private long lastNumber;
    private Probe probe;
    private Instant nextProbe;
    private Instant nextGossip;
    private Instant nextJudge;
    private Instant nextExchange;
    private Instant nextReconnect;
    private long conflicts;
    private long turnedAway;
    private long namesRefused;
    private long stalls;

    /** Where it all goes. */
    public interface Callbacks {
        void send(InetSocketAddress to, Message message);

        /**
         * Both sides are to hand each other their whole lists: {@link Swim#members} and {@link
         * Swim#merge}.
         */
        void exchangeMemberLists(InetSocketAddress with);

        /** What is known of a member has changed. */
        void memberChanged(Member member);

        /**
         * Word of {@code claim} was not taken: its name is in use by {@code known}, another
         * process. Where that name is this member's own, either the claim or {@code known} is this
         * member.
         */
        default void nameClaimRefused(Member known, Member claim) {
            // nothing by default; the owner logs it
        }
    }

    private static final class Entry {
        private Member member;
        private Instant since;
        private Instant heard = Instant.MIN;
        private final Set<String> accusers = new HashSet<>();

        private Entry(Member member, Instant since) {
            this.member = member;
            this.since = since;
        }
    }

    /**
     * The one ping of this period: sent, sent again after the wait for an answer, and after another
     * a third time and asked of others. At 5% loss a second ping spares nine of ten indirect ones,
     * which cost four messages each. The third spares four of five suspicions at 10% loss, which
     * cost all members: with two, a thousand members made more news than their messages hold, and
     * refutations missed some of them (false dead).
     */
    private record Probe(
            long number, String target, Instant nextAt, int tries, int helpers, int nacks) {
        private static final int DIRECT = 2;
        private static final int DONE = 3;

        boolean waits() {
            return tries < DONE;
        }

        Probe nacked() {
            return new Probe(number, target, nextAt, tries, helpers, nacks + 1);
        }
    }

    /**
     * A ping that was sent for another; a nack goes back at {@code nackAt} where no answer came by
     * then.
     */
    private record Relay(InetSocketAddress asker, long number, Instant until, Instant nackAt) {}

    /**
     * Of the wait for an answer, the part after which a helper that heard nothing says so
     * (Lifeguard).
     */
    private static final double NACK_PART = 0.8;

    /** Knows itself and where others may be found; the first tick joins them. */
    public Swim(
            Member self,
            List<InetSocketAddress> seeds,
            SwimSettings timing,
            RandomGenerator random,
            Swim.Callbacks out,
            Instant now) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.timing = timing;
        this.random = random;
        this.out = out;
        nextProbe = now;
        nextGossip = now;
        nextJudge = now;
        nextReconnect = now;
        nextExchange = now.plus(timing.exchangeInterval(1));
    }

    public Member self() {
        return self;
    }

    /** Everyone who is known, this instance first. */
    public List<Member> members() {
        List<Member> list = new ArrayList<>(List.of(self));
        others.values().forEach(entry -> list.add(entry.member));
        return list;
    }

    /** Others that count as running. */
    public List<Member> presentMembers() {
        return others.values().stream()
                .map(entry -> entry.member)
                .filter(Member::isPresent)
                .toList();
    }

    /** How often another instance spoke under this one's name. */
    public long nameConflicts() {
        return conflicts;
    }

    /** How many members there was no room for. */
    public long rejectedMembers() {
        return turnedAway;
    }

    /** How often word of another process under a name in use was not taken. */
    public long refusedNameClaims() {
        return namesRefused;
    }

    /** How often this member found that it had stood still for longer than a period. */
    public long stalls() {
        return stalls;
    }

    /** This member's own health, by which it waits longer. */
    public LocalHealth health() {
        return health;
    }

    /** When the next tick is wanted. */
    public Instant nextTickAt() {
        Instant due = nextProbe.isBefore(nextReconnect) ? nextProbe : nextReconnect;
        due = nextGossip.isBefore(due) ? nextGossip : due;
        due = nextJudge.isBefore(due) ? nextJudge : due;
        due = nextExchange.isBefore(due) ? nextExchange : due;
        for (Relay relay : relays.values()) {
            due = relay.nackAt.isBefore(due) ? relay.nackAt : due;
        }
        return probe != null && probe.waits() && probe.nextAt.isBefore(due) ? probe.nextAt : due;
    }

    /** Does what is due. */
    public void tick(Instant now) {
        if (self.state() == State.LEFT) {
            return;
        }
        Duration late = Duration.between(nextTickAt(), now);
        if (late.compareTo(timing.period()) > 0) {
            stoodStill(late);
        }
        if (probe != null && probe.waits() && !now.isBefore(probe.nextAt)) {
            tryAgain(now);
        }
        nack(now);
        if (!now.isBefore(nextProbe)) {
            endProbe(now);
            startProbe(now);
            nextProbe = now.plus(health.scale(timing.period()));
            nextGossip = now.plus(timing.period());
        }
        if (!now.isBefore(
                nextGossip)) { // a slow member's probes are far apart, its news must not be
            pick(presentMembers(), 1, Set.of())
                    .forEach(to -> send(to.address(), to.name(), Kind.ACK, 0, "", null));
            nextGossip = now.plus(timing.period());
        }
        if (!now.isBefore(
                nextJudge)) { // verdicts keep their time: only the probes of a slow member wait
            judge(now);
            nextJudge = now.plus(timing.period());
        }
        if (!now.isBefore(nextExchange)) {
            pick(presentMembers(), 1, Set.of())
                    .forEach(member -> out.exchangeMemberLists(member.address()));
            nextExchange = now.plus(timing.exchangeInterval(others.size()));
        }
        if (!now.isBefore(nextReconnect)) {
            reconnect();
            nextReconnect = now.plus(timing.reconnectInterval());
        }
    }

    /**
     * Guards against a process that was paused (a long collection, SIGSTOP) taking the silence of
     * its own pause for that of others: what came meanwhile is not read yet. Its suspicions have as
     * long to be refuted as if the pause had not been, its open probe is void, and its health says
     * that it is the slow one.
     */
    private void stoodStill(Duration late) {
        stalls++;
        health.probeFailed();
        probe = null;
        others.values().stream()
                .filter(entry -> entry.member.state() == State.SUSPECT)
                .forEach(entry -> entry.since = entry.since.plus(late));
    }

    /** Takes a message; where it came from is where its answer goes. */
    public void receive(Message message, InetSocketAddress from, Instant now) {
        if (self.state() == State.LEFT) {
            return;
        }
        String sender = message.updates().isEmpty() ? "" : message.updates().get(0).member().name();
        Entry teller = others.get(sender);
        boolean across = teller != null && !teller.member.isPresent();
        if (teller != null) {
            teller.heard = now;
        }
        message.updates().forEach(news -> apply(doubted(news, across, now), now));
        switch (message.kind()) {
            case PING -> {
                if (message.target().isEmpty() || message.target().equals(self.name())) {
                    send(from, sender, Kind.ACK, message.sequenceNumber(), "", null);
                }
            }
            case PING_REQ -> {
                if (relays.size() < MOST_RELAYS && message.targetAddress() != null) {
                    long number = ++lastNumber;
                    Instant nackAt =
                            now.plusNanos((long) (NACK_PART * timing.ackTimeout().toNanos()));
                    relays.put(
                            number,
                            new Relay(
                                    from,
                                    message.sequenceNumber(),
                                    now.plus(timing.period()),
                                    nackAt));
                    send(
                            message.targetAddress(),
                            message.target(),
                            Kind.PING,
                            number,
                            message.target(),
                            null);
                }
            }
            case ACK -> {
                Relay relay = relays.remove(message.sequenceNumber());
                if (relay != null) {
                    send(relay.asker, "", Kind.ACK, relay.number, "", null);
                } else if (probe != null && probe.number == message.sequenceNumber()) {
                    probe = null;
                    health.probeAnswered();
                }
            }
            case NACK -> {
                if (probe != null && probe.number == message.sequenceNumber()) {
                    probe = probe.nacked();
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    /**
     * Takes in another's whole list. Whom it holds dead and this member holds present is suspected
     * first, as in memberlist's push-pull: after a split each side's list holds the other side
     * dead, and who is there can say so before anybody takes it for dead again.
     */
    public void merge(Collection<Member> members, Instant now) {
        members.forEach(member -> apply(doubted(new MemberUpdate(member, ""), true, now), now));
    }

    /**
     * Word that somebody present is dead is taken as a suspicion where it comes from across a
     * partition, or where this member has heard from that one since the least time that a suspicion
     * takes: a verdict that was told within one side of a split still travels when it heals, and
     * would make whoever hears it flap.
     */
    private MemberUpdate doubted(MemberUpdate news, boolean across, Instant now) {
        Member told = news.member();
        Entry entry = told.state() == State.DEAD ? others.get(told.name()) : null;
        boolean doubt =
                entry != null
                        && entry.member.isPresent()
                        && (across
                                || entry.heard.isAfter(
                                        now.minus(
                                                timing.suspicionTimeout(
                                                        others.size(), SwimSettings.SHARED_BY))));
        return doubt ? new MemberUpdate(told.withState(State.SUSPECT), news.reportedBy()) : news;
    }

    /** Leaves in order, so that nobody has to suspect this instance. */
    public void leave(Instant now) {
        if (self.state() != State.LEFT) {
            List<Member> told = pick(presentMembers(), TOLD_ON_LEAVING, Set.of());
            self = self.aliveWithIncarnation(self.incarnation() + 1).withState(State.LEFT);
            told.forEach(member -> send(member.address(), member.name(), Kind.ACK, 0, "", null));
            nextProbe = nextGossip = nextJudge = nextReconnect = nextExchange = Instant.MAX;
            probe = null;
        }
    }

    // ---- probing

    private void startProbe(Instant now) {
        relays.values().removeIf(relay -> relay.until.isBefore(now));
        if (round.isEmpty()) {
            presentMembers()
                    .forEach(member -> round.add(random.nextInt(round.size() + 1), member.name()));
        }
        while (!round.isEmpty()) {
            Entry entry = others.get(round.remove(round.size() - 1));
            if (entry != null && entry.member.isPresent()) {
                Member target = entry.member;
                probe =
                        new Probe(
                                ++lastNumber,
                                target.name(),
                                now.plus(health.scale(timing.ackTimeout())),
                                1,
                                0,
                                0);
                send(target.address(), target.name(), Kind.PING, probe.number, target.name(), null);
                return;
            }
        }
    }

    private void tryAgain(Instant now) {
        probe =
                new Probe(
                        probe.number,
                        probe.target,
                        now.plus(health.scale(timing.ackTimeout())),
                        probe.tries + 1,
                        probe.helpers,
                        probe.nacks);
        Entry target = others.get(probe.target);
        if (target == null) {
            return;
        }
        send(target.member.address(), probe.target, Kind.PING, probe.number, probe.target, null);
        if (probe.tries > Probe.DIRECT) {
            List<Member> helpers =
                    pick(presentMembers(), timing.indirectProbers(), Set.of(probe.target));
            probe =
                    new Probe(
                            probe.number,
                            probe.target,
                            probe.nextAt,
                            probe.tries,
                            helpers.size(),
                            0);
            for (Member helper : helpers) {
                send(
                        helper.address(),
                        helper.name(),
                        Message.Kind.PING_REQ,
                        probe.number,
                        probe.target,
                        target.member.address());
            }
        }
    }

    /** Tells those who asked for a ping that nothing came yet: they learn that they are heard. */
    private void nack(Instant now) {
        for (Map.Entry<Long, Relay> waiting : relays.entrySet()) {
            Relay relay = waiting.getValue();
            if (!now.isBefore(relay.nackAt)) {
                send(relay.asker, "", Kind.NACK, relay.number, "", null);
                waiting.setValue(new Relay(relay.asker, relay.number, relay.until, Instant.MAX));
            }
        }
    }

    private void endProbe(Instant now) {
        Entry target = probe == null ? null : others.get(probe.target);
        if (probe != null) {
            health.probeFailed();
            if (probe.nacks
                    < probe.helpers) { // helpers that would have said so did not: the fault is here
                health.nackMissed();
            }
        }
        probe = null;
        if (target != null && target.member.isPresent()) {
            apply(new MemberUpdate(target.member.withState(State.SUSPECT), self.name()), now);
        }
    }

    /** Takes suspects whose time is up for dead, and forgets who has been gone for long. */
    private void judge(Instant now) {
        List<Entry> accused = new ArrayList<>();
        List<Entry> dead = new ArrayList<>();
        others.values()
                .removeIf(
                        entry -> {
                            Member member = entry.member;
                            if (member.state() == State.SUSPECT) {
                                accused.add(entry);
                            } else if (member.state() == State.DEAD) {
                                dead.add(entry);
                            }
                            return member.state() == State.LEFT
                                            && entry.since
                                                    .plus(timing.leftRetention())
                                                    .isBefore(now)
                                    || member.state() == State.DEAD
                                            && entry.since
                                                    .plus(timing.deadRetention())
                                                    .isBefore(now);
                        });
        for (Entry entry : accused) {
            if (!entry.since
                    .plus(timing.suspicionTimeout(others.size(), entry.accusers.size() - 1))
                    .isAfter(now)) {
                apply(new MemberUpdate(entry.member.withState(State.DEAD), self.name()), now);
            }
        }
        if (dead.size() > MOST_LOST) {
            dead.sort(Comparator.comparing((Entry entry) -> entry.since).reversed());
            dead.subList(MOST_LOST, dead.size())
                    .forEach(entry -> others.remove(entry.member.name()));
        }
    }

    /**
     * Knocks at one that was lost or at a seed that is nobody's: a partition loses each side the
     * other.
     */
    private void reconnect() {
        Set<InetSocketAddress> known = new HashSet<>();
        presentMembers().forEach(member -> known.add(member.address()));
        List<InetSocketAddress> lost = new ArrayList<>(seeds);
        others.values().stream()
                .filter(entry -> entry.member.state() == State.DEAD)
                .forEach(entry -> lost.add(entry.member.address()));
        lost.removeAll(known);
        if (known.isEmpty()) { // alone: all seeds at once, as the start waits for it
            lost.forEach(this::knock);
        } else if (!lost.isEmpty()) {
            knock(lost.get(random.nextInt(lost.size())));
        }
    }

    private void knock(InetSocketAddress at) {
        Optional<Member> there =
                others.values().stream()
                        .map(entry -> entry.member)
                        .filter(member -> member.address().equals(at))
                        .findFirst();
        send(at, there.map(Member::name).orElse(""), Kind.PING, ++lastNumber, "", null);
    }

    private List<Member> pick(List<Member> from, int most, Set<String> but) {
        List<Member> left = new ArrayList<>(from);
        left.removeIf(member -> but.contains(member.name()));
        List<Member> picked = new ArrayList<>();
        while (picked.size() < most && !left.isEmpty()) {
            picked.add(left.remove(random.nextInt(left.size())));
        }
        return picked;
    }

    private void send(
            InetSocketAddress to,
            String name,
            Kind kind,
            long number,
            String target,
            InetSocketAddress targetAt) {
        List<MemberUpdate> news = new ArrayList<>(List.of(new MemberUpdate(self, self.name())));
        Entry receiver = others.get(name);
        if (receiver != null && receiver.member.state() != State.ALIVE) {
            news.add(
                    new MemberUpdate(
                            receiver.member,
                            self.name())); // it can only clear itself of what it knows
        }
        news.addAll(
                rumours.next(SwimSettings.MOST_NEWS, timing.maxTransmissions(others.size() + 1)));
        out.send(to, new Message(kind, number, target, targetAt, news));
    }

    // ---- what is told

    private void apply(MemberUpdate news, Instant now) {
        Member told = news.member();
        if (told.name().equals(self.name())) {
            applyToSelf(told);
            return;
        }
        Entry entry = others.get(told.name());
        if (entry != null
                && told.isPresent()
                && told.generation() != entry.member.generation()
                && entry.member.isPresent()
                && !told.address().equals(entry.member.address())) {
            // another process under a name in use; a restart comes at the same address
            namesRefused++;
            out.nameClaimRefused(entry.member, told);
            return;
        }
        if (entry == null) {
            if (!told.isPresent()) {
                return; // who is gone need not be known
            } else if (others.size() >= timing.maxMembers()) {
                turnedAway++;
                return;
            }
            Entry fresh = new Entry(told, now);
            others.put(told.name(), fresh);
            round.add(random.nextInt(round.size() + 1), told.name());
            accuse(fresh, news);
            spread(news);
        } else if (told.overrides(entry.member)) {
            boolean back = !entry.member.isPresent() && told.isPresent();
            entry.member = told;
            entry.since = now;
            entry.accusers.clear();
            accuse(entry, news);
            spread(news);
            if (back) {
                round.add(random.nextInt(round.size() + 1), told.name());
                out.exchangeMemberLists(
                        told.address()); // a partition may have healed, with many behind it
            }
        } else if (told.state() == State.SUSPECT
                && told.incarnation() == entry.member.incarnation()
                && entry.member.state() == State.SUSPECT
                && entry.accusers.size() <= SwimSettings.SHARED_BY
                && accuse(entry, news)) {
            rumours.add(news); // one more accuser: the others are to count it too
        }
    }

    /** Whether there is one more who found the member silent. */
    private static boolean accuse(Entry entry, MemberUpdate news) {
        return entry.member.state() == State.SUSPECT
                && !news.reportedBy().isEmpty()
                && entry.accusers.add(news.reportedBy());
    }

    private void spread(MemberUpdate news) {
        rumours.add(news);
        out.memberChanged(news.member());
    }

    /**
     * Overrules whatever is told of this instance and is not so, be it of its life before a
     * restart.
     */
    private void applyToSelf(Member told) {
        boolean other = told.generation() != self.generation();
        if (other && told.isPresent() && !told.address().equals(self.address())) {
            namesRefused++;
            out.nameClaimRefused(self, told);
            return; // or two processes under one name would overrule each other without end
        }
        if (other && told.state() == State.ALIVE && told.incarnation() > self.incarnation()) {
            conflicts++; // its former life, or another instance under the same name
        }
        if (told.incarnation() >= self.incarnation()
                && (other || told.state() != State.ALIVE)
                && self.state() != State.LEFT) {
            if (!other) {
                health.refuted(); // accused while alive: this member may be the slow one
            }
            self = self.aliveWithIncarnation(told.incarnation() + 1);
            rumours.add(new MemberUpdate(self, self.name()));
        }
    }
}
