package cypressglade.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.control.ControlClient;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import org.jline.keymap.BindingReader;
import org.jline.keymap.KeyMap;
import org.jline.terminal.Attributes;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStyle;
import org.jline.utils.Display;
import org.jline.utils.InfoCmp.Capability;
import org.jline.utils.NonBlockingReader;

/**
 * The console on a terminal. One thread receives the scheduler's status frames and reconnects after
 * the scheduler has restarted; the thread that calls {@link #run} handles keys, sends each command
 * on a connection of its own, and draws. The terminal is restored however this ends. Without a
 * terminal that can show a full screen, one table is printed instead.
 */
public final class Console {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(500);
    private static final Duration REDRAW_INTERVAL = Duration.ofMillis(100);
    private static final Duration COMMAND_RETRY_TIMEOUT = Duration.ofSeconds(5);
    private static final int PLAIN_WIDTH = 100;
    private static final int PLAIN_HEIGHT = 30;

    private final Path socket;
    private final boolean colour;
    private final ConsoleModel model = new ConsoleModel();
    private final AtomicReference<View> latest = new AtomicReference<>(View.EMPTY);
    private volatile String connectionState = "connecting";
    private volatile boolean leaving;

    /**
     * @param socket the scheduler's control socket
     * @param environment the process's environment; no colours are used where {@code NO_COLOR} is
     *     set and not empty (no-color.org)
     */
    public Console(Path socket, Map<String, String> environment) {
        this.socket = socket;
        colour = environment.getOrDefault("NO_COLOR", "").isEmpty();
    }

