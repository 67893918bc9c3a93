package cypressglade.lab;

import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.Swim;
import cypressglade.member.SwimSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The fleet view's four figures, played in virtual time on {@link MemberNet} with the membership
 * code that runs in the program: how long from a crash until every live member holds it dead; from
 * a healed split until all hold one view; how many live members are taken for dead under loss with
 * one member that stands still now and then; and how many datagrams a member sends in a period.
 * Each experiment starts its own fleet from a seed.
 */
public final class MemberLab {
    /** Longest that any experiment waits for what it measures. */
    private static final Duration MOST_WAIT = Duration.ofMinutes(10);

    private static final int SETTLE_PERIODS = 30;

    private final SwimSettings timing;

    public MemberLab(SwimSettings timing) {
        this.timing = timing;
    }

    /**
     * What one experiment found, in virtual time; -1 milliseconds where it did not come within the
     * wait.
     */
    public record Result(long millis, long falseDead, long datagrams, double periods, int members) {
        /** Datagrams a member sent in a period. */
        public double perMemberPeriod() {
            return datagrams / Math.max(1.0, periods * members);
        }
    }

    /**
     * A settled fleet of {@code n} that knows itself whole, as after the first transfer from a
     * seed.
     */
    private MemberNet fleet(int n, long seed, double loss) {
        MemberNet net = new MemberNet(seed, timing);
        List<Swim> started = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            started.add(net.start(i));
        }
        List<Member> all = started.stream().map(Swim::self).toList();
        started.forEach(swim -> swim.merge(all, net.now));
        net.loss = loss;
        net.pass(timing.period().multipliedBy(SETTLE_PERIODS));
        return net;
    }

    /**
     * From a split into {@code side} members and the rest to both sides holding all of the other
     * dead.
     */
    public Result split(int n, int side, long seed) {
        MemberNet net = fleet(n, seed, 0);
        Instant from = net.now;
        long before = net.sent;
        net.cut = (one, other) -> number(one) < side != number(other) < side;
        long found =
                waitFor(
                        net,
                        () ->
                                net.running.values().stream()
                                        .allMatch(swim -> presentOnItsSide(swim, side)),
                        from);
        return new Result(
                found,
                net.changes.stream()
                        .filter(
                                change ->
                                        change.member().state() == State.DEAD
                                                && sameSide(
                                                        change.seenBy(),
                                                        change.member().name(),
                                                        side))
                        .count(),
                net.sent - before,
                periods(net, from),
                n);
    }

    /** From the crash of one member to the last live member holding it dead. */
    public Result crash(int n, long seed, double loss) {
        MemberNet net = fleet(n, seed, loss);
        int victim = 1 + (int) Math.floorMod(seed, (long) n - 1);
        String name = MemberNet.name(victim);
        Instant crashed = net.now;
        long before = net.sent;
        net.stop(victim);
        long found =
                waitFor(
                        net,
                        () -> net.running.values().stream().allMatch(swim -> !present(swim, name)),
                        crashed);
        return new Result(
                found,
                falseDead(net, crashed, Set.of(name)),
                net.sent - before,
                periods(net, crashed),
                n);
    }

    /**
     * A split into the first {@code side} members and the rest, both ways, for {@code split} and a
     * part of the time between two knocks; from its heal until every member holds every other
     * alive. Counted as falsely dead: who is taken for dead after that, in {@code SETTLE_PERIODS}.
     */
    public Result heal(int n, int side, Duration split, long seed) {
        MemberNet net = fleet(n, seed, 0);
        net.cut = (from, to) -> number(from) < side != number(to) < side;
        net.pass(
                split.plus(
                        timing.reconnectInterval()
                                .multipliedBy(Math.floorMod(seed * 37, 100))
                                .dividedBy(100)));
        net.cut = (from, to) -> false;
        Instant healed = net.now;
        long before = net.sent;
        long settled =
                waitFor(
                        net,
                        () -> net.running.values().stream().allMatch(MemberLab::allAlive),
                        healed);
        Instant one = net.now;
        net.pass(timing.period().multipliedBy(SETTLE_PERIODS));
        return new Result(
                settled, falseDead(net, one, Set.of()), net.sent - before, periods(net, healed), n);
    }

    /**
     * Loss on every link for {@code span}, and member 1 standing still for {@code stall} in each 10
     * s: how many times a live member was taken for dead, by anyone, the one that stands still
     * included.
     */
    public Result loss(int n, double loss, Duration span, Duration stall, long seed) {
        MemberNet net = fleet(n, seed, 0);
        net.loss = loss;
        Instant from = net.now;
        long before = net.sent;
        Duration cycle = Duration.ofSeconds(10);
        for (Instant end = from.plus(span); net.now.isBefore(end); ) {
            net.stall(1);
            net.pass(stall);
            net.resume(1);
            net.pass(cycle.minus(stall));
        }
        return new Result(
                0, falseDead(net, from, Set.of()), net.sent - before, periods(net, from), n);
    }

    /**
     * Steps of a tenth of a period until the condition holds; its time after {@code since}, or -1.
     */
    private long waitFor(MemberNet net, BooleanSupplier holds, Instant since) {
        Duration step = timing.period().dividedBy(10);
        while (!holds.getAsBoolean()) {
            if (Duration.between(since, net.now).compareTo(MOST_WAIT) > 0) {
                return -1;
            }
            net.pass(step);
        }
        return Duration.between(since, net.now).toMillis();
    }

    private static boolean presentOnItsSide(Swim swim, int side) {
        return swim.presentMembers().stream()
                .allMatch(member -> sameSide(member.name(), swim.self().name(), side));
    }

    /** Whether both are among the first {@code side} members, or both among the rest. */
    private static boolean sameSide(String one, String other, int side) {
        return number(one) < side == number(other) < side;
    }

    private static boolean allAlive(Swim swim) {
        return swim.members().stream().allMatch(member -> member.state() == State.ALIVE);
    }

    private static boolean present(Swim swim, String name) {
        return swim.members().stream()
                .anyMatch(member -> member.name().equals(name) && member.isPresent());
    }

    /**
     * Live members taken for dead since a time, by anyone; who is in {@code gone} was meant to be.
     */
    private static long falseDead(MemberNet net, Instant since, Set<String> gone) {
        Set<String> seen = new HashSet<>();
        return net.changes.stream()
                .filter(
                        change ->
                                !change.at().isBefore(since)
                                        && change.member().state() == State.DEAD
                                        && !gone.contains(change.member().name())
                                        && seen.add(text(change)))
                .count();
    }

    private static String text(MemberNet.Change change) {
        return change.seenBy() + " " + change.member().name() + " " + change.member().incarnation();
    }

    private double periods(MemberNet net, Instant since) {
        return (double) Duration.between(since, net.now).toNanos() / timing.period().toNanos();
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(name.indexOf('-') + 1));
    }
}
