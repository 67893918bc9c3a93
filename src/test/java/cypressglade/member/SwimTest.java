package cypressglade.member;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.lab.MemberNet;
import cypressglade.member.Member.State;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the membership protocol in virtual time, on a simulated network. */
class SwimTest {
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private final MemberNet net = new MemberNet(11, SwimSettings.defaults());

    private void start(int count) {
        IntStream.range(0, count).forEach(net::start);
        net.pass(MINUTE);
    }

    /** Asserts that each running instance has this number of other members present. */
    private void assertAllSee(int others) {
        net.running
                .values()
                .forEach(
                        swim ->
                                assertThat(swim.presentMembers())
                                        .as(swim.self().name())
                                        .hasSize(others));
    }

    private long seenAs(String name, State state) {
        return net.running.values().stream()
                .flatMap(swim -> swim.members().stream())
                .filter(member -> member.name().equals(name) && member.state() == state)
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 40})
    void startedInstancesDiscoverEachOther(int count) {
        start(count);
        assertAllSee(count - 1);
    }

    @Test
    void crashedMemberAndNoOtherIsDeclaredDead() {
        start(40);
        net.changes.clear();
        net.loss = 0.05;
        net.stop(7);
        net.pass(MINUTE);
        assertThat(seenAs("i-7", State.DEAD)).isEqualTo(39);
        assertThat(net.changes)
                .filteredOn(change -> change.member().state() == State.DEAD)
                .extracting(change -> change.member().name())
                .containsOnly("i-7");
    }

    @Test
    void leavingMemberIsNeverSuspectedOrRevived() {
        start(10);
        net.changes.clear();
        net.running.get("i-3").leave(net.now);
        net.pass(MINUTE);
        assertThat(seenAs("i-3", State.LEFT)).isEqualTo(10);
        assertThat(net.changes)
                .extracting(change -> change.member().state())
                .containsOnly(State.LEFT);
    }

    /**
     * A member restarts under its name before or after the others noticed that it was gone; updates
     * about its former generation are overridden.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 2, 60})
    void restartedMemberRejoinsWithNewGeneration(int secondsAway) {
        start(10);
        long before = net.running.get("i-4").self().generation();
        net.stop(4);
        net.pass(Duration.ofSeconds(secondsAway));
        Swim again = net.start(4);
        net.pass(MINUTE);
        assertAllSee(9);
        net.running
                .values()
                .forEach(
                        swim ->
                                assertThat(swim.members())
                                        .filteredOn(member -> member.name().equals("i-4"))
                                        .extracting(Member::generation)
                                        .containsExactly(again.self().generation()));
        assertThat(again.self().generation()).isNotEqualTo(before);
        assertThat(again.self().incarnation()).isPositive();
    }

    /**
     * A partition makes each half declare the other dead; after it has healed, all members are
     * present again.
     */
    @Test
    void membersRejoinAfterPartitionHeals() {
        start(12);
        net.cut = (from, to) -> from.hashCode() % 2 != to.hashCode() % 2;
        net.pass(MINUTE.multipliedBy(2));
        net.running.values().forEach(swim -> assertThat(swim.presentMembers()).hasSizeLessThan(11));
        net.cut = (from, to) -> false;
        net.pass(MINUTE.multipliedBy(2));
        assertAllSee(11);
    }

    /**
     * Only the path between two members is cut: the others probe on their behalf, and nobody is
     * declared dead.
     */
    @Test
    void indirectProbesPreventDeathWhenDirectPathIsCut() {
        start(8);
        net.changes.clear();
        net.cut =
                (from, to) ->
                        from.equals("i-1") && to.equals("i-2")
                                || from.equals("i-2") && to.equals("i-1");
        net.pass(MINUTE.multipliedBy(5));
        assertThat(net.changes)
                .extracting(change -> change.member().state())
                .doesNotContain(State.DEAD);
        assertAllSee(7);
    }

    /**
     * Guards against counting those who merely pass a suspicion on as confirming it, which leaves
     * the suspect no time to refute it.
     */
    @Test
    void memberListsDoNotConfirmSuspicions() {
        Swim swim = net.start(0);
        Member suspect = new Member("x", MemberNet.address(9), 5, 0, State.SUSPECT);
        swim.receive(
                new Message(
                        Message.Kind.PING,
                        1,
                        "",
                        null,
                        List.of(
                                new MemberUpdate(member("y", State.ALIVE), ""),
                                new MemberUpdate(suspect, "y"))),
                MemberNet.address(8),
                net.now);
        swim.merge(List.of(suspect), net.now);
        Duration confirmedOnce =
                SwimSettings.defaults()
                        .suspicionTimeout(2, 1); // Suspected by y and by its own probes.
        net.pass(confirmedOnce.minusMillis(500));
        assertThat(seenAs("x", State.SUSPECT)).isEqualTo(1);
        net.pass(Duration.ofSeconds(3));
        assertThat(seenAs("x", State.DEAD)).isEqualTo(1);
    }

    /**
     * Guards against a pause of this process being counted as silence of the members that it
     * suspected before.
     */
    @Test
    void suspicionTimeoutExcludesLocalStall() {
        start(3);
        Swim swim = net.running.get("i-0");
        swim.merge(List.of(net.running.get("i-1").self().withState(State.SUSPECT)), net.now);
        net.changes.clear();
        net.stall(0);
        net.pass(MINUTE);
        assertThat(net.changes).extracting(change -> change.seenBy()).doesNotContain("i-0");
        net.changes.clear();
        net.resume(0);
        net.pass(MINUTE);
        assertThat(net.changes)
                .filteredOn(change -> change.seenBy().equals("i-0"))
                .extracting(change -> change.member().state())
                .doesNotContain(State.DEAD);
        assertThat(swim.stalls()).isPositive();
        assertAllSee(2);
    }

    /**
     * A death that is reported by a member list, or about a member that sent a message just now,
     * becomes a suspicion first.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportedDeathOfPresentMemberBecomesSuspicion(boolean list) {
        start(3);
        Swim swim = net.running.get("i-0");
        Member dead = net.running.get("i-1").self().withState(State.DEAD);
        if (list) {
            swim.merge(List.of(dead), net.now);
        } else {
            swim.receive(
                    new Message(
                            Message.Kind.ACK,
                            0,
                            "",
                            null,
                            List.of(
                                    new MemberUpdate(net.running.get("i-2").self(), "i-2"),
                                    new MemberUpdate(dead, "i-2"))),
                    MemberNet.address(2),
                    net.now);
        }
        assertThat(swim.members())
                .filteredOn(member -> member.name().equals("i-1"))
                .extracting(Member::state)
                .containsExactly(State.SUSPECT);
        net.changes.clear();
        net.pass(MINUTE);
        assertThat(net.changes)
                .extracting(change -> change.member().state())
                .doesNotContain(State.DEAD);
        assertAllSee(2);
    }

    /**
     * A name in use stays with its holder when another process claims it: at each other member and
     * at the holder itself.
     */
    @ParameterizedTest
    @ValueSource(strings = {"i-0", "i-1"})
    void nameInUseIsRefusedToAnotherProcess(String by) {
        start(3);
        Swim swim = net.running.get(by);
        Member holder = net.running.get("i-1").self();
        Member claim = new Member("i-1", MemberNet.address(77), 99, 50, State.ALIVE);
        swim.receive(
                new Message(
                        Message.Kind.PING, 1, "", null, List.of(new MemberUpdate(claim, "i-1"))),
                claim.address(),
                net.now);
        assertThat(swim.refusedNameClaims()).isEqualTo(1);
        assertThat(swim.members())
                .filteredOn(member -> member.name().equals("i-1"))
                .containsExactly(holder);
    }

    @Test
    void localHealthScoreRisesWithFailedProbesAndRecovers() {
        start(4);
        net.cut = (from, to) -> from.equals("i-0") || to.equals("i-0");
        net.pass(Duration.ofSeconds(10));
        Swim swim = net.running.get("i-0");
        assertThat(swim.health().score()).isEqualTo(LocalHealth.MAX_SCORE);
        assertThat(net.running.get("i-1").health().score()).isLessThan(LocalHealth.MAX_SCORE);
        net.cut = (from, to) -> false;
        net.pass(MINUTE);
        assertThat(swim.health().score()).isZero();
        assertAllSee(3);
    }

    @Test
    void numberOfMembersIsBounded() {
        Swim swim = net.start(0);
        for (int i = 1; i < 2000; i++) {
            Member member = new Member("x-" + i, MemberNet.address(i), i, 1, State.ALIVE);
            swim.merge(List.of(member), net.now);
        }
        assertThat(swim.presentMembers()).hasSize(SwimSettings.defaults().maxMembers());
        assertThat(swim.rejectedMembers()).isEqualTo(1999 - SwimSettings.defaults().maxMembers());
    }

    private static Member anyState(SplittableRandom random) {
        return new Member(
                "x", MemberNet.address(9), 5, random.nextInt(4), State.values()[random.nextInt(4)]);
    }

    /**
     * In whatever order updates arrive, the highest incarnation wins, and within one the later
     * state.
     */
    @Test
    void orderOfUpdatesDoesNotMatter() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 200; round++) {
            List<Member> reported =
                    new java.util.ArrayList<>(
                            IntStream.range(0, 8).mapToObj(i -> anyState(random)).toList());
            reported.add(0, new Member("x", MemberNet.address(9), 5, 0, State.ALIVE));
            Member last =
                    reported.stream()
                            .reduce((one, other) -> other.overrides(one) ? other : one)
                            .orElseThrow();
            java.util.Collections.shuffle(reported.subList(1, reported.size()), new Random(round));
            Swim swim = new MemberNet(1, SwimSettings.defaults()).start(0);
            List<MemberUpdate> updates =
                    new java.util.ArrayList<>(
                            List.of(new MemberUpdate(member("y", State.ALIVE), "y")));
            reported.forEach(member -> updates.add(new MemberUpdate(member, "y")));
            swim.receive(
                    new Message(Message.Kind.ACK, 1, "", null, updates),
                    MemberNet.address(1),
                    Instant.EPOCH);
            assertThat(swim.members())
                    .filteredOn(member -> member.name().equals("x"))
                    .containsExactly(last);
        }
    }

    /**
     * Guards against two sides of a partition that each use the whole of what a cold node may be
     * sent.
     */
    @Test
    void lostMembersCountLongerThanThoseThatLeft() {
        RecentMembers recentMembers = new RecentMembers("b", Duration.ofSeconds(30));
        List<Member> all =
                List.of(
                        member("a", State.ALIVE),
                        member("c", State.SUSPECT),
                        member("d", State.ALIVE));
        assertThat(recentMembers.update(all, Instant.EPOCH))
                .isEqualTo(new RecentMembers.Share(1, 4));
        List<Member> changed =
                List.of(member("a", State.DEAD), member("c", State.ALIVE), member("d", State.LEFT));
        assertThat(recentMembers.update(changed, Instant.EPOCH.plusSeconds(29)))
                .isEqualTo(new RecentMembers.Share(1, 3));
        assertThat(recentMembers.update(changed, Instant.EPOCH.plusSeconds(31)))
                .isEqualTo(new RecentMembers.Share(0, 2));
    }

    private static Member member(String name, State state) {
        return new Member(name, MemberNet.address(1), 1, 1, state);
    }

    /** Sequence numbers in the order received, and whether each is fresh (F) or replayed (R). */
    @ParameterizedTest
    @CsvSource({
        "'1,2,3', FFF",
        "'1,1,2,2', FRFR",
        "'5,3,4,3', FFFR",
        "'100,36,37,37', FRFR",
        "'0,-1', RR",
        "'9223372036854775807,1', FR"
    })
    void sequenceNumberIsAcceptedOnceWithinTheWindow(String numbers, String verdicts) {
        ReplayGuard guard = new ReplayGuard(8);
        InetSocketAddress at = MemberNet.address(1);
        StringBuilder found = new StringBuilder();
        for (String number : numbers.split(",")) {
            found.append(guard.check(at, 7, 8, Long.parseLong(number)).name().charAt(0));
        }
        assertThat(found).hasToString(verdicts);
        assertThat(guard.generationAt(at)).isEqualTo(verdicts.contains("F") ? 7 : 0);
        assertThat(guard.check(at, 7, 9, 1000)).isEqualTo(ReplayGuard.Verdict.UNKNOWN_GENERATION);
    }
}