    /**
     * Shows the console until the operator leaves, or prints one table where there is no terminal.
     *
     * @param plain where the table is printed
     * @throws IOException where the terminal cannot be opened, or the table not be fetched
     */
    public void run(PrintStream plain) throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
            if (terminal.getType().startsWith(Terminal.TYPE_DUMB)) {
                printOnce(plain);
            } else {
                runFullScreen(terminal);
            }
        }
    }

    /** Prints the status once, for a pipe or a terminal without cursor control. */
    private void printOnce(PrintStream out) throws IOException {
        try (ControlClient client = new ControlClient(socket)) {
            model.update(View.parse(JSON.readTree(client.call("view", Map.of()))));
            Screen.draw(model, "connected", PLAIN_WIDTH, PLAIN_HEIGHT).stream()
                    .map(line -> line.text().stripTrailing())
                    .limit(PLAIN_HEIGHT - 1)
                    .forEach(out::println);
        }
    }

    private void runFullScreen(Terminal terminal) throws IOException {
        Thread follower = new Thread(this::receiveFrames, "frames");
        follower.setDaemon(true);
        follower.start();
        Attributes before = terminal.enterRawMode();
        Thread restore = new Thread(() -> restore(terminal, before), "restore terminal");
        Runtime.getRuntime()
                .addShutdownHook(restore); // SIGTERM must not leave the terminal in raw mode
        terminal.puts(Capability.enter_ca_mode);
        terminal.puts(Capability.cursor_invisible);
        try {
            handleKeysAndDraw(terminal);
        } finally {
            leaving = true;
            restore(terminal, before);
            Runtime.getRuntime().removeShutdownHook(restore);
        }
    }

    private static synchronized void restore(Terminal terminal, Attributes before) {
        terminal.puts(Capability.cursor_visible);
        terminal.puts(Capability.exit_ca_mode);
        terminal.setAttributes(before);
        terminal.flush();
    }

    private void handleKeysAndDraw(Terminal terminal) {
        Display display = new Display(terminal, true);
        BindingReader keys = new BindingReader(terminal.reader());
        KeyMap<String> map = keyMap(terminal);
        int width = 0;
        int height = 0;
        while (!leaving) {
            Size size = terminal.getSize();
            if (size.getColumns() != width || size.getRows() != height) {
                width = size.getColumns();
                height = size.getRows();
                terminal.puts(Capability.clear_screen);
                display.clear();
                display.resize(size);
            }
            model.update(latest.get());
            int columns = width;
            List<AttributedString> lines =
                    Screen.draw(model, connectionState, width, height).stream()
                            .map(
                                    line ->
                                            new AttributedString(line.text(), style(line.style()))
                                                    .columnSubSequence(0, columns))
                            .limit(height)
                            .toList();
            display.update(lines, -1);
            if (keys.peekCharacter(REDRAW_INTERVAL.toMillis()) != NonBlockingReader.READ_EXPIRED) {
                String key = keys.readBinding(map);
                model.handleKey(key == null ? "end of input" : key).ifPresent(this::execute);
            }
        }
    }

    private static KeyMap<String> keyMap(Terminal terminal) {
        KeyMap<String> map = new KeyMap<>();
        for (char key = ' '; key <= '~'; key++) {
            map.bind(String.valueOf(key), String.valueOf(key));
        }
        map.bind("enter", "\r", "\n");
        map.bind("backspace", KeyMap.del(), "\b");
        map.bind("escape", KeyMap.esc());
        map.bind("end of input", KeyMap.ctrl('C'), KeyMap.ctrl('D'));
        Map<String, Capability> named = new LinkedHashMap<>();
        named.put("up", Capability.key_up);
        named.put("down", Capability.key_down);
        named.put("page up", Capability.key_ppage);
        named.put("page down", Capability.key_npage);
        named.put("home", Capability.key_home);
        named.put("end", Capability.key_end);
        named.forEach((name, capability) -> map.bind(name, KeyMap.key(terminal, capability)));
        map.bind("up", "\u001b[A");
        map.bind("down", "\u001b[B");
        map.setAmbiguousTimeout(REDRAW_INTERVAL.toMillis());
        map.setNomatch(" none");
        map.setUnicode(" none");
        return map;
    }

    private AttributedStyle style(Screen.Style style) {
        AttributedStyle plain = AttributedStyle.DEFAULT;
        return switch (style) {
            case TITLE -> plain.bold();
            case HEADING -> plain.underline();
            case SELECTED -> plain.inverse();
            case ERROR -> colour ? plain.foreground(AttributedStyle.RED) : plain.bold();
            case WARNING -> colour ? plain.foreground(AttributedStyle.YELLOW) : plain;
            case SECONDARY -> colour ? plain.foreground(AttributedStyle.CYAN) : plain;
            default -> plain;
        };
    }

    private void execute(ConsoleModel.Command command) {
        if (command instanceof ConsoleModel.Leave) {
            leaving = true;
        } else if (command instanceof ConsoleModel.Drain drain) {
            send(
                    "drain",
                    Map.of(
                            "node",
                            drain.node(),
                            "why",
                            drain.why(),
                            "force",
                            Boolean.toString(drain.force())));
        } else if (command instanceof ConsoleModel.Undrain undrain) {
            send("undrain", Map.of("node", undrain.node()));
        }
    }

    /**
     * Sends a command until it is answered, or the timeout has passed. Every send carries the same
     * command id, so that the scheduler executes it once.
     */
    private void send(String action, Map<String, String> fields) {
        Map<String, String> message = new LinkedHashMap<>(fields);
        message.put("command", UUID.randomUUID().toString());
        message.put("who", System.getProperty("user.name", "?"));
        long deadlineNanos = System.nanoTime() + COMMAND_RETRY_TIMEOUT.toNanos();
        while (true) {
            try (ControlClient client = new ControlClient(socket)) {
                JsonNode answer = JSON.readTree(client.call(action, message));
                model.setMessage(
                        !answer.path("ok").asBoolean()
                                ? answer.path("error").asText()
                                        + "; "
                                        + answer.path("remedy").asText()
                                : answer.path("node").asText()
                                        + ": "
                                        + action
                                        + (answer.path("acted").asBoolean()
                                                ? " is done"
                                                : " was done before")
                                        + (answer.path("durable").asBoolean()
                                                ? ""
                                                : ", but NOT on the disk"));
                return;
            } catch (IOException disconnected) {
                if (System.nanoTime() > deadlineNanos || !pause()) {
                    model.setMessage(
                            action + " may not have been done: " + disconnected.getMessage());
                    return;
                }
            }
        }
    }

    private void receiveFrames() {
        while (!leaving) {
            try (ControlClient client = new ControlClient(socket)) {
                String line = client.call("watch", Map.of());
                while (!leaving) {
                    connectionState = "connected";
                    latest.set(View.parse(JSON.readTree(line)));
                    line = client.readLine();
                }
            } catch (IOException disconnected) {
                connectionState = "NO SCHEDULER, trying";
                if (!pause()) {
                    return;
                }
            }
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(RECONNECT_DELAY.toMillis());
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
