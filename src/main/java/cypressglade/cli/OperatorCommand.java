package cypressglade.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.config.ConfigException;
import cypressglade.config.ControlConfigParser;
import cypressglade.console.Console;
import cypressglade.control.ControlClient;
import cypressglade.control.ControlConfig;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * A command that asks a running scheduler over its control socket; JSON with {@code --json}, or a
 * table.
 */
abstract class OperatorCommand implements Asking {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration STEP = Duration.ofMillis(250);

    @Parameter(names = "--console", description = "the file that says where the control socket is")
    private String file = "deploy/console.json";

    @Parameter(names = "--socket", description = "the control socket itself")
    private String socket = "";

    @Parameter(names = "--json", description = "print JSON")
    private boolean json;

    /** What the socket did not do: exit code 1, and its own words. */
    static final class Refused extends IOException {
        private static final long serialVersionUID = 1L;

        Refused(JsonNode answer) {
            super(answer.path("error").asText() + "\n  " + answer.path("remedy").asText());
        }
    }

    /** Where the socket is. */
    protected final Path socket() throws ConfigException {
        return socket.isEmpty()
                ? ControlConfigParser.read(Path.of(file))
                        .map(ControlConfig::socket)
                        .orElseThrow(this::noSocket)
                : Path.of(socket);
    }

    private ConfigException noSocket() {
        return new ConfigException(
                file
                        + ": is not there or says \"enabled\": false; "
                        + "turn it on, or name the socket with --socket");
    }

    @Override
    public void run(PrintStream out) throws ConfigException, IOException {
        try (ControlClient client = new ControlClient(socket())) {
            act(client, out);
        }
    }

    protected abstract void act(ControlClient client, PrintStream out) throws IOException;

    protected static JsonNode call(ControlClient client, String what, Map<String, String> fields)
            throws IOException {
        JsonNode answer = JSON.readTree(client.call(what, fields));
        if (!answer.path("ok").asBoolean()) {
            throw new Refused(answer);
        }
        return answer;
    }

