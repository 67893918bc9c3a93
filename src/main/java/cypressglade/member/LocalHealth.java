package cypressglade.member;

import java.time.Duration;

/**
 * The local health multiplier of Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", 2018). A member that misses messages that it
 * should have received (its probes fail, the members that it asked for indirect probes send no
 * nack, it has to refute a suspicion of itself) is more likely to be slow itself than the others
 * are to be dead, so it waits longer before it suspects them. This keeps a stalled or paused
 * process from declaring healthy members dead. Not safe for use by several threads.
 */
public final class LocalHealth {
    /**
     * Highest score, at which waits are four times as long. Lifeguard uses 8; with that, the
     * smaller side of a partition, whose probes mostly fail, needs more than 40 protocol periods to
     * declare members dead. A pause of this process is detected by its own clock instead.
     */
    public static final int MAX_SCORE = 3;

    private int score;
    private long increases;

    /** The current score: 0 while nothing was missed lately, up to {@link #MAX_SCORE}. */
    public int score() {
        return score;
    }

    /** Number of times that the score was raised since the start. */
    public long increases() {
        return increases;
    }

    /** Returns {@code wait} multiplied by {@code score + 1}. */
    public Duration scale(Duration wait) {
        return wait.multipliedBy(score + 1L);
    }

    /** Lowers the score: a probe of this member was acknowledged. */
    public void probeAnswered() {
        score = Math.max(0, score - 1);
    }

    /** Raises the score: a probe of this member got neither a direct nor an indirect ack. */
    public void probeFailed() {
        raise();
    }

    /**
     * Raises the score: a member that was asked for an indirect probe sent no nack either, so this
     * member's own messages are probably late.
     */
    public void nackMissed() {
        raise();
    }

    /** Raises the score: others suspected this member, which had to refute it. */
    public void refuted() {
        raise();
    }

    private void raise() {
        if (score < MAX_SCORE) {
            score++;
            increases++;
        }
    }
}
