package cypressglade.storm;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings for retry storms, as read from the operators' file.
 *
 * @param slotLength length of a retry slot, at least 1 ms
 * @param promisedSpeedFraction part of a node's speed that may be promised to retries, over 0 and
 *     at most 1
 * @param retryRatio retries without a slot that are admitted while damping, per original request, 0
 *     to 1
 * @param recoveryTime time over which that ratio rises again after the signs of a storm have gone,
 *     not negative
 * @param connectionsPerSecond new connections accepted per second during a wave of connections, at
 *     least 1
 * @param uncertainWriteTtl how long an uncertain write is remembered, not negative: as long as its
 *     client could retry it
 * @param uncertainWriteDirectory where uncertain writes are kept across a restart; without it, a
 *     restart forgets them
 */
public record StormSettings(
        Duration slotLength,
        double promisedSpeedFraction,
        double retryRatio,
        Duration recoveryTime,
        int connectionsPerSecond,
        Duration uncertainWriteTtl,
        Optional<Path> uncertainWriteDirectory) {
    /** The values of settings that the file leaves out. */
    public static final StormSettings DEFAULTS =
            new StormSettings(
                    Duration.ofMillis(50),
                    0.8,
                    0.2,
                    Duration.ofSeconds(5),
                    100,
                    Duration.ofSeconds(30),
                    Optional.empty());

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException where a value is out of its range
     */
    public StormSettings {
        if (slotLength.toMillis() < 1
                || !(promisedSpeedFraction > 0 && promisedSpeedFraction <= 1)
                || !(retryRatio >= 0 && retryRatio <= 1)
                || recoveryTime.isNegative()
                || connectionsPerSecond < 1
                || uncertainWriteTtl.isNegative()) {
            throw new IllegalArgumentException(
                    "storm setting out of range: slot length "
                            + slotLength
                            + ", promised speed fraction "
                            + promisedSpeedFraction
                            + ", retry ratio "
                            + retryRatio
                            + ", recovery time "
                            + recoveryTime
                            + ", connections per second "
                            + connectionsPerSecond
                            + ", uncertain write TTL "
                            + uncertainWriteTtl);
        }
    }
}
