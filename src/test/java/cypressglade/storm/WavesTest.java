package cypressglade.storm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** A wave of connections is taken at a pace, and ends. */
class WavesTest {
    private static final Duration LOOK = Duration.ofMillis(20);
    private static final int PACE = 100;

    private Instant now = Instant.EPOCH;
    private final Waves waves = new Waves(PACE, now);

    private int look(int came) {
        now = now.plus(LOOK);
        return waves.look(came, now);
    }

    @Test
    void aThousandAtOnceAreTakenAtThePace() {
        for (int i = 0; i < 500; i++) {
            assertThat(look(i % 50 == 0 ? 1 : 0))
                    .as("one a second is none")
                    .isEqualTo(Integer.MAX_VALUE);
        }
        int waiting = 1000;
        int taken = 60; // by the first look they are in
        int allowed = look(taken);
        waiting -= taken;
        assertThat(waves.on()).isTrue();
        Instant began = now;
        while (waiting > 0) {
            int next = Math.min(waiting, allowed);
            waiting -= next;
            allowed = look(next);
        }
        assertThat(Duration.between(began, now))
                .isBetween(Duration.ofSeconds(9), Duration.ofSeconds(10));
        for (int i = 0; i < 100; i++) {
            allowed = look(0);
        }
        assertThat(allowed).as("over when nobody comes").isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void aSteadyStreamBelowThePaceIsNoWave() {
        for (int i = 0; i < 1000; i++) {
            assertThat(look(i % 2)).isEqualTo(Integer.MAX_VALUE);
        }
    }
}
