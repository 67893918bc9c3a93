package cypressglade.storm;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * What the operators' file says of storms.
 *
 * @param slot in which come-backs are counted together
 * @param room part of a node's speed that may be promised, over 0 and at most 1
 * @param secondTries let by without a slot while damping, as a share of first tries, 0 to 1
 * @param way back: for how long the share rises once the signs of a storm have gone
 * @param connects taken in a second while connections come in waves, at least 1
 * @param doubt for how long a write in doubt is held: as long as a client could come again
 * @param doubtDirectory where writes in doubt are kept over a restart; without one, a restart
 *     forgets them
 */
public record Terms(
        Duration slot,
        double room,
        double secondTries,
        Duration back,
        int connects,
        Duration doubt,
        Optional<Path> doubtDirectory) {
    /** What holds where the file says nothing else. */
    public static final Terms USUAL =
            new Terms(
                    Duration.ofMillis(50),
                    0.8,
                    0.2,
                    Duration.ofSeconds(5),
                    100,
                    Duration.ofSeconds(30),
                    Optional.empty());

    public Terms {
        if (slot.toMillis() < 1
                || !(room > 0 && room <= 1)
                || !(secondTries >= 0 && secondTries <= 1)
                || back.isNegative()
                || connects < 1
                || doubt.isNegative()) {
            throw new IllegalArgumentException(
                    "slot "
                            + slot
                            + ", room "
                            + room
                            + ", second tries "
                            + secondTries
                            + ", back "
                            + back
                            + ", connects "
                            + connects
                            + ", doubt "
                            + doubt);
        }
    }
}
