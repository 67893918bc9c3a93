package cypressglade.storm;

import java.time.Duration;
import java.time.Instant;

/**
 * One try of a client, as far as storms are concerned.
 *
 * @param shard which holds the data, or a negative number where any node can take it
 * @param weight of its volume's plan among others, above 0
 * @param second whether the client marks it as another try of what it asked before
 * @param effect what a second run of it would do
 * @param token stands for the key that the client gave it, 0 where it gave none
 * @param keyHeld for how long nodes drop repeats of a key
 * @param expiry when the client gives up on this try
 */
public record Try(
        int shard,
        long volume,
        double weight,
        long piece,
        int kind,
        double units,
        boolean second,
        Effect effect,
        long token,
        Duration keyHeld,
        Instant expiry) {

    /** What a second run would do. */
    public enum Effect {
        /** Nothing that the first has not done. */
        NONE,
        /** The same: nodes drop it while they hold its key. */
        DROPPED,
        /** It would be done twice. */
        TWICE
    }

    /** What a client's tries of one request have in common. */
    record Print(long volume, long piece, int kind, double units, long token) {}

    Print print() {
        return new Print(volume, piece, kind, units, token);
    }
}
