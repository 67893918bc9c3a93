package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.storm.ClientRequest.Effect;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Writes that may have run are not run again, whatever has been forgotten. */
class UncertainWritesTest {
    private static final Duration TTL = Duration.ofSeconds(30);
    private static final Duration KEY_TTL = Duration.ofSeconds(3);

    private final Instant now = Instant.EPOCH.plusSeconds(100);
    private final UncertainWrites writes = new UncertainWrites(4, TTL, now);

    private static ClientRequest write(long key, boolean isRetry, Effect effect) {
        return new ClientRequest(
                0, 7, 1, key, "write", 2, isRetry, effect, 0, KEY_TTL, Instant.MAX);
    }

    @Test
    void retryOfAnUncertainWriteMayRunTwice() {
        writes.add(write(1, false, Effect.TWICE), now, now);
        assertThat(writes.mayRunTwice(write(1, true, Effect.TWICE), now)).isTrue();
        assertThat(writes.mayRunTwice(write(1, false, Effect.TWICE), now))
                .as("a new write of the same key")
                .isFalse();
        assertThat(writes.mayRunTwice(write(2, true, Effect.TWICE), now))
                .as("a retry for another key")
                .isFalse();
        assertThat(writes.mayRunTwice(write(1, true, Effect.TWICE), now.plus(TTL)))
                .as("after the time to live")
                .isFalse();
    }

    @Test
    void writeWithIdempotencyKeyIsSafeForHalfOfTheKeyTtlFromItsFirstSend() {
        writes.add(write(1, false, Effect.DROPPED), now, now.plusSeconds(1));
        writes.add(write(1, true, Effect.DROPPED), now.plusSeconds(1), now.plusSeconds(1));
        assertThat(writes.mayRunTwice(write(1, true, Effect.DROPPED), now.plusMillis(1499)))
                .isFalse();
        assertThat(writes.mayRunTwice(write(1, true, Effect.DROPPED), now.plusMillis(1500)))
                .as("counted from the first send, whatever was sent later")
                .isTrue();
    }

    @Test
    void allRetriesAreUncertainAfterAWriteWasDroppedForLackOfRoom() {
        for (int key = 0; key < 5; key++) {
            writes.add(write(key, false, Effect.TWICE), now, now.plusSeconds(key));
        }
        assertThat(writes.size()).isEqualTo(4);
        assertThat(writes.mayRunTwice(write(0, true, Effect.TWICE), now))
                .as("the dropped write")
                .isTrue();
        assertThat(writes.mayRunTwice(write(9, true, Effect.TWICE), now))
                .as("any write, as it may be the dropped one")
                .isTrue();
        assertThat(writes.mayRunTwice(write(9, false, Effect.TWICE), now))
                .as("an original request")
                .isFalse();
        assertThat(writes.mayRunTwice(write(9, true, Effect.TWICE), now.plus(TTL))).isFalse();
        assertThat(writes.mayRunTwice(write(4, true, Effect.TWICE), now.plus(TTL)))
                .as("a write that is still remembered")
                .isTrue();
    }
}
