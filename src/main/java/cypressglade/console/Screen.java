package cypressglade.console;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Lays out the screen as lines, each as wide as the terminal and as many as it is high. Terminals
 * smaller than {@link #MIN_WIDTH} by {@link #MIN_HEIGHT} get a screen of that size.
 */
final class Screen {
    /** In columns. */
    static final int MIN_WIDTH = 40;

    /** In lines. */
    static final int MIN_HEIGHT = 10;

    /** The tables below the nodes get at most the screen's height divided by this. */
    private static final int LOWER_PART_DIVISOR = 3;

    private static final int MIN_NODE_ROWS = 3;

    /** The width of a node's row without its name. */
    private static final int OTHER_COLUMNS_WIDTH = 61;

    /** The style of a line, which decides its colour. */
    enum Style {
        PLAIN,
        TITLE,
        HEADING,
        SELECTED,
        ERROR,
        WARNING,
        SECONDARY
    }

    /**
     * A line of the screen.
     *
     * @param text as many characters as the screen is wide
     */
    record Line(String text, Style style) {}

    private final int width;
    private final int height;
    private final List<Line> lines = new ArrayList<>();

    private Screen(int width, int height) {
        this.width = Math.max(MIN_WIDTH, width);
        this.height = Math.max(MIN_HEIGHT, height);
    }

    /**
     * Lays out the whole screen.
     *
     * @param connectionState shown in the title
     * @param width in columns
     * @param height in lines
     */
    static List<Line> draw(ConsoleModel model, String connectionState, int width, int height) {
        Screen screen = new Screen(width, height);
        screen.title(model, connectionState);
        if (model.mode() == ConsoleModel.Mode.HELP) {
            screen.help();
        } else {
            screen.nodes(model);
            screen.queuesRefusalsAndEvents(model.view());
        }
        screen.fill();
        screen.lines.set(screen.height - 1, screen.line(model.prompt(), Style.TITLE));
        return screen.lines;
    }

    private Line line(String text, Style style) {
        String cut = text.length() > width ? text.substring(0, width - 1) + "…" : text;
        return new Line(cut + " ".repeat(width - cut.length()), style);
    }

    private void add(String text, Style style) {
        if (lines.size() < height - 1) {
            lines.add(line(text, style));
        }
    }

    private void title(ConsoleModel model, String connectionState) {
        Map<String, Long> counters = model.view().counters();
        add(
                String.format(
                        "cypressglade  %s%s  served %d  refused %d  failed %d  nodes %d",
                        connectionState,
                        model.isPaused() ? "  PAUSED" : "",
                        counters.getOrDefault("answered_served", 0L),
                        counters.getOrDefault("answered_refused", 0L),
                        counters.getOrDefault("answered_failed", 0L),
                        model.view().nodes().size()),
                Style.TITLE);
    }

    private void nodes(ConsoleModel model) {
        int nameWidth = Math.max(12, Math.min(40, width - OTHER_COLUMNS_WIDTH));
        String format = "%-" + nameWidth + "s %5s %-15s %8s %13s %5s %8s";
        add(
                String.format(
                        format,
                        heading(model, ConsoleModel.Sort.NODE),
                        "SHARD",
                        heading(model, ConsoleModel.Sort.STATE),
                        heading(model, ConsoleModel.Sort.SERVICE_TIME),
                        heading(model, ConsoleModel.Sort.IN_FLIGHT) + "/BOUND",
                        heading(model, ConsoleModel.Sort.QUEUED),
                        "ANSWERED"),
                Style.HEADING);
        List<View.Node> nodes = model.visibleNodes();
        int rows = Math.max(MIN_NODE_ROWS, height - 3 - lowerPartHeight(model.view()));
        int from = Math.max(0, Math.min(model.selectedIndex() - rows / 2, nodes.size() - rows));
        for (int i = from; i < Math.min(nodes.size(), from + rows); i++) {
            View.Node node = nodes.get(i);
            String id =
                    node.id().length() > nameWidth
                            ? node.id().substring(0, nameWidth - 1) + "…"
                            : node.id();
            add(
                    String.format(
                            Locale.ROOT,
                            format,
                            id,
                            node.shard(),
                            node.state(),
                            String.format(Locale.ROOT, "%.2f", node.msPerUnit()),
                            String.format(
                                    Locale.ROOT, "%.1f/%.1f", node.inFlightUnits(), node.bound()),
                            node.queued(),
                            ago(node.answeredAgoMs())),
                    i == model.selectedIndex() ? Style.SELECTED : styleOfState(node.state()));
        }
        for (int i = Math.min(nodes.size(), rows); i < rows; i++) {
            add("", Style.PLAIN);
        }
    }

    private static String heading(ConsoleModel model, ConsoleModel.Sort sort) {
        return sort.heading + (model.sort() == sort ? "*" : "");
    }

    private static Style styleOfState(String state) {
        return switch (state) {
            case "silent" -> Style.ERROR;
            case "ready" -> Style.PLAIN;
            default -> Style.WARNING;
        };
    }

    private static String ago(long ms) {
        return ms < 0
                ? "never"
                : ms < 10_000
                        ? String.format(Locale.ROOT, "%.1f s", ms / 1e3)
                        : ms < 600_000 ? ms / 1000 + " s" : ms / 60_000 + " min";
    }

    /** Lines below the nodes: two headings, queued beside refused requests, and events. */
    private int lowerPartHeight(View view) {
        return Math.min(
                height / LOWER_PART_DIVISOR,
                2
                        + Math.max(view.queues().size(), view.rejections().size())
                        + view.events().size());
    }

    private void queuesRefusalsAndEvents(View view) {
        int leftWidth = width / 2;
        int rows = lowerPartHeight(view) - 2;
        List<String> queued =
                view.queues().stream()
                        .map(
                                queue ->
                                        String.format(
                                                "%-20s %6d %8s",
                                                queue.name(),
                                                queue.queued(),
                                                queue.queued() == 0
                                                        ? "-"
                                                        : queue.oldestMs() + " ms"))
                        .toList();
        List<String> refused =
                view.rejections().entrySet().stream()
                        .filter(reason -> reason.getValue() > 0)
                        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                        .map(
                                reason ->
                                        String.format(
                                                "%-20s %10d", reason.getKey(), reason.getValue()))
                        .toList();
        add(pad("HELD, BY CLASS          OLDEST", leftWidth) + "REFUSED, BY REASON", Style.HEADING);
        int tableRows =
                Math.min(
                        Math.max(queued.size(), refused.size()),
                        Math.max(1, rows - Math.min(3, rows / 2)));
        for (int i = 0; i < tableRows; i++) {
            add(
                    pad(i < queued.size() ? queued.get(i) : "", leftWidth)
                            + (i < refused.size() ? refused.get(i) : ""),
                    Style.PLAIN);
        }
        add(
                "EVENTS"
                        + (view.members().isEmpty()
                                ? ""
                                : "          SCHEDULERS: " + String.join(", ", view.members())),
                Style.HEADING);
        int maxEvents = Math.max(0, rows - tableRows);
        List<String> events = view.events();
        events.subList(Math.max(0, events.size() - maxEvents), events.size())
                .forEach(event -> add(event, Style.SECONDARY));
    }

    private static String pad(String text, int width) {
        return text.length() >= width
                ? text.substring(0, width - 1) + " "
                : text + " ".repeat(width - text.length());
    }

    private void help() {
        for (String row :
                List.of(
                        "",
                        "up down j k     choose a node       page up, page down, home, end",
                        "s               sort by the next column, marked *",
                        "/               filter by a part of id or state",
                        "d               drain the chosen node: asks why, and for a yes",
                        "u               take the chosen node's drain back",
                        "z               undo the last drain from here",
                        "p or space      hold the picture still; orders still act",
                        "q               leave; the scheduler and its drains go on",
                        "",
                        "A drained node gets nothing new from the moment this console says so;",
                        "what runs there ends there. A drain outlives a restart of the scheduler,",
                        "and holds though the node list says that the node is active.",
                        "",
                        "any key goes back")) {
            add(row, Style.PLAIN);
        }
    }

    private void fill() {
        while (lines.size() < height) {
            lines.add(line("", Style.PLAIN));
        }
    }
}
