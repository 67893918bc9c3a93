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

/** What a scheduler is told at its start, out of config.json. */
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
    private static final int DEFAULT_MEMORY = 192;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int LEAST_MEMORY = 32;
    private static final int LEAST_SOCKETS = 128;
    private static final int MOST = 1 << 20;

    public static Config read(Path path) throws ConfigException {
        return parse(path.toString(), bytes(path));
    }

    /** The same, listening elsewhere. */
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
     * The same, with the operators' door where {@code $ROUTER_OPERATOR} names it; the file's {@code
     * operator} where the variable is unset or empty.
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
     * Whether this may take the place of what is in force.
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
                        limit(values, "limits.memory_mb", LEAST_MEMORY, DEFAULT_MEMORY),
                        limit(values, "limits.sockets", LEAST_SOCKETS, DEFAULT_SOCKETS)),
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
        return values.text(path, "").isEmpty() ? otherwise : (int) values.whole(path, least, MOST);
    }

    private static Duration span(Values values, String path, Duration otherwise)
            throws ConfigException {
        float micros = values.number(path, 0);
        return micros > 0 ? Micros.toDuration((long) micros) : otherwise;
    }
}
