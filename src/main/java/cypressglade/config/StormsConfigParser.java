package cypressglade.config;

import cypressglade.storm.StormSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * Reads {@code deploy/storms.json}: nothing where the file is not there or says that it is off. A
 * path in it is taken from the file's own directory.
 */
public final class StormsConfigParser {
    private static final long MAX_SLOT_MS = 1000;
    private static final long MAX_BACK_MS = 600_000;
    private static final long MAX_CONNECTS = 100_000;
    private static final long MAX_DOUBT_S = 3600;

    private StormsConfigParser() {}

    /** Reads the file; each value that is not there is the usual one. */
    public static Optional<StormSettings> read(Path path) throws ConfigException {
        Optional<Values> enabled = Values.ifEnabled(path);
        if (enabled.isEmpty()) {
            return Optional.empty();
        }
        Values values = enabled.get();
        StormSettings usual = StormSettings.DEFAULTS;
        Optional<Path> kept =
                values.text("doubt_dir", "").isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                path.toAbsolutePath()
                                        .getParent()
                                        .resolve(values.text("doubt_dir")));
        if (kept.isPresent() && !(Files.isDirectory(kept.get()) && Files.isWritable(kept.get()))) {
            throw values.bad(
                    "doubt_dir",
                    "is no directory that this program may write to; make it with: "
                            + "mkdir -p -m 700 "
                            + kept.get());
        }
        return Optional.of(
                new StormSettings(
                        Duration.ofMillis(
                                values.whole(
                                        "slot_ms", 1, MAX_SLOT_MS, usual.slotLength().toMillis())),
                        part(values, "room", usual.promisedSpeedFraction(), false),
                        part(values, "second_tries", usual.retryRatio(), true),
                        Duration.ofMillis(
                                values.whole(
                                        "back_ms",
                                        0,
                                        MAX_BACK_MS,
                                        usual.recoveryTime().toMillis())),
                        (int)
                                values.whole(
                                        "connects", 1, MAX_CONNECTS, usual.connectionsPerSecond()),
                        Duration.ofSeconds(
                                values.whole(
                                        "doubt_s",
                                        0,
                                        MAX_DOUBT_S,
                                        usual.uncertainWriteTtl().toSeconds())),
                        kept));
    }

    private static double part(Values values, String path, double otherwise, boolean none)
            throws ConfigException {
        double value = values.number(path, (float) otherwise);
        if (!(value >= 0 && value <= 1) || value == 0 && !none) {
            throw values.bad(path, none ? "is not 0 to 1" : "is not over 0 and at most 1");
        }
        return value;
    }
}
