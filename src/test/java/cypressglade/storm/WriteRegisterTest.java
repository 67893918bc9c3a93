package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.storm.ClientRequest.Effect;
import cypressglade.storm.WriteRegister.OpenWrite;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WriteRegisterTest {
    private static final Duration TTL = Duration.ofSeconds(30);
    private static final Duration KEY_TTL = Duration.ofSeconds(3);
    private static final int CAPACITY = 8;

    private final Instant now = Instant.EPOCH.plusSeconds(100);
    private final WriteRegister writes = new WriteRegister(CAPACITY, TTL, now);

    private static ClientRequest write(long key, boolean isRetry, Effect effect, Instant received) {
        return new ClientRequest(
                0,
                7,
                1,
                key,
                "write",
                2,
                isRetry,
                effect,
                0,
                KEY_TTL,
                Instant.MAX,
                Optional.of(received));
    }

    private ClientRequest original(long key) {
        return write(key, false, Effect.TWICE, now);
    }

    private ClientRequest retry(long key) {
        return write(key, true, Effect.TWICE, now);
    }

    private OpenWrite enter(ClientRequest request) {
        return writes.enter(request, now).orElseThrow();
    }

    /** Guards against a second run of a write whose client is taken to be there (review/9). */
    @Test
    void retryOfAWriteThatIsOpenMayRunTwice() {
        OpenWrite write = enter(original(1));
        assertThat(writes.mayRunTwice(retry(1), now)).as("before it is sent").isTrue();
        write.sent(now);
        assertThat(writes.mayRunTwice(retry(1), now)).as("while it is at its node").isTrue();
        assertThat(writes.mayRunTwice(retry(2), now)).as("another key").isFalse();
        assertThat(writes.mayRunTwice(original(1), now)).as("a new write").isFalse();
    }

    /** Guards against a second run of a write whose answer its client did not read. */
    @Test
    void retryOfAWriteThatHasEndedMayRunTwiceUntilNoClientCanComeAgain() {
        writes.endUncertain(enter(original(1)), now);
        assertThat(writes.mayRunTwice(retry(1), now.plus(TTL).minusMillis(1))).isTrue();
        assertThat(writes.mayRunTwice(retry(1), now.plus(TTL))).isFalse();
        assertThat(writes.size()).isZero();
    }

    @Test
    void retryThatFollowsARefusalMayBeSent() {
        writes.endUnrun(enter(original(1)));
        assertThat(writes.mayRunTwice(retry(1), now)).isFalse();
        assertThat(writes.size()).isZero();
    }

    /** Guards against the end of one write that clears another with the same fingerprint. */
    @Test
    void endOfAWriteClearsNoOther() {
        OpenWrite first = enter(original(1));
        OpenWrite second = enter(original(1));
        writes.endUnrun(second);
        assertThat(writes.mayRunTwice(retry(1), now)).as("the first is open").isTrue();
        writes.endUncertain(first, now);
        writes.endUnrun(enter(original(1)));
        assertThat(writes.mayRunTwice(retry(1), now)).as("the first has ended").isTrue();
    }

    /** Guards against clearing another write, or one that came later, with a confirmed one. */
    @Test
    void confirmedWriteLeavesAndClearsNoOther() {
        OpenWrite first = enter(original(1));
        OpenWrite second = enter(original(1));
        writes.endUncertain(first, now);
        writes.endUncertain(second, now);
        writes.confirm(first);
        assertThat(writes.mayRunTwice(retry(1), now)).as("the second is left").isTrue();
        writes.confirm(second);
        assertThat(writes.mayRunTwice(retry(1), now)).as("both are confirmed").isFalse();

        OpenWrite old = enter(original(2));
        writes.endUncertain(old, now);
        Instant later = now.plus(TTL);
        writes.endUncertain(writes.enter(original(2), later).orElseThrow(), later);
        writes.confirm(old);
        assertThat(writes.mayRunTwice(retry(2), later)).as("a later one").isTrue();

        OpenWrite read = enter(original(3));
        writes.endConfirmed(read);
        assertThat(writes.mayRunTwice(retry(3), now)).as("read before its end").isFalse();
    }

    /** Guards against a write whose retry has run when the rest of its body comes. */
    @Test
    void originalThatItsRetryHasOvertakenMayRunTwice() {
        ClientRequest cutOff = write(1, false, Effect.TWICE, now.minusMillis(500));
        OpenWrite retry = enter(retry(1));
        assertThat(writes.mayRunTwice(cutOff, now)).as("the retry is open").isTrue();
        writes.endUncertain(retry, now);
        assertThat(writes.mayRunTwice(cutOff, now)).as("the retry has ended").isTrue();
        writes.confirm(retry);
        assertThat(writes.mayRunTwice(cutOff, now)).as("its answer is read").isTrue();
        ClientRequest later = write(1, false, Effect.TWICE, now.plusMillis(1));
        assertThat(writes.mayRunTwice(later, now)).as("a new write").isFalse();
        OpenWrite refused = enter(retry(2));
        writes.endUnrun(refused);
        assertThat(writes.mayRunTwice(write(2, false, Effect.TWICE, now.minusMillis(1)), now))
                .as("the retry was refused")
                .isFalse();
    }

    @Test
    void writeWithAKeyIsSafeForHalfOfTheKeyTtlFromItsFirstSend() {
        OpenWrite write = enter(write(1, false, Effect.DROPPED, now));
        write.sent(now);
        write.sent(now.plusSeconds(1));
        ClientRequest retry = write(1, true, Effect.DROPPED, now);
        assertThat(writes.mayRunTwice(retry, now.plusMillis(1499))).as("open").isFalse();
        assertThat(writes.mayRunTwice(retry, now.plusMillis(1500))).as("open").isTrue();
        writes.endUncertain(write, now.plusSeconds(1));
        assertThat(writes.mayRunTwice(retry, now.plusMillis(1499))).as("ended").isFalse();
        assertThat(writes.mayRunTwice(retry, now.plusMillis(1500))).as("ended").isTrue();
    }

    /** One write as an earlier program stored it, with its class by its index in the settings. */
    private byte[] formatWithClassIndexes() {
        return ByteBuffer.allocate(64)
                .putLong(now.toEpochMilli())
                .putInt(1)
                .putLong(7)
                .putLong(1)
                .putInt(1)
                .putDouble(2)
                .putLong(0)
                .putLong(now.toEpochMilli())
                .putLong(now.plus(TTL).toEpochMilli())
                .array();
    }

    /** Also where the clock of the other process, which starts at the wall clock, is another. */
    @Test
    void openAndEndedWritesAreRestoredByAnotherProcess() {
        writes.endUncertain(enter(original(1)), now);
        enter(original(2));
        writes.endUnrun(enter(original(3)));
        byte[] saved = writes.serialize(now);
        Instant there = now.plusSeconds(3600);
        WriteRegister restored = new WriteRegister(CAPACITY, TTL, there);
        restored.restore(saved, there);
        assertThat(restored.mayRunTwice(retry(1), there.plusSeconds(29))).as("ended").isTrue();
        assertThat(restored.mayRunTwice(retry(2), there.plusSeconds(29))).as("open").isTrue();
        assertThat(restored.mayRunTwice(retry(3), there)).as("refused").isFalse();

        WriteRegister unknown = new WriteRegister(CAPACITY, TTL, now);
        unknown.assumeAllUncertain(now);
        assertThat(unknown.mayRunTwice(retry(2), now.plusSeconds(29))).isTrue();
        assertThat(unknown.mayRunTwice(retry(2), now.plusSeconds(30))).isFalse();
        WriteRegister third = new WriteRegister(CAPACITY, TTL, there);
        third.restore(unknown.serialize(now), there);
        assertThat(third.mayRunTwice(retry(9), there.plusSeconds(29))).isTrue();

        assertThatThrownBy(() -> restored.restore(Arrays.copyOf(saved, saved.length - 1), there))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> restored.restore(new byte[3], there))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> restored.restore(formatWithClassIndexes(), there))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(restored.size()).isEqualTo(2);
    }

    /** Guards against a second run by any order of arrivals and ends, beyond the bound as well. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noRetryIsSentWhileAWriteLikeItMayHaveRun(long seed) {
        Random random = new Random(seed);
        Instant time = now;
        Map<OpenWrite, Long> open = new HashMap<>();
        Map<Long, Map<OpenWrite, Instant>> ranUntil = new HashMap<>();
        int sent = 0;
        for (int step = 0; step < 20_000; step++) {
            time = time.plusMillis(random.nextInt(200));
            long key = random.nextInt(2 * CAPACITY);
            Map<OpenWrite, Instant> ran = ranUntil.getOrDefault(key, Map.of());
            if (random.nextInt(4) == 0 && !ran.isEmpty()) {
                OpenWrite confirmed = ran.keySet().iterator().next();
                ran.remove(confirmed);
                writes.confirm(confirmed);
            }
            if (random.nextBoolean() && !open.isEmpty()) {
                OpenWrite write = open.keySet().iterator().next();
                long ended = open.remove(write);
                if (random.nextInt(3) == 0) {
                    writes.endUncertain(write, time);
                    ranUntil.computeIfAbsent(ended, any -> new HashMap<>())
                            .put(write, time.plus(TTL));
                } else {
                    writes.endUnrun(write);
                }
            } else if (random.nextInt(3) == 0) {
                open.put(writes.enter(original(key), time).orElseThrow(), key);
            } else if (!writes.mayRunTwice(retry(key), time)) {
                sent++;
                assertThat(open.values()).as("step %d", step).doesNotContain(key);
                for (Instant end : ranUntil.getOrDefault(key, Map.of()).values()) {
                    assertThat(time).as("step %d", step).isAfterOrEqualTo(end);
                }
            }
        }
        assertThat(sent).as("retries that were sent").isPositive();
    }
}
