package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.storm.Try.Effect;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Writes that may have run are not run again, whatever is forgotten. */
class DoubtsTest {
    private static final Duration SPAN = Duration.ofSeconds(30);
    private static final Duration KEY = Duration.ofSeconds(3);

    private final Instant now = Instant.EPOCH.plusSeconds(100);
    private final Doubts doubts = new Doubts(4, SPAN, now);

    private static Try write(long piece, boolean second, Effect effect) {
        return new Try(0, 7, 1, piece, 1, 2, second, effect, 0, KEY, Instant.MAX);
    }

    @Test
    void aSecondTryOfAWriteInDoubtIsNotSent() {
        doubts.add(write(1, false, Effect.TWICE), now, now);
        assertThat(doubts.twice(write(1, true, Effect.TWICE), now)).isTrue();
        assertThat(doubts.twice(write(1, false, Effect.TWICE), now))
                .as("a new write of the piece")
                .isFalse();
        assertThat(doubts.twice(write(2, true, Effect.TWICE), now))
                .as("of another piece")
                .isFalse();
        assertThat(doubts.twice(write(1, true, Effect.TWICE), now.plus(SPAN)))
                .as("nobody comes any more")
                .isFalse();
    }

    @Test
    void aKeyedOneIsSentWhileItsKeyIsSurelyHeld() {
        doubts.add(write(1, false, Effect.DROPPED), now, now.plusSeconds(1));
        doubts.add(write(1, true, Effect.DROPPED), now.plusSeconds(1), now.plusSeconds(1));
        assertThat(doubts.twice(write(1, true, Effect.DROPPED), now.plusMillis(1499))).isFalse();
        assertThat(doubts.twice(write(1, true, Effect.DROPPED), now.plusMillis(1500)))
                .as("from the first run on, however often it was tried")
                .isTrue();
    }

    @Test
    void whatNeverRanIsInNoDoubt() {
        doubts.add(write(1, false, Effect.TWICE), now, now);
        doubts.neverRan(write(1, false, Effect.TWICE));
        assertThat(doubts.twice(write(1, true, Effect.TWICE), now)).isFalse();
    }

    @Test
    void aFullLedgerForgetsNothingSilently() {
        for (int piece = 0; piece < 5; piece++) {
            doubts.add(write(piece, false, Effect.TWICE), now, now.plusSeconds(piece));
        }
        assertThat(doubts.size()).isEqualTo(4);
        assertThat(doubts.twice(write(0, true, Effect.TWICE), now)).as("the one let go").isTrue();
        assertThat(doubts.twice(write(9, true, Effect.TWICE), now))
                .as("any, as it may be that one")
                .isTrue();
        assertThat(doubts.twice(write(9, false, Effect.TWICE), now)).as("no first try").isFalse();
        assertThat(doubts.twice(write(9, true, Effect.TWICE), now.plus(SPAN))).isFalse();
        assertThat(doubts.twice(write(4, true, Effect.TWICE), now.plus(SPAN))).as("held").isTrue();
    }

    @Test
    void itComesOverARestart() {
        doubts.add(write(1, false, Effect.TWICE), now, now);
        byte[] kept = doubts.bytes(now);
        Doubts next = new Doubts(4, SPAN, now);
        next.restore(kept);
        assertThat(next.twice(write(1, true, Effect.TWICE), now.plusSeconds(1))).isTrue();
        assertThat(next.twice(write(2, true, Effect.TWICE), now.plusSeconds(1))).isFalse();

        Doubts blind = new Doubts(4, SPAN, now);
        blind.blind(now);
        assertThat(blind.twice(write(2, true, Effect.TWICE), now.plusSeconds(29))).isTrue();
        assertThat(blind.twice(write(2, true, Effect.TWICE), now.plusSeconds(30))).isFalse();

        assertThatThrownBy(() -> next.restore(Arrays.copyOf(kept, kept.length - 1)))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> next.restore(new byte[3]))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(next.size()).isEqualTo(1);
    }
}
