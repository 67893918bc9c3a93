package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.storm.RetryAdmission.Count;
import cypressglade.storm.RetryAdmission.Outcome;
import cypressglade.storm.RetryAdmission.Speed;
import cypressglade.storm.StormDetector.State;
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

/** Storm states, the admission of retries, and retry slots, in time that the test sets. */
class RetryAdmissionTest {
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);
    private static final double UNITS_PER_SECOND = 100;

    private Instant now = Instant.EPOCH;
    private final List<String> stateChanges = new ArrayList<>();
    private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
    private final RetryAdmission admission = admission(1);

    private RetryAdmission admission(long seed) {
        RetryAdmission created =
                new RetryAdmission(
                        StormSettings.DEFAULTS,
                        new SplittableRandom(seed),
                        new RetryAdmission.Listener() {
                            @Override
                            public void stateChanged(String scope, State state, Instant at) {
                                stateChanges.add(scope + " " + state);
                            }

                            @Override
                            public void counted(Count event) {
                                counts.merge(event, 1, Integer::sum);
                            }
                        },
                        now);
        created.setMaxRetryDelay(MAX_RETRY_DELAY);
        created.setNodeSpeeds(
                Map.of(
                        0,
                        new Speed(UNITS_PER_SECOND, Double.POSITIVE_INFINITY),
                        1,
                        new Speed(UNITS_PER_SECOND, Double.POSITIVE_INFINITY)));
        return created;
    }

    private static ClientRequest original(int shard, long volume, long key) {
        return new ClientRequest(
                shard,
                volume,
                1,
                key,
                "read",
                2,
                false,
                ClientRequest.Effect.NONE,
                0,
                Duration.ZERO,
                Instant.MAX);
    }

    private static ClientRequest retry(ClientRequest original) {
        return new ClientRequest(
                original.shard(),
                original.volume(),
                original.weight(),
                original.key(),
                original.requestClass(),
                original.units(),
                true,
                original.effect(),
                original.token(),
                original.keyTtl(),
                original.expiry());
    }

    private void advance(long millis) {
        now = now.plusMillis(millis);
        admission.tick(now);
    }

    private void advanceUntil(String stateChange) {
        for (int i = 0; i < 1000 && !stateChanges.contains(stateChange); i++) {
            advance(10);
        }
        assertThat(stateChanges).contains(stateChange);
    }

    /** Refuses original requests of one node for a time, and has them retried at once. */
    private void storm(int shard, long millis) {
        for (long at = 0; at < millis; at += 5) {
            ClientRequest request = original(shard, 9, at);
            admission.admit(request, now);
            admission.scheduleRetry(request, Duration.ZERO, now);
            advance(5);
            for (int i = 0; i < 3; i++) {
                if (admission.admit(retry(request), now).outcome() == Outcome.PASS) {
                    admission.scheduleRetry(retry(request), Duration.ZERO, now);
                }
            }
        }
    }

    @Test
    void surgeOfOriginalRequestsIsNoStorm() {
        for (int i = 0; i < 5000; i++) {
            ClientRequest request = original(0, i % 50, i);
            assertThat(admission.admit(request, now).outcome()).isEqualTo(Outcome.PASS);
            admission.scheduleRetry(request, Duration.ZERO, now);
            advance(1);
        }
        assertThat(stateChanges).isEmpty();
        assertThat(admission.shouldLimitAttempts()).isFalse();
    }

    @Test
    void stormIsDampedAtItsNodeAndRecoveryIsGradual() {
        storm(0, 200);
        assertThat(stateChanges).as("the signs have to last").isEmpty();
        storm(0, 300);
        assertThat(stateChanges)
                .contains("shard 0 DAMPING", "volume 9 DAMPING")
                .doesNotContain("shard 1 DAMPING");
        assertThat(admission.admit(retry(original(1, 8, 1)), now).outcome())
                .as("another node")
                .isEqualTo(Outcome.PASS);
        stateChanges.clear();
        Instant stormEnd = now;
        advanceUntil("shard 0 RECOVERING");
        assertThat(Duration.between(stormEnd, now))
                .as("the absence of signs has to last, too")
                .isBetween(Duration.ofSeconds(1), Duration.ofSeconds(6));
        Instant recoveryStart = now;
        for (String scope : List.of("shard 0", "volume 9", "instance")) {
            advanceUntil(scope + " CALM");
        }
        assertThat(Duration.between(recoveryStart, now))
                .isBetween(
                        StormSettings.DEFAULTS.recoveryTime(),
                        StormSettings.DEFAULTS.recoveryTime().plusSeconds(2));
        assertThat(admission.activeStorms()).isEmpty();
    }

    @Test
    void stormThatMovesToAnotherNodeIsDampedThere() {
        storm(0, 500);
        storm(1, 500);
        assertThat(stateChanges).contains("shard 0 DAMPING", "shard 1 DAMPING");
    }

    @Test
    void nodeThatFailsAgainWhileRecoveringIsDampedAgain() {
        storm(0, 500);
        advanceUntil("shard 0 RECOVERING");
        stateChanges.clear();
        storm(0, 500);
        assertThat(stateChanges).contains("shard 0 DAMPING");
    }

    @Test
    void clientThatWaitsForItsSlotIsAdmittedBeforeOneThatDoesNot() {
        storm(0, 500);
        advance(300); // until the slots that were promised in the storm are over
        ClientRequest waiting = original(0, 1, 1);
        ClientRequest impatient = original(0, 2, 2);
        admission.admit(waiting, now);
        admission.admit(impatient, now);
        Duration delay = admission.scheduleRetry(waiting, Duration.ZERO, now);
        admission.scheduleRetry(impatient, Duration.ZERO, now);
        Instant slot = now.plus(delay);
        while (now.isBefore(slot)) { // the impatient client retries every 10 ms
            advance(10);
            if (now.isBefore(slot)) {
                assertThat(admission.admit(retry(impatient), now).outcome())
                        .isEqualTo(Outcome.TURNED_AWAY);
            }
        }
        assertThat(admission.admit(retry(waiting), now).outcome()).isEqualTo(Outcome.PASS);
        assertThat(counts).containsKeys(Count.CAME_EARLY, Count.SLOTS_KEPT);
    }

    @Test
    void noRetryDelayIsToldWhereTheMaximumIsZero() {
        admission.setMaxRetryDelay(Duration.ZERO);
        ClientRequest request = original(0, 1, 1);
        admission.admit(request, now);
        assertThat(admission.scheduleRetry(request, Duration.ofMillis(50), now)).isZero();
        assertThat(admission.bookedSlots()).isZero();
    }

    @Test
    void expiryOfTheRequestDoesNotMatter() {
        for (Instant expiry : List.of(Instant.MIN, now, now.plusMillis(1), Instant.MAX)) {
            ClientRequest request =
                    new ClientRequest(
                            0,
                            1,
                            1,
                            1,
                            "write",
                            2,
                            false,
                            ClientRequest.Effect.TWICE,
                            0,
                            Duration.ZERO,
                            expiry);
            assertThat(admission.admit(request, now).outcome()).isEqualTo(Outcome.PASS);
            assertThat(admission.scheduleRetry(request, Duration.ZERO, now))
                    .isBetween(Duration.ZERO, MAX_RETRY_DELAY);
        }
    }

    /** No slot is promised to more work than the node can take, and no time is out of bounds. */
    @Property(tries = 200)
    void bookingsNeverExceedTheRoom(
            @ForAll @IntRange(min = 1, max = 400) int refusals,
            @ForAll @IntRange(min = 1, max = 200) int unitsPerSecond,
            @ForAll @IntRange(min = 1, max = 20) int volumes,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RetrySlots slots = new RetrySlots(Duration.ofMillis(50), Duration.ofMillis(250));
        Instant at = Instant.EPOCH;
        Map<Long, Double> promised = new TreeMap<>(); // units by the slot of the time told
        Map<Long, Integer> byVolume = new TreeMap<>();
        for (int i = 0; i < refusals; i++) {
            at = at.plusMillis(random.nextInt(20));
            ClientRequest request =
                    new ClientRequest(
                            0,
                            random.nextInt(volumes),
                            1 + random.nextInt(3),
                            i,
                            "read",
                            0.5 + random.nextInt(6),
                            true,
                            ClientRequest.Effect.NONE,
                            0,
                            Duration.ZERO,
                            Instant.MAX);
            Instant from = at.plusMillis(random.nextInt(100));
            Instant until = at.plusSeconds(2);
            var booked = slots.book(request, unitsPerSecond, at, from, until, random);
            booked.ifPresent(
                    time -> {
                        assertThat(time).isBetween(from, until);
                        promised.merge(time.toEpochMilli() / 50, request.units(), Double::sum);
                        byVolume.merge(request.volume(), 1, Integer::sum);
                    });
        }
        // What was promised from the first slot on has to fit into the slots from there.
        double sum = 0;
        long first = promised.isEmpty() ? 0 : ((TreeMap<Long, Double>) promised).firstKey();
        for (Map.Entry<Long, Double> slot : promised.entrySet()) {
            sum += slot.getValue();
            double room = (slot.getKey() - first + 1) * unitsPerSecond * 0.05;
            assertThat(sum)
                    .isLessThanOrEqualTo(room + 6.5); // the last one may reach into the next slots
        }
    }

    @Test
    void volumeThatIsRefusedOftenLeavesRoomForAnother() {
        RetrySlots slots = new RetrySlots(Duration.ofMillis(50), Duration.ofMillis(250));
        SplittableRandom random = new SplittableRandom(1);
        int first = 0;
        for (int i = 0; i < 1000; i++) {
            first +=
                    slots.book(
                                            original(0, 1, i),
                                            UNITS_PER_SECOND,
                                            now,
                                            now,
                                            now.plusSeconds(1),
                                            random)
                                    .isPresent()
                            ? 1
                            : 0;
        }
        int other = 0;
        for (int i = 0; i < 1000; i++) {
            other +=
                    slots.book(
                                            original(0, 2, i),
                                            UNITS_PER_SECOND,
                                            now,
                                            now,
                                            now.plusSeconds(1),
                                            random)
                                    .isPresent()
                            ? 1
                            : 0;
        }
        assertThat(first).isBetween(15, 25);
        assertThat(other).isBetween(10, 25);
    }

    @Test
    void unusedBookingsAreReleased() {
        RetrySlots slots = new RetrySlots(Duration.ofMillis(50), Duration.ofMillis(250));
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < 100; i++) {
                slots.book(
                        original(0, i % 3, i),
                        UNITS_PER_SECOND,
                        now,
                        now,
                        now.plusSeconds(1),
                        random);
            }
            now = now.plusSeconds(2);
        }
        assertThat(slots.claim(original(0, 0, 0), now)).isEqualTo(RetrySlots.Arrival.UNBOOKED);
        assertThat(slots.bookingCount()).isZero();
    }
}
