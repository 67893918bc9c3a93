package cypressglade.config;

import cypressglade.member.SwimSettings;
import cypressglade.peer.KeyRing;
import cypressglade.peer.PeersConfig;
import cypressglade.peer.PeersConfig.Network;
import cypressglade.peer.PeersConfig.Snapshots;
import cypressglade.share.SharingSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads {@code deploy/peers.json}: nothing where the file is not there or says that it is off.
 * Paths in it are taken from the file's own directory.
 */
public final class PeersConfigParser {
    private static final int MAX_SEEDS = 16;
    private static final int MAX_NODES = 4096;
    private static final int MAX_NAME = 64;
    private static final String NAME = "[A-Za-z0-9._-]{1," + MAX_NAME + "}";
    private static final float FLOOR = 0.25f;
    private static final long LAG = 2;
    private static final long MAX_LAG = 10;
    private static final long WINDOW_MS = 1000;
    private static final long MAX_WAIT_MS = 2000;

    /** Below, a scheduler that waits for its share of a core would be taken for silent. */
    private static final long MIN_PERIOD_MS = 100;

    private static final long MAX_PERIOD_MS = 60_000;
    private static final long MAX_SPAN_S = 86_400;

    private final Values values;
    private final Path directory;

    private PeersConfigParser(Values values, Path directory) {
        this.values = values;
        this.directory = directory;
    }

    /** Reads the file and the key file that it names. */
    public static Optional<PeersConfig> read(Path path) throws ConfigException {
        Optional<Values> values = Values.ifEnabled(path);
        return values.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new PeersConfigParser(values.get(), path.toAbsolutePath().getParent())
                                .config());
    }

    private PeersConfig config() throws ConfigException {
        String name = values.text("name");
        if (!name.matches(NAME)) {
            throw values.bad(
                    "name",
                    "is not 1 to " + MAX_NAME + " letters, digits, dots, dashes or underscores");
        }
        Optional<Network> network =
                values.text("listen", "").isEmpty() ? Optional.empty() : Optional.of(network());
        Optional<Snapshots> snapshots =
                values.text("snapshot_dir", "").isEmpty()
                        ? Optional.empty()
                        : Optional.of(snapshots());
        if (network.isEmpty() && snapshots.isEmpty()) {
            throw values.bad("enabled", "is true, but there is neither listen nor snapshot_dir");
        }
        return new PeersConfig(
                name,
                network,
                snapshots,
                (int) values.whole("most_nodes", 1, MAX_NODES, 1024),
                Duration.ofMillis(values.whole("start_wait_ms", 0, MAX_WAIT_MS, 200)));
    }

    private Network network() throws ConfigException {
        InetSocketAddress listen = values.address("listen");
        Optional<InetSocketAddress> advertised =
                values.text("advertise", "").isEmpty()
                        ? Optional.empty()
                        : Optional.of(values.address("advertise"));
        if (advertised.isEmpty() && listen.getAddress().isAnyLocalAddress()) {
            throw values.bad(
                    "advertise",
                    "is missing, and listen is every address: say where others reach this");
        }
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String seed : values.text("seeds", "").split(",")) {
            if (!seed.isBlank()) {
                seeds.add(values.address("seeds", seed));
            }
        }
        if (seeds.size() > MAX_SEEDS) {
            throw values.bad("seeds", "are more than " + MAX_SEEDS);
        }
        Path keyFile = directory.resolve(values.text("key_file"));
        try {
            return new Network(
                    listen,
                    advertised,
                    List.copyOf(seeds),
                    KeyRing.read(keyFile),
                    Duration.ofSeconds(values.whole("refresh_s", 1, MAX_SPAN_S, 5)),
                    values.flag("share_cold", "true"),
                    SwimSettings.withPeriod(
                            Duration.ofMillis(
                                    values.whole("period_ms", MIN_PERIOD_MS, MAX_PERIOD_MS, 1000))),
                    values.flag("view", "false"),
                    sharing());
        } catch (IOException unusable) {
            throw values.bad("key_file", "cannot be used: " + unusable.getMessage());
        }
    }

    private Optional<SharingSettings> sharing() throws ConfigException {
        if (values.text("roster", "").isEmpty()) {
            return Optional.empty();
        }
        Set<String> roster = new TreeSet<>();
        for (String name : values.text("roster").split(",")) {
            if (!roster.add(name.strip()) || !name.strip().matches(NAME)) {
                throw values.bad("roster", "has a name twice, or one that is no name");
            }
        }
        if (!roster.contains(values.text("name")) || roster.size() > SharingSettings.MAX_NAMES) {
            throw values.bad(
                    "roster",
                    "has to name this instance (name), and at most " + SharingSettings.MAX_NAMES);
        }
        float floor = values.number("floor", FLOOR);
        if (!(floor > 0 && floor <= 1)) {
            throw values.bad("floor", "is not over 0 and at most 1");
        }
        return Optional.of(
                new SharingSettings(
                        roster,
                        floor,
                        (int) values.whole("lag", 1, MAX_LAG, LAG),
                        Duration.ofMillis(
                                values.whole(
                                        "window_ms", MIN_PERIOD_MS, MAX_PERIOD_MS, WINDOW_MS))));
    }

    private Snapshots snapshots() throws ConfigException {
        Path kept = directory.resolve(values.text("snapshot_dir"));
        if (!Files.isDirectory(kept) || !Files.isWritable(kept)) {
            throw values.bad(
                    "snapshot_dir",
                    "is no directory that this program may write to; make it with: "
                            + "mkdir -p -m 700 "
                            + kept);
        }
        return new Snapshots(
                kept,
                Duration.ofSeconds(values.whole("snapshot_every_s", 1, MAX_SPAN_S, 10)),
                Duration.ofSeconds(values.whole("snapshot_most_age_s", 1, MAX_SPAN_S, 120)));
    }
}
