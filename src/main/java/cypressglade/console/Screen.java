package cypressglade.console;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The screen as lines, each just as wide as the terminal, for any size from 40x10 up. */
final class Screen {
    static final int LEAST_WIDTH = 40;
    static final int LEAST_HEIGHT = 10;
    private static final int LOWER_SHARE = 3;
    private static final int LEAST_NODES = 3;
    private static final int OTHER_COLUMNS = 61;

    /** What a line is, for its colour. */
    enum Look {
        PLAIN,
        TITLE,
        HEADING,
        CHOSEN,
        BAD,
        CARE,
        QUIET
    }

    /** A line of the screen. */
    record Line(String text, Look look) {}

    private final int width;
    private final int height;
    private final List<Line> lines = new ArrayList<>();

    private Screen(int width, int height) {
        this.width = Math.max(LEAST_WIDTH, width);
        this.height = Math.max(LEAST_HEIGHT, height);
    }

    /** Draws; {@code state} tells of the connection. */
    static List<Line> draw(Desk desk, String state, int width, int height) {
        Screen screen = new Screen(width, height);
        screen.title(desk, state);
        if (desk.mode() == Desk.Mode.HELP) {
            screen.help();
        } else {
            screen.nodes(desk);
            screen.lower(desk.view());
        }
        screen.fill();
        screen.lines.set(screen.height - 1, screen.line(desk.prompt(), Look.TITLE));
        return screen.lines;
    }

    private Line line(String text, Look look) {
        String cut = text.length() > width ? text.substring(0, width - 1) + "…" : text;
        return new Line(cut + " ".repeat(width - cut.length()), look);
    }

    private void add(String text, Look look) {
        if (lines.size() < height - 1) {
            lines.add(line(text, look));
        }
    }

    private void title(Desk desk, String state) {
        Map<String, Long> counters = desk.view().counters();
        add(
                String.format(
                        "cypressglade  %s%s  served %d  refused %d  failed %d  nodes %d",
                        state,
                        desk.paused() ? "  PAUSED" : "",
                        counters.getOrDefault("answered_served", 0L),
                        counters.getOrDefault("answered_refused", 0L),
                        counters.getOrDefault("answered_failed", 0L),
                        desk.view().nodes().size()),
                Look.TITLE);
    }

    private void nodes(Desk desk) {
        int name = Math.max(12, Math.min(40, width - OTHER_COLUMNS));
        String format = "%-" + name + "s %5s %-15s %8s %13s %5s %8s";
        add(
                String.format(
                        format,
                        head(desk, Desk.Sort.NODE),
                        "SHARD",
                        head(desk, Desk.Sort.STATE),
                        head(desk, Desk.Sort.PACE),
                        head(desk, Desk.Sort.OUT) + "/BOUND",
                        head(desk, Desk.Sort.HELD),
                        "ANSWERED"),
                Look.HEADING);
        List<View.Node> nodes = desk.nodes();
        int room = Math.max(LEAST_NODES, height - 3 - below(desk.view()));
        int from = Math.max(0, Math.min(desk.at() - room / 2, nodes.size() - room));
        for (int i = from; i < Math.min(nodes.size(), from + room); i++) {
            View.Node node = nodes.get(i);
            String id =
                    node.id().length() > name ? node.id().substring(0, name - 1) + "…" : node.id();
            add(
                    String.format(
                            Locale.ROOT,
                            format,
                            id,
                            node.shard(),
                            node.state(),
                            String.format(Locale.ROOT, "%.2f", node.msPerUnit()),
                            String.format(Locale.ROOT, "%.1f/%.1f", node.unitsOut(), node.bound()),
                            node.held(),
                            ago(node.answeredAgoMs())),
                    i == desk.at() ? Look.CHOSEN : look(node.state()));
        }
        for (int i = Math.min(nodes.size(), room); i < room; i++) {
            add("", Look.PLAIN);
        }
    }

    private static String head(Desk desk, Desk.Sort sort) {
        return sort.heading + (desk.sort() == sort ? "*" : "");
    }

    private static Look look(String state) {
        return switch (state) {
            case "silent" -> Look.BAD;
            case "ready" -> Look.PLAIN;
            default -> Look.CARE;
        };
    }

    private static String ago(long ms) {
        return ms < 0
                ? "never"
                : ms < 10_000
                        ? String.format(Locale.ROOT, "%.1f s", ms / 1e3)
                        : ms < 600_000 ? ms / 1000 + " s" : ms / 60_000 + " min";
    }

    /** Lines under the nodes: headings, what is held beside what was refused, and events. */
    private int below(View view) {
        return Math.min(
                height / LOWER_SHARE,
                2 + Math.max(view.queues().size(), view.givenUp().size()) + view.events().size());
    }

    private void lower(View view) {
        int left = width / 2;
        int room = below(view) - 2;
        List<String> held =
                view.queues().stream()
                        .map(
                                queue ->
                                        String.format(
                                                "%-20s %6d %8s",
                                                queue.name(),
                                                queue.held(),
                                                queue.held() == 0 ? "-" : queue.oldestMs() + " ms"))
                        .toList();
        List<String> refused =
                view.givenUp().entrySet().stream()
                        .filter(reason -> reason.getValue() > 0)
                        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                        .map(
                                reason ->
                                        String.format(
                                                "%-20s %10d", reason.getKey(), reason.getValue()))
                        .toList();
        add(pad("HELD, BY CLASS          OLDEST", left) + "REFUSED, BY REASON", Look.HEADING);
        int tables =
                Math.min(
                        Math.max(held.size(), refused.size()),
                        Math.max(1, room - Math.min(3, room / 2)));
        for (int i = 0; i < tables; i++) {
            add(
                    pad(i < held.size() ? held.get(i) : "", left)
                            + (i < refused.size() ? refused.get(i) : ""),
                    Look.PLAIN);
        }
        add(
                "EVENTS"
                        + (view.members().isEmpty()
                                ? ""
                                : "          SCHEDULERS: " + String.join(", ", view.members())),
                Look.HEADING);
        int most = Math.max(0, room - tables);
        List<String> events = view.events();
        events.subList(Math.max(0, events.size() - most), events.size())
                .forEach(event -> add(event, Look.QUIET));
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
            add(row, Look.PLAIN);
        }
    }

    private void fill() {
        while (lines.size() < height) {
            lines.add(line("", Look.PLAIN));
        }
    }
}
