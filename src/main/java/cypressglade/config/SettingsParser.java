package cypressglade.config;

import cypressglade.core.Scheduler.Effect;
import cypressglade.core.Scheduler.Limits;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Scope;
import cypressglade.core.Scheduler.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads the settings of an instance, by path. Unknown keys are skipped, absent ones are 0. */
public final class SettingsParser {
    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** The settings as path=value lines. */
    public static Settings parseLines(long seed, String text) throws ConfigException {
        Map<String, String> values = new HashMap<>();
        int line = 0;
        for (String row : text.split("\n")) {
            line++;
            if (row.isBlank()) {
                continue;
            }
            int equals = row.indexOf('=');
            if (equals <= 0) {
                throw new ConfigException("settings line " + line + " is not path=value: " + row);
            }
            values.put(row.substring(0, equals).trim(), row.substring(equals + 1).trim());
        }
        return parse(seed, values);
    }

    /** The settings by path. */
    public static Settings parse(long seed, Map<String, String> values) throws ConfigException {
        return new SettingsParser(values).settings(seed);
    }

    private Settings settings(long seed) throws ConfigException {
        return new Settings(
                seed,
                whole("rank"),
                Math.max(1, whole("balancers")),
                whole("zone"),
                text("discovery").equals("on_request"),
                time("tickUs"),
                classes(),
                plans(),
                list("report.names"),
                limits(),
                number("specifics.unitMean"),
                number("specifics.unitsTop"),
                number("specifics.fairWorth"),
                number("specifics.idleWorth"),
                time("specifics.meterPeriodUs"),
                flag("specifics.countsOthers"),
                Math.max(0, number("tariffs.probe")));
    }

    private Limits limits() throws ConfigException {
        return new Limits(
                whole("limits.attemptsCap"),
                flag("limits.mayCancel"),
                flag("limits.probes"),
                flag("limits.peers"),
                flag("limits.secondCopies"),
                flag("limits.retryAfter"),
                time("limits.maxRetryAfterUs"),
                time("rules.stopSendingWithinUs"),
                time("rules.askWithinUs"),
                values.containsKey("rules.budgetWindowUs")
                        || values.containsKey("rules.furtherRatio")
                        || values.containsKey("rules.freeResends"),
                number("rules.freeResends"),
                number("rules.furtherRatio"),
                time("rules.budgetWindowUs"),
                number("rules.coldFrom"),
                time("rules.rampTimeUs"),
                number("rules.overloadFactor"),
                time("rules.fallUs"),
                number("specifics.youngLimit"),
                time("rules.turnGapUs"),
                Math.max(1, whole("limits.streamsPerConn")));
    }

    private List<RequestClass> classes() throws ConfigException {
        List<RequestClass> classes = new ArrayList<>();
        List<String> writes = list("specifics.changesData");
        for (int i = 0; i < whole("categories.count"); i++) {
            String at = "categories." + i + ".";
            classes.add(
                    new RequestClass(
                            text(at + "name"),
                            time(at + "objectiveUs"),
                            number(at + "aimStretch"),
                            time(at + "deadlineUs"),
                            number(at + "worth"),
                            number(at + "lateWorth"),
                            effect(at + "effect"),
                            scope(at + "dedupScope"),
                            time(at + "keyTtlUs"),
                            flag(at + "keepOrder"),
                            flag(at + "streamed"),
                            i < writes.size() && writes.get(i).equals("true")));
        }
        return List.copyOf(classes);
    }

    private List<Plan> plans() throws ConfigException {
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < whole("plans.count"); i++) {
            String at = "plans." + i + ".";
            plans.add(
                    new Plan(
                            text(at + "name"),
                            number(at + "baseRate"),
                            number(at + "floorRate"),
                            number(at + "parts"),
                            number(at + "worthFactor"),
                            number(at + "neverOver"),
                            number(at + "limitBurst"),
                            number(at + "limitSlack")));
        }
        return List.copyOf(plans);
    }

    private Effect effect(String path) throws ConfigException {
        return switch (text(path)) {
            case "read_like" -> Effect.SAFE;
            case "idempotency_key" -> Effect.KEYED;
            case "non_idempotent", "" -> Effect.UNSAFE;
            default -> throw bad(path);
        };
    }

    private Scope scope(String path) throws ConfigException {
        return switch (text(path)) {
            case "all", "" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            case "cell" -> Scope.CELL;
            default -> throw bad(path);
        };
    }

    private String text(String path) {
        return values.getOrDefault(path, "");
    }

    private List<String> list(String path) {
        String text = text(path);
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private boolean flag(String path) throws ConfigException {
        return switch (text(path).toLowerCase(Locale.ROOT)) {
            case "true" -> true;
            case "false", "" -> false;
            default -> throw bad(path);
        };
    }

    private int whole(String path) throws ConfigException {
        double value = number(path);
        if (value != Math.rint(value) || Math.abs(value) > 1_000_000_000) {
            throw bad(path);
        }
        return (int) value;
    }

    private long time(String path) throws ConfigException {
        return (long) number(path);
    }

    private double number(String path) throws ConfigException {
        String text = text(path);
        if (text.isEmpty()) {
            return 0;
        }
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // reported below, as any other value that is not a finite number
        }
        throw bad(path);
    }

    private ConfigException bad(String path) {
        return new ConfigException("setting " + path + " has an unusable value: " + text(path));
    }
}
