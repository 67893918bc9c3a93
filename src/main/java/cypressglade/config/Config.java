package cypressglade.config;

import cypressglade.core.Micros;
import cypressglade.core.NodeList;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration of a scheduler, as read from config.json.
 *
 * @param name the scheduler's name, which its next process has too
 * @param listen address on which clients connect
 * @param discovery address of the discovery service
 * @param known the node list until discovery has told one
 * @param settings the settings of the scheduling policy
 * @param connectTimeout limit on opening a connection to a node
 * @param idleLimit time after which an idle connection to a node is not used any more
 * @param nodeLists parser of discovery's node lists, by the names of the settings
 * @param budget limits on memory and descriptors
 * @param operator address of the operator port; empty where there is none
 * @param keys the keys that the file has
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        NodeList known,
        Settings settings,
        Duration connectTimeout,
        Duration idleLimit,
        NodeListParser nodeLists,
        Budget budget,
        Optional<InetSocketAddress> operator,
        Keys keys) {
    private static final String SETTINGS = "settings.";
    private static final Duration DEFAULT_CONNECT = Duration.ofMillis(250);
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(30);
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_MEMORY_MB = 32;
    private static final int MIN_SOCKETS = 128;
    private static final int MAX_LIMIT = 1 << 20;

    /**
     * Reads a file.
     *
     * @throws UnreadableException where the file cannot be read now but may be later
     * @throws ConfigException where it is missing or a value in it is wrong
     */
    public static Config read(Path path) throws ConfigException {
        return parse(path.toString(), bytes(path));
    }

    /** Returns this configuration with another address for clients. */
    public Config on(InetSocketAddress other) {
        return new Config(
                name,
                other,
                discovery,
                known,
                settings,
                connectTimeout,
                idleLimit,
                nodeLists,
                budget,
                operator,
                keys);
    }

    /**
     * Returns this configuration with the address of the operator port that {@code
     * $ROUTER_OPERATOR} gives; the file's {@code operator} holds where that is unset or empty.
     *
     * @throws ConfigException where the variable is not ADDRESS:PORT
     */
    public Config operatorFrom(String variable) throws ConfigException {
        if (variable == null || variable.isBlank()) {
            return this;
        }
        Values values = new Values("$ROUTER_OPERATOR", Map.of("operator", variable.strip()));
        return new Config(
                name,
                listen,
                discovery,
                known,
                settings,
                connectTimeout,
                idleLimit,
                nodeLists,
                budget,
                Optional.of(values.address("operator")),
                keys);
    }

    /**
     * Checks that this may replace the configuration in force.
     *
     * @throws ConfigException where it lacks a key that the other has
     */
    public void checkAfter(Config inForce) throws ConfigException {
        Optional<String> lost = inForce.keys.lostIn(keys);
        if (lost.isPresent()) {
            throw new ConfigException(
                    lost.get()
                            + " is missing, which the configuration in force has: put it"
                            + " back, or restart to go without it");
        }
    }

    static byte[] bytes(Path path) throws ConfigException {
        try {
            return Files.readAllBytes(path);
        } catch (NoSuchFileException | AccessDeniedException wrong) {
            throw new ConfigException(
                    path + ": cannot be read: " + wrong.getClass().getSimpleName());
        } catch (IOException unreadable) {
            throw new UnreadableException(
                    path + ": cannot be read: " + unreadable.getClass().getSimpleName());
        }
    }

    static Config parse(String what, byte[] text) throws ConfigException {
        Map<String, String> all = JsonValues.read(what, text, 0, text.length);
        Values values = new Values(what, all);
        Map<String, String> settings = new HashMap<>();
        all.forEach(
                (path, value) -> {
                    if (path.startsWith(SETTINGS)) {
                        settings.put(path.substring(SETTINGS.length()), value);
                    }
                });
        long seed;
        try {
            seed = Long.parseUnsignedLong(values.text("seed"), 16);
        } catch (NumberFormatException notHex) {
            throw values.bad("seed", "is not a hexadecimal number");
        }
        NodeListParser lists =
                new NodeListParser(
                        List.of(values.text(SETTINGS + "zones", "").split(",")),
                        List.of(values.text(SETTINGS + "kinds", "").split(",")));
        Settings parsed;
        try {
            parsed = SettingsParser.parse(seed, settings);
        } catch (ConfigException bad) {
            throw new ConfigException(what + ": " + bad.getMessage());
        }
        if (parsed.classes().isEmpty() || parsed.plans().isEmpty()) {
            throw values.bad("settings", "names no categories or no plans");
        }
        whole(values, parsed);
        return new Config(
                values.text("name"),
                values.address("listen"),
                values.address("discovery"),
                lists.parse(values, "known."),
                parsed,
                span(values, "settings.limits.connectTimeoutUs", DEFAULT_CONNECT),
                span(values, "settings.limits.connIdleUs", DEFAULT_IDLE),
                lists,
                new Budget(
                        limit(values, "limits.memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB),
                        limit(values, "limits.sockets", MIN_SOCKETS, DEFAULT_SOCKETS)),
                values.text("operator", "").isEmpty()
                        ? Optional.empty()
                        : Optional.of(values.address("operator")),
                new Keys(all));
    }

    /**
     * What a file must give whole, so that a reload of a file that is cut short or lacks a key
     * takes nothing: each class its name, aim and deadline above 0, and attempts above 0. The
     * simulator's wire may leave them out; a file may not.
     */
    private static void whole(Values values, Settings parsed) throws ConfigException {
        if (parsed.limits().maxAttempts() <= 0) {
            throw values.bad("settings.limits.attemptsCap", "must be there and above 0");
        }
        for (int i = 0; i < parsed.classes().size(); i++) {
            RequestClass type = parsed.classes().get(i);
            String at = "settings.categories." + i + ".";
            if (type.name().isBlank()) {
                throw values.bad(at + "name", "must be there");
            }
            if (type.deadlineUs() <= 0 || type.targetLatencyUs() <= 0) {
                throw values.bad(
                        at + (type.deadlineUs() <= 0 ? "deadlineUs" : "objectiveUs"),
                        "must be there and above 0");
            }
        }
    }

    private static int limit(Values values, String path, int least, int otherwise)
            throws ConfigException {
        return values.text(path, "").isEmpty()
                ? otherwise
                : (int) values.whole(path, least, MAX_LIMIT);
    }

    private static Duration span(Values values, String path, Duration otherwise)
            throws ConfigException {
        float micros = values.number(path, 0);
        return micros > 0 ? Micros.toDuration((long) micros) : otherwise;
    }
}
