package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.storm.Storms.Answer;
import cypressglade.storm.Storms.Count;
import cypressglade.storm.Storms.Speed;
import cypressglade.storm.Weather.State;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * What is done about second tries: states, slots, and whom they are for; all in time that the test
 * gives.
 */
class StormsTest {
    private static final Duration LONGEST = Duration.ofSeconds(1);
    private static final double SPEED = 100;

    private Instant now = Instant.EPOCH;
    private final List<String> turns = new ArrayList<>();
    private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
    private final Storms storms = storms(1);

    private Storms storms(long seed) {
        Storms made =
                new Storms(
                        Terms.USUAL,
                        new SplittableRandom(seed),
                        new Storms.Out() {
                            @Override
                            public void turned(String place, State state, Instant at) {
                                turns.add(place + " " + state);
                            }

                            @Override
                            public void counted(Count what) {
                                counts.merge(what, 1, Integer::sum);
                            }
                        },
                        now);
        made.longest(LONGEST);
        made.speeds(
                Map.of(
                        0,
                        new Speed(SPEED, Double.POSITIVE_INFINITY),
                        1,
                        new Speed(SPEED, Double.POSITIVE_INFINITY)));
        return made;
    }

    private static Try first(int shard, long volume, long piece) {
        return new Try(
                shard,
                volume,
                1,
                piece,
                0,
                2,
                false,
                Try.Effect.NONE,
                0,
                Duration.ZERO,
                Instant.MAX);
    }

    private static Try second(Try of) {
        return new Try(
                of.shard(),
                of.volume(),
                of.weight(),
                of.piece(),
                of.kind(),
                of.units(),
                true,
                of.effect(),
                of.token(),
                of.keyHeld(),
                of.expiry());
    }

    private void pass(long millis) {
        now = now.plusMillis(millis);
        storms.tick(now);
    }

    private void passUntil(String turn) {
        for (int i = 0; i < 1000 && !turns.contains(turn); i++) {
            pass(10);
        }
        assertThat(turns).contains(turn);
    }

    /** Refused first tries that come again at once, on one node, for a time. */
    private void storm(int shard, long millis) {
        for (long at = 0; at < millis; at += 5) {
            Try one = first(shard, 9, at);
            storms.arrived(one, now);
            storms.refused(one, Duration.ZERO, now);
            pass(5);
            for (int i = 0; i < 3; i++) {
                if (storms.arrived(second(one), now).answer() == Answer.PASS) {
                    storms.refused(second(one), Duration.ZERO, now);
                }
            }
        }
    }

    @Test
    void aSurgeOfFirstTriesIsNoStorm() {
        for (int i = 0; i < 5000; i++) {
            Try one = first(0, i % 50, i);
            assertThat(storms.arrived(one, now).answer()).isEqualTo(Answer.PASS);
            storms.refused(one, Duration.ZERO, now);
            pass(1);
        }
        assertThat(turns).isEmpty();
        assertThat(storms.saving()).isFalse();
    }

    @Test
    void aStormIsDampedAtItsNodeAndTheWayBackIsGradual() {
        storm(0, 200);
        assertThat(turns).as("signs have to last").isEmpty();
        storm(0, 300);
        assertThat(turns)
                .contains("shard 0 DAMPING", "volume 9 DAMPING")
                .doesNotContain("shard 1 DAMPING");
        assertThat(storms.arrived(second(first(1, 8, 1)), now).answer())
                .as("another node")
                .isEqualTo(Answer.PASS);
        turns.clear();
        Instant ended = now;
        passUntil("shard 0 RECOVERING");
        assertThat(Duration.between(ended, now))
                .as("a lack of signs has to last, too")
                .isBetween(Duration.ofSeconds(1), Duration.ofSeconds(6));
        Instant back = now;
        for (String place : List.of("shard 0", "volume 9", "instance")) {
            passUntil(place + " CALM");
        }
        assertThat(Duration.between(back, now))
                .isBetween(Terms.USUAL.back(), Terms.USUAL.back().plusSeconds(2));
        assertThat(storms.states()).isEmpty();
    }

    @Test
    void aStormThatMovesOnIsDampedWhereItGoes() {
        storm(0, 500);
        storm(1, 500);
        assertThat(turns).contains("shard 0 DAMPING", "shard 1 DAMPING");
    }

    @Test
    void aNodeThatFailsAgainWhileItRecoversIsDampedAgain() {
        storm(0, 500);
        passUntil("shard 0 RECOVERING");
        turns.clear();
        storm(0, 500);
        assertThat(turns).contains("shard 0 DAMPING");
    }

