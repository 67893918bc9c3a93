package cypressglade.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import cypressglade.lab.Faults;
import cypressglade.lab.ProcessFleet;
import cypressglade.lab.ProcessFleet.Event;
import cypressglade.member.Member.State;
import cypressglade.member.SwimSettings;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

/**
 * Five processes of the program with network faults between them; each test begins when all of them
 * have one view. Times are checked against {@link Bounds}, plus {@link #BUSY_ALLOWANCE} because the
 * machine may be doing other work.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FleetViewTest {
    private static final Duration PERIOD = Duration.ofMillis(200);
    private static final Bounds BOUNDS = new Bounds(SwimSettings.withPeriod(PERIOD), 5);
    private static final Duration BUSY_ALLOWANCE = Duration.ofSeconds(5);
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    /** The member that receives nothing in some tests, and those that receive everything. */
    private static final int DEAF = 3;

    private static final List<Integer> HEARING = List.of(0, 1, 2, 4);

    @TempDir static Path directory;
    private ProcessFleet fleet;

    @BeforeAll
    void start() throws Exception {
        // The sixth place is for the process with a duplicate name.
        fleet = new ProcessFleet(directory, 6, PERIOD, 11);
        fleet.act("0s delay * * 1ms..20ms");
        fleet.startAll(5);
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    @BeforeEach
    void oneView() {
        assertThat(fleet.oneView(TIMEOUT)).as(fleet.text()).isPositive();
    }

    /** The time now in milliseconds since the epoch, as in the logged lines. */
    private static long now() {
        return System.currentTimeMillis();
    }

    private void assertHeals(long since) {
        assertOneViewInTimeAndKept(since);
        assertThat(fleet.deaths(since)).as("nobody is held dead again once healed").isEmpty();
    }

    /** Returns when the last member came to the one view, in milliseconds since the epoch. */
    private long assertOneViewInTimeAndKept(long since) {
        long settled = fleet.oneView(TIMEOUT);
        assertThat(settled - since)
                .as(fleet.text())
                .isBetween(0L, BOUNDS.healTime().plus(BUSY_ALLOWANCE).toMillis());
        fleet.pass(PERIOD.multipliedBy(12));
        assertThat(fleet.oneView(TIMEOUT)).isPositive();
        return settled;
    }

    @Test
    void crashedMemberIsDeadEverywhereInTimeAndRestartsAsANewGeneration() throws Exception {
        String life = fleet.view(0).path("members").findValue("life").asText();
        long killed = fleet.kill(1);
        long held = fleet.held(fleet.running(), "m-1", State.DEAD, TIMEOUT);
        assertThat(held - killed)
                .as(fleet.text())
                .isBetween(0L, BOUNDS.detectionTime().plus(BUSY_ALLOWANCE).toMillis());
        assertThat(fleet.deaths(killed, "m-1")).isEmpty();
        long started = now();
        fleet.start(1);
        assertThat(fleet.oneView(TIMEOUT)).as(fleet.text()).isPositive();
        assertThat(fleet.deaths(started, "m-1")).isEmpty();
        assertThat(fleet.since(started))
                .filteredOn(event -> event.name().equals("m-1") && event.state().equals("alive"))
                .isNotEmpty()
                .allSatisfy(
                        event -> {
                            assertThat(event.line().path("member").path("incarnation").asLong())
                                    .isPositive();
                            assertThat(event.line().path("member").path("life").asText())
                                    .isNotEqualTo(life);
                        });
    }

    @Test
    void splitOfTwoAndThreeSettlesOnEachSideAndHealsToOneView() throws Exception {
        long cut = now();
        fleet.act("0s cut 0,1 2,3,4");
        for (String name : List.of("m-2", "m-3", "m-4")) {
            assertThat(fleet.held(List.of(0, 1), name, State.DEAD, TIMEOUT) - cut)
                    .as(fleet.text())
                    .isBetween(0L, BOUNDS.splitDetectionTime(2).plus(BUSY_ALLOWANCE).toMillis());
        }
        for (String name : List.of("m-0", "m-1")) {
            assertThat(fleet.held(List.of(2, 3, 4), name, State.DEAD, TIMEOUT) - cut)
                    .as(fleet.text())
                    .isBetween(0L, BOUNDS.splitDetectionTime(3).plus(BUSY_ALLOWANCE).toMillis());
        }
        fleet.pass(Duration.ofSeconds(10).minusMillis(now() - cut));
        assertThat(fleet.deaths(cut))
                .as("each side holds only members of the other side dead")
                .allMatch(
                        event ->
                                event.seenBy() < 2
                                        == List.of("m-2", "m-3", "m-4").contains(event.name()));
        long healed = now();
        fleet.hub().change(Faults::mend);
        assertHeals(healed);
    }

    /**
     * Member 2 receives nothing from member 1, but the other direction works: the indirect probes
     * of the others succeed, and nobody is held dead.
     */
    @Test
    void linkCutInOneDirectionLeavesNobodyDead() throws Exception {
        long cut = now();
        fleet.act("0s cut-one-way 1 2");
        fleet.pass(BOUNDS.detectionTime());
        assertThat(fleet.deaths(cut)).as(fleet.text()).isEmpty();
        fleet.hub().change(Faults::mend);
    }

    /**
     * A member that receives nothing but can send must not make others appear dead. Until it hears
     * of the refutations, only its own suspicions from before the heal may still run out.
     */
    @Test
    void onlyTheMemberThatReceivesNothingIsHeldDeadAndItRejoins() throws Exception {
        long cut = cutOffFromReceiving();
        long healed = now();
        fleet.hub().change(Faults::mend);
        long settled = assertOneViewInTimeAndKept(healed);
        Set<String> suspectsAtHeal =
                fleet.since(cut).stream()
                        .filter(event -> event.seenBy() == DEAF && event.atMs() <= healed)
                        .filter(event -> event.state().equals("suspect"))
                        .map(Event::name)
                        .collect(Collectors.toSet());
        assertThat(fleet.deaths(healed))
                .filteredOn(event -> event.seenBy() != DEAF || event.atMs() > settled)
                .isEmpty();
        assertThat(fleet.deaths(healed)).extracting(Event::name).isSubsetOf(suspectsAtHeal);
    }

    /** The same member rejoins, and nobody is held dead again, after it held all others dead. */
    @Test
    void memberThatReceivesNothingRejoinsAfterItHeldAllOthersDead() throws Exception {
        long cut = cutOffFromReceiving();
        for (int other : HEARING) {
            assertThat(fleet.held(List.of(DEAF), "m-" + other, State.DEAD, TIMEOUT))
                    .as(fleet.text())
                    .isPositive();
        }
        assertOthersHeldOnlyTheDeafMemberDead(cut);
        long healed = now();
        fleet.hub().change(Faults::mend);
        assertHeals(healed);
    }

    /** Returns the time of the cut, in milliseconds since the epoch. */
    private long cutOffFromReceiving() throws Exception {
        long cut = now();
        fleet.act("0s cut-one-way 0,1,2,4 3");
        assertThat(fleet.held(HEARING, "m-3", State.DEAD, TIMEOUT)).as(fleet.text()).isPositive();
        assertOthersHeldOnlyTheDeafMemberDead(cut);
        return cut;
    }

    private void assertOthersHeldOnlyTheDeafMemberDead(long since) {
        assertThat(fleet.deaths(since))
                .filteredOn(event -> event.seenBy() != DEAF)
                .allMatch(event -> event.name().equals("m-3"));
    }

    @Test
    void stalledMemberRejoinsAndHoldsNobodyDead() throws Exception {
        long stalled = now();
        fleet.stall(4);
        assertThat(fleet.held(fleet.running(4), "m-4", State.DEAD, TIMEOUT))
                .as(fleet.text())
                .isPositive();
        long resumed = now();
        fleet.resume(4);
        assertHeals(resumed);
        assertThat(fleet.deaths(stalled))
                .allMatch(event -> event.name().equals("m-4") && event.seenBy() != 4);
        assertThat(fleet.view(4).path("stalls").asLong()).isPositive();
    }

    @Test
    void tenPercentLossOnEveryLinkForAMinuteLeavesNobodyDead() throws Exception {
        long from = now();
        fleet.act("0s loss * * 0.1");
        fleet.pass(Duration.ofSeconds(60));
        assertThat(fleet.deaths(from)).as(fleet.text()).isEmpty();
        fleet.act("0s loss * * 0");
    }

    /**
     * Another process under a name in use is refused, which is logged, and the first one keeps the
     * name.
     */
    @Test
    void secondProcessUnderANameInUseIsRefused() throws Exception {
        long started = now();
        String life = fleet.view(2).path("life").asText();
        fleet.start(5, "m-2");
        boolean refused =
                fleet.logged(
                        started,
                        TIMEOUT,
                        event -> event.seenBy() != 5 && isRefusal(event.line(), life));
        assertThat(refused).as(fleet.text()).isTrue();
        fleet.kill(5);
        fleet.pass(PERIOD.multipliedBy(4));
        assertThat(fleet.since(started))
                .filteredOn(event -> event.name().equals("m-2") && event.seenBy() != 5)
                .extracting(event -> event.line().path("member").path("life").asText())
                .allMatch(life::equals);
        assertThat(fleet.deaths(started)).isEmpty();
    }

    private static boolean isRefusal(JsonNode line, String life) {
        return line.path("fleet").asText().equals("name_refused")
                && line.path("known").path("life").asText().equals(life);
    }
}
