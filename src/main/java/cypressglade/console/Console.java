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
 * The console on a terminal. One thread follows the scheduler's frames, and comes back when it
 * restarts; the caller's takes keys, sends orders on a connection of their own, and draws. The
 * terminal is restored however this ends. Where there is none, a table is printed instead, once or
 * again and again.
 */
public final class Console {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration COME_BACK = Duration.ofMillis(500);
    private static final Duration REDRAW = Duration.ofMillis(100);
    private static final Duration ORDER_TRIES = Duration.ofSeconds(5);
    private static final int PLAIN_WIDTH = 100;
    private static final int PLAIN_HEIGHT = 30;

    private final Path socket;
    private final boolean colour;
    private final Desk desk = new Desk();
    private final AtomicReference<View> latest = new AtomicReference<>(View.EMPTY);
    private volatile String state = "connecting";
    private volatile boolean leaving;

    /** Colours are left out where {@code NO_COLOR} is set to anything (no-color.org). */
    public Console(Path socket, Map<String, String> environment) {
        this.socket = socket;
        colour = environment.getOrDefault("NO_COLOR", "").isEmpty();
    }

    /** Runs until the operator leaves. */
    public void run(PrintStream plain) throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
            if (terminal.getType().startsWith(Terminal.TYPE_DUMB)) {
                print(plain);
            } else {
                full(terminal);
            }
        }
    }

    /** One picture, for a pipe or a terminal that cannot do more. */
    private void print(PrintStream out) throws IOException {
        try (ControlClient client = new ControlClient(socket)) {
            desk.show(View.of(JSON.readTree(client.call("view", Map.of()))));
            Screen.draw(desk, "connected", PLAIN_WIDTH, PLAIN_HEIGHT).stream()
                    .map(line -> line.text().stripTrailing())
                    .limit(PLAIN_HEIGHT - 1)
                    .forEach(out::println);
        }
    }

    private void full(Terminal terminal) throws IOException {
        Thread follower = new Thread(this::follow, "frames");
        follower.setDaemon(true);
        follower.start();
        Attributes before = terminal.enterRawMode();
        Thread restore = new Thread(() -> restore(terminal, before), "restore terminal");
        Runtime.getRuntime()
                .addShutdownHook(restore); // a kill must not leave a broken terminal behind
        terminal.puts(Capability.enter_ca_mode);
        terminal.puts(Capability.cursor_invisible);
        try {
            draw(terminal);
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

    private void draw(Terminal terminal) {
        Display display = new Display(terminal, true);
        BindingReader keys = new BindingReader(terminal.reader());
        KeyMap<String> map = keys(terminal);
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
            desk.show(latest.get());
            int columns = width;
            List<AttributedString> lines =
                    Screen.draw(desk, state, width, height).stream()
                            .map(
                                    line ->
                                            new AttributedString(line.text(), style(line.look()))
                                                    .columnSubSequence(0, columns))
                            .limit(height)
                            .toList();
            display.update(lines, -1);
            if (keys.peekCharacter(REDRAW.toMillis()) != NonBlockingReader.READ_EXPIRED) {
                String key = keys.readBinding(map);
                desk.key(key == null ? "end of input" : key).ifPresent(this::carryOut);
            }
        }
    }

    private static KeyMap<String> keys(Terminal terminal) {
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
        map.setAmbiguousTimeout(REDRAW.toMillis());
        map.setNomatch(" none");
        map.setUnicode(" none");
        return map;
    }

    private AttributedStyle style(Screen.Look look) {
        AttributedStyle plain = AttributedStyle.DEFAULT;
        return switch (look) {
            case TITLE -> plain.bold();
            case HEADING -> plain.underline();
            case CHOSEN -> plain.inverse();
            case BAD -> colour ? plain.foreground(AttributedStyle.RED) : plain.bold();
            case CARE -> colour ? plain.foreground(AttributedStyle.YELLOW) : plain;
            case QUIET -> colour ? plain.foreground(AttributedStyle.CYAN) : plain;
            default -> plain;
        };
    }

    private void carryOut(Desk.Wish wish) {
        if (wish instanceof Desk.Leave) {
            leaving = true;
        } else if (wish instanceof Desk.Drain drain) {
            order(
                    "drain",
                    Map.of(
                            "node",
                            drain.node(),
                            "why",
                            drain.why(),
                            "force",
                            Boolean.toString(drain.force())));
        } else if (wish instanceof Desk.Undrain undrain) {
            order("undrain", Map.of("node", undrain.node()));
        }
    }

    /**
     * Sends an order until it is answered; under one name, so that it acts once however often it is
     * sent.
     */
    private void order(String what, Map<String, String> fields) {
        Map<String, String> order = new LinkedHashMap<>(fields);
        order.put("command", UUID.randomUUID().toString());
        order.put("who", System.getProperty("user.name", "?"));
        long end = System.nanoTime() + ORDER_TRIES.toNanos();
        while (true) {
            try (ControlClient client = new ControlClient(socket)) {
                JsonNode answer = JSON.readTree(client.call(what, order));
                desk.tell(
                        !answer.path("ok").asBoolean()
                                ? answer.path("error").asText()
                                        + "; "
                                        + answer.path("remedy").asText()
                                : answer.path("node").asText()
                                        + ": "
                                        + what
                                        + (answer.path("acted").asBoolean()
                                                ? " is done"
                                                : " was done before")
                                        + (answer.path("durable").asBoolean()
                                                ? ""
                                                : ", but NOT on the disk"));
                return;
            } catch (IOException gone) {
                if (System.nanoTime() > end || !pause()) {
                    desk.tell(what + " may not have been done: " + gone.getMessage());
                    return;
                }
            }
        }
    }

    private void follow() {
        while (!leaving) {
            try (ControlClient client = new ControlClient(socket)) {
                String line = client.call("watch", Map.of());
                while (!leaving) {
                    state = "connected";
                    latest.set(View.of(JSON.readTree(line)));
                    line = client.readLine();
                }
            } catch (IOException gone) {
                state = "NO SCHEDULER, trying";
                if (!pause()) {
                    return;
                }
            }
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(COME_BACK.toMillis());
            return true;
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