    /** Prints part of an answer as it is, or as a table with a column for each name. */
    protected final void show(PrintStream out, JsonNode part, String... names) throws IOException {
        if (json) {
            out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(part));
            return;
        }
        List<String[]> rows = new ArrayList<>();
        rows.add(names);
        for (JsonNode row : part) {
            String[] cells = new String[names.length];
            for (int i = 0; i < names.length; i++) {
                cells[i] = cell(row.path(names[i]));
            }
            rows.add(cells);
        }
        int[] widths = new int[names.length];
        rows.forEach(
                row -> {
                    for (int i = 0; i < row.length; i++) {
                        widths[i] = Math.max(widths[i], row[i].length());
                    }
                });
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                line.append(
                        String.format(
                                "%-" + (widths[i] + 2) + "s",
                                row == names ? heading(row[i]) : row[i]));
            }
            out.println(line.toString().stripTrailing());
        }
    }

    private static String heading(String name) {
        return name.replace('_', ' ').toUpperCase(Locale.ROOT);
    }

    private static String cell(JsonNode value) {
        return value.isFloatingPointNumber()
                ? String.format(Locale.ROOT, "%.1f", value.asDouble())
                : value.asText();
    }

    protected static void pause() throws IOException {
        try {
            Thread.sleep(STEP.toMillis());
        } catch (InterruptedException cut) {
            throw new IOException("interrupted", cut);
        }
    }

    @Parameters(commandDescription = "open the console: nodes, held work, refusals, drains")
    static final class ConsoleCommand extends OperatorCommand {
        @Override
        public void run(PrintStream out) throws ConfigException, IOException {
            new Console(socket(), System.getenv()).run(out);
        }

        @Override
        protected void act(ControlClient client, PrintStream out) {}
    }

    @Parameters(commandDescription = "show the storage nodes as the scheduler sees them")
    static final class Nodes extends OperatorCommand {
        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            show(
                    out,
                    call(client, "view", Map.of()).path("nodes"),
                    "id",
                    "shard",
                    "state",
                    "us_a_unit",
                    "units_out",
                    "bound",
                    "held",
                    "answers",
                    "answered_ago_ms",
                    "hearsay");
        }
    }

    @Parameters(commandDescription = "show the work that is held, by class, with the longest wait")
    static final class Queues extends OperatorCommand {
        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            show(out, call(client, "view", Map.of()).path("queues"), "class", "held", "oldest_ms");
        }
    }

    @Parameters(
            commandDescription = "show how many requests were given up since the start, by reason")
    static final class Refusals extends OperatorCommand {
        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            var rows = JSON.createArrayNode();
            call(client, "view", Map.of())
                    .path("given_up")
                    .properties()
                    .forEach(
                            reason ->
                                    rows.addObject()
                                            .put("reason", reason.getKey())
                                            .put("count", reason.getValue().asLong()));
            show(out, rows, "reason", "count");
        }
    }

    @Parameters(commandDescription = "show what the scheduler runs by now")
    static final class SettingsCommand extends OperatorCommand {
        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            show(out, call(client, "settings", Map.of()).path("settings"), "setting", "value");
        }
    }

    @Parameters(commandDescription = "show what happened; --follow goes on until it is stopped")
    static final class EventsCommand extends OperatorCommand {
        @Parameter(names = "--follow", description = "wait for more")
        private boolean follow;

        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            long last = 0;
            do {
                JsonNode events =
                        call(client, "events", Map.of("after", Long.toString(last))).path("events");
                for (JsonNode event : events) {
                    last = event.path("number").asLong();
                    out.println(event);
                }
                out.flush();
                if (follow) {
                    pause();
                }
            } while (follow);
        }
    }

    /** Orders on one node. */
    private abstract static class NodeOrder extends OperatorCommand {
        @Parameter(description = "NODE", required = true)
        private List<String> names = new ArrayList<>();

        @Parameter(names = "--why", description = "why, for whoever looks later")
        private String why = "";

        protected final JsonNode order(ControlClient client, String what, boolean force)
                throws IOException {
            if (names.size() != 1) {
                throw new ParameterException("name one node; see them with: nodes");
            }
            return call(
                    client,
                    what,
                    Map.of(
                            "node",
                            names.get(0),
                            "why",
                            why,
                            "force",
                            Boolean.toString(force),
                            "command",
                            UUID.randomUUID().toString(),
                            "who",
                            Optional.ofNullable(System.getProperty("user.name")).orElse("?")));
        }

        protected static void tell(PrintStream out, JsonNode answer, String acted, String already) {
            out.println(
                    answer.path("node").asText()
                            + (answer.path("acted").asBoolean() ? acted : already)
                            + (answer.path("durable").asBoolean()
                                    ? ""
                                    : "; it could NOT be written to the disk and "
                                            + "ends with a restart of the scheduler: "
                                            + "make room, take it back and give it again"));
        }
    }

    @Parameters(commandDescription = "send nothing new to a node; what runs there ends there")
    static final class Drain extends NodeOrder {
        @Parameter(names = "--force", description = "also where no other node holds its shard")
        private boolean force;

        @Parameter(names = "--wait", description = "return once nothing runs there any more")
        private boolean wait;

        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            JsonNode answer = order(client, "drain", force);
            tell(out, answer, " is drained: nothing new starts there", " is drained already");
            String node = answer.path("node").asText();
            while (wait && !done(call(client, "view", Map.of()).path("drains"), node)) {
                pause();
            }
            if (wait) {
                out.println("nothing runs there any more " + Instant.now());
            }
        }

        private static boolean done(JsonNode drains, String node) {
            for (JsonNode drain : drains) {
                if (drain.path("node").asText().equals(node)) {
                    return drain.path("done").asBoolean();
                }
            }
            return true; // it left the list, or was taken back
        }
    }

    @Parameters(commandDescription = "take a drain by hand back")
    static final class Undrain extends NodeOrder {
        @Override
        protected void act(ControlClient client, PrintStream out) throws IOException {
            tell(
                    out,
                    order(client, "undrain", false),
                    " is what the node list says it is",
                    " was not drained by hand");
        }
    }
}
