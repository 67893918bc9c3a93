package cypressglade.cli;

import cypressglade.config.Config;
import cypressglade.core.Micros;
import cypressglade.core.Scheduler.Limits;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What a scheduler runs by now, in the order in which an operator looks for it; times in
 * milliseconds.
 */
final class InForce {
    private InForce() {}

    static Map<String, String> of(Config config, OperatorFiles files) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("name", config.name());
        values.put("listen", config.listen().toString());
        values.put("discovery", config.discovery().toString());
        values.put("nbd", files.nbd().map(nbd -> nbd.listen().toString()).orElse("off"));
        values.put("peers", files.peers().map(PeersCommand::summary).orElse("off"));
        values.put("memory_mb", Integer.toString(config.budget().memoryMb()));
        values.put("requests_open_at_most", Integer.toString(config.budget().requests()));
        values.put("client_connections", Integer.toString(config.budget().clientConnections()));
        values.put("node_connections", Integer.toString(config.budget().nodeConnections()));
        values.put("connect_timeout", config.connectTimeout().toMillis() + " ms");
        for (RequestClass type : config.settings().classes()) {
            values.put(
                    "class " + type.name(),
                    "aim "
                            + millis(type.targetLatencyUs())
                            + ", deadline "
                            + millis(type.deadlineUs())
                            + ", worth "
                            + type.worth()
                            + ", "
                            + type.effect().name().toLowerCase(Locale.ROOT));
        }
        for (Plan plan : config.settings().plans()) {
            values.put(
                    "plan " + plan.name(),
                    "reserve "
                            + plan.reserveRate()
                            + " units/s, limit "
                            + (plan.limitRate() <= 0
                                    ? "none"
                                    : plan.limitRate() + " units/s, burst " + plan.limitBurst())
                            + ", weight "
                            + plan.weight());
        }
        Limits limits = config.settings().limits();
        values.put(
                "schedulers",
                (config.settings().rank() + 1)
                        + " of "
                        + config.settings().instances()
                        + ", unless peers tell of more");
        values.put("attempts", Integer.toString(limits.maxAttempts()));
        values.put(
                "retry_after",
                limits.mayAdviseRetry() ? "up to " + millis(limits.maxRetryAfterUs()) : "not told");
        values.put(
                "cold nodes",
                limits.coldNodeUnits()
                        + " units in "
                        + millis(limits.overloadWindowUs())
                        + " at first, a ramp of "
                        + millis(limits.rampUs()));
        return values;
    }

    private static String millis(long micros) {
        return Micros.toDuration(micros).toMillis() + " ms";
    }
}