    @Test
    void whoHeedsGoesBeforeWhoIsDeaf() {
        storm(0, 500);
        pass(300); // what was promised in the storm is over with
        Try heeds = first(0, 1, 1);
        Try deaf = first(0, 2, 2);
        storms.arrived(heeds, now);
        storms.arrived(deaf, now);
        Duration come = storms.refused(heeds, Duration.ZERO, now);
        storms.refused(deaf, Duration.ZERO, now);
        Instant at = now.plus(come);
        while (now.isBefore(at)) { // the deaf one comes every 10 ms
            pass(10);
            if (now.isBefore(at)) {
                assertThat(storms.arrived(second(deaf), now).answer())
                        .isEqualTo(Answer.TURNED_AWAY);
            }
        }
        assertThat(storms.arrived(second(heeds), now).answer()).isEqualTo(Answer.PASS);
        assertThat(counts).containsKeys(Count.CAME_EARLY, Count.SLOTS_KEPT);
    }

    @Test
    void noTimeIsToldWhereTheSettingsForbidIt() {
        storms.longest(Duration.ZERO);
        Try one = first(0, 1, 1);
        storms.arrived(one, now);
        assertThat(storms.refused(one, Duration.ofMillis(50), now)).isZero();
        assertThat(storms.slots()).isZero();
    }

    @Test
    void aSkewedOrTinyDeadlineChangesNothing() {
        for (Instant expiry : List.of(Instant.MIN, now, now.plusMillis(1), Instant.MAX)) {
            Try one = new Try(0, 1, 1, 1, 0, 2, false, Try.Effect.TWICE, 0, Duration.ZERO, expiry);
            assertThat(storms.arrived(one, now).answer()).isEqualTo(Answer.PASS);
            assertThat(storms.refused(one, Duration.ZERO, now)).isBetween(Duration.ZERO, LONGEST);
        }
    }

    /**
     * Whatever comes, no slot is promised more than the node can take, nor a time out of bounds.
     */
    @Property(tries = 200)
    void promisesNeverExceedTheRoom(
            @ForAll @IntRange(min = 1, max = 400) int refusals,
            @ForAll @IntRange(min = 1, max = 200) int room,
            @ForAll @IntRange(min = 1, max = 20) int volumes,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ComeBacks ledger = new ComeBacks(Duration.ofMillis(50), Duration.ofMillis(250));
        Instant at = Instant.EPOCH;
        Map<Long, Double> promised = new TreeMap<>(); // units by slot of the time told
        Map<Long, Integer> byVolume = new TreeMap<>();
        for (int i = 0; i < refusals; i++) {
            at = at.plusMillis(random.nextInt(20));
            Try one =
                    new Try(
                            0,
                            random.nextInt(volumes),
                            1 + random.nextInt(3),
                            i,
                            0,
                            0.5 + random.nextInt(6),
                            true,
                            Try.Effect.NONE,
                            0,
                            Duration.ZERO,
                            Instant.MAX);
            Instant from = at.plusMillis(random.nextInt(100));
            Instant until = at.plusSeconds(2);
            var told = ledger.book(one, room, at, from, until, random);
            told.ifPresent(
                    time -> {
                        assertThat(time).isBetween(from, until);
                        promised.merge(time.toEpochMilli() / 50, one.units(), Double::sum);
                        byVolume.merge(one.volume(), 1, Integer::sum);
                    });
        }
        // of what was promised from any slot on, which the slots from there have to take
        double sum = 0;
        long first = promised.isEmpty() ? 0 : ((TreeMap<Long, Double>) promised).firstKey();
        for (Map.Entry<Long, Double> slot : promised.entrySet()) {
            sum += slot.getValue();
            double taken = (slot.getKey() - first + 1) * room * 0.05;
            assertThat(sum)
                    .isLessThanOrEqualTo(taken + 6.5); // the last one may reach into the next slots
        }
    }

    @Test
    void aVolumeThatIsRefusedOftenLeavesRoomForAnother() {
        ComeBacks ledger = new ComeBacks(Duration.ofMillis(50), Duration.ofMillis(250));
        SplittableRandom random = new SplittableRandom(1);
        int first = 0;
        for (int i = 0; i < 1000; i++) {
            first +=
                    ledger.book(first(0, 1, i), SPEED, now, now, now.plusSeconds(1), random)
                                    .isPresent()
                            ? 1
                            : 0;
        }
        int other = 0;
        for (int i = 0; i < 1000; i++) {
            other +=
                    ledger.book(first(0, 2, i), SPEED, now, now, now.plusSeconds(1), random)
                                    .isPresent()
                            ? 1
                            : 0;
        }
        assertThat(first).isBetween(15, 25);
        assertThat(other).isBetween(10, 25);
    }

    @Test
    void whatNobodyCameForIsGivenBack() {
        ComeBacks ledger = new ComeBacks(Duration.ofMillis(50), Duration.ofMillis(250));
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < 100; i++) {
                ledger.book(first(0, i % 3, i), SPEED, now, now, now.plusSeconds(1), random);
            }
            now = now.plusSeconds(2);
        }
        assertThat(ledger.came(first(0, 0, 0), now)).isEqualTo(ComeBacks.Kind.NONE);
        assertThat(ledger.held()).isZero();
    }
}
