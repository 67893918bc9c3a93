package cypressglade.member;

import java.time.Duration;

/**
 * How well this member itself keeps time: Lifeguard's local health multiplier. A member that misses
 * what it should have heard (its probes fail, its helpers send no nack, it has to refute a
 * suspicion of itself) is more likely the slow one than the others are dead; it then waits longer
 * before it judges. Guards against a stalled or paused process declaring healthy members dead. Not
 * safe for use by several threads.
 */
public final class LocalHealth {
    /**
     * The highest score: waits are at most four times as long. Lifeguard has 8; then the smaller
     * side of a split, whose probes mostly fail, takes more than 40 periods to its verdicts. A
     * pause is seen by its own clock.
     */
    public static final int MAX_SCORE = 3;

    private int score;
    private long raised;

    /** 0 for a member that has missed nothing lately, up to {@link #MAX_SCORE}. */
    public int score() {
        return score;
    }

    /** How often the score went up since the start. */
    public long increases() {
        return raised;
    }

    /**
     * A wait of the protocol, as long as this member's health allows: {@code (score + 1)} times.
     */
    public Duration scale(Duration wait) {
        return wait.multipliedBy(score + 1L);
    }

    /** A probe of this member's came back answered. */
    public void probeAnswered() {
        score = Math.max(0, score - 1);
    }

    /** A probe of this member's got no answer, directly or through others. */
    public void probeFailed() {
        raise();
    }

    /**
     * Helpers that were asked to ping sent no nack either: the messages of this member itself are
     * late.
     */
    public void nackMissed() {
        raise();
    }

    /** Others suspected this member while it was alive. */
    public void refuted() {
        raise();
    }

    private void raise() {
        if (score < MAX_SCORE) {
            score++;
            raised++;
        }
    }
}
