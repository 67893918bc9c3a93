package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** A wave of connections is accepted at the pace, and its end is noticed. */
class ConnectionPacerTest {
    private static final Duration UPDATE_PERIOD = Duration.ofMillis(20);
    private static final int CONNECTIONS_PER_SECOND = 100;

    private Instant now = Instant.EPOCH;
    private final ConnectionPacer pacer = new ConnectionPacer(CONNECTIONS_PER_SECOND, now);

    private int update(int accepted) {
        now = now.plus(UPDATE_PERIOD);
        return pacer.update(accepted, now);
    }

    @Test
    void thousandConnectionsAtOnceAreAcceptedAtThePace() {
        for (int i = 0; i < 500; i++) {
            assertThat(update(i % 50 == 0 ? 1 : 0))
                    .as("one connection a second is no wave")
                    .isEqualTo(Integer.MAX_VALUE);
        }
        int waiting = 1000;
        int accepted = 60; // before the first update that sees the wave
        int allowed = update(accepted);
        waiting -= accepted;
        assertThat(pacer.isWaveActive()).isTrue();
        Instant began = now;
        while (waiting > 0) {
            int next = Math.min(waiting, allowed);
            waiting -= next;
            allowed = update(next);
        }
        assertThat(Duration.between(began, now))
                .isBetween(Duration.ofSeconds(9), Duration.ofSeconds(10));
        for (int i = 0; i < 100; i++) {
            allowed = update(0);
        }
        assertThat(allowed)
                .as("the wave is over when nothing arrives")
                .isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void steadyRateBelowThePaceIsNoWave() {
        for (int i = 0; i < 1000; i++) {
            assertThat(update(i % 2)).isEqualTo(Integer.MAX_VALUE);
        }
    }
}
