package cypressglade.console;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The console's model: the selected node, filter, sort order and prompt, and what each key does to
 * them. Used by one thread.
 */
final class ConsoleModel {
    private static final int MAX_TEXT_LENGTH = 120;

    /** Decides what a key means. */
    enum Mode {
        BROWSE,
        FILTER,
        REASON,
        CONFIRM,
        HELP
    }

    /** The columns that nodes can be sorted by, in the order in which key {@code s} steps on. */
    enum Sort {
        NODE("NODE", Comparator.comparing(View.Node::id)),
        STATE("STATE", Comparator.comparing(View.Node::state)),
        SERVICE_TIME("ms/UNIT", Comparator.comparing(View.Node::msPerUnit).reversed()),
        IN_FLIGHT("OUT", Comparator.comparing(View.Node::inFlightUnits).reversed()),
        QUEUED("HELD", Comparator.comparing(View.Node::queued).reversed());

        final String heading;
        final Comparator<View.Node> order;

        Sort(String heading, Comparator<View.Node> order) {
            this.heading = heading;
            this.order = order;
        }
    }

    /** What a key asks for that goes beyond the model. */
    sealed interface Command {}

    /**
     * Drains a node.
     *
     * @param why the reason that the operator has typed, at most 120 characters
     * @param force drains also the only node of a shard
     */
    record Drain(String node, String why, boolean force) implements Command {}

    /** Ends the drain of a node. */
    record Undrain(String node) implements Command {}

    /** Closes the console. */
    record Leave() implements Command {}

    private Mode mode = Mode.BROWSE;
    private Sort sort = Sort.NODE;
    private String filter = "";
    private String input = "";
    private String selected = "";
    private String lastDrained = "";
    private String message = "";
    private boolean paused;
    private View view = View.EMPTY;

    /** Replaces the shown status, unless the operator has paused the screen. */
    void update(View next) {
        if (!paused) {
            view = next;
        }
    }

    View view() {
        return view;
    }

    /** The nodes that match the filter, in sort order. */
    List<View.Node> visibleNodes() {
        return view.nodes().stream()
                .filter(node -> node.id().contains(filter) || node.state().contains(filter))
                .sorted(sort.order.thenComparing(View.Node::id))
                .toList();
    }

    /** The index of the selected node in {@link #visibleNodes}; 0 where it is not among them. */
    int selectedIndex() {
        List<View.Node> nodes = visibleNodes();
        for (int i = 0; i < nodes.size(); i++) {
            if (nodes.get(i).id().equals(selected)) {
                return i;
            }
        }
        return 0;
    }

    private Optional<String> selectedNode() {
        List<View.Node> nodes = visibleNodes();
        return nodes.isEmpty() ? Optional.empty() : Optional.of(nodes.get(selectedIndex()).id());
    }

    private void moveSelection(int rows) {
        List<View.Node> nodes = visibleNodes();
        if (!nodes.isEmpty()) {
            selected =
                    nodes.get(Math.max(0, Math.min(nodes.size() - 1, selectedIndex() + rows))).id();
        }
    }

    void setMessage(String text) {
        message = text;
    }

    /**
     * Handles a key: a character, or a name such as {@code up}, {@code page up} or {@code escape}.
     */
    Optional<Command> handleKey(String key) {
        return switch (mode) {
            case BROWSE -> browse(key);
            case HELP -> {
                mode = Mode.BROWSE;
                yield Optional.empty();
            }
            case FILTER -> {
                if (editInput(key)) {
                    filter = input;
                }
                yield Optional.empty();
            }
            case REASON -> {
                if (editInput(key)) {
                    mode = Mode.CONFIRM;
                }
                yield Optional.empty();
            }
            case CONFIRM -> confirm(key);
        };
    }

    private Optional<Command> browse(String key) {
        message = "";
        switch (key) {
            case "up", "k" -> moveSelection(-1);
            case "down", "j" -> moveSelection(1);
            case "page up" -> moveSelection(-10);
            case "page down" -> moveSelection(10);
            case "home" -> moveSelection(Integer.MIN_VALUE / 2);
            case "end" -> moveSelection(Integer.MAX_VALUE / 2);
            case "s" -> sort = Sort.values()[(sort.ordinal() + 1) % Sort.values().length];
            case "p", " " -> paused = !paused;
            case "?", "h" -> mode = Mode.HELP;
            case "/" -> {
                mode = Mode.FILTER;
                input = filter;
            }
            case "escape" -> filter = "";
            case "d" -> {
                if (selectedNode().isPresent()) {
                    // fixed now: later frames may move another node to this row
                    selected = selectedNode().get();
                    mode = Mode.REASON;
                    input = "";
                }
            }
            case "u" -> {
                return selectedNode().map(Undrain::new);
            }
            case "z" -> {
                if (!lastDrained.isEmpty()) {
                    return Optional.of(new Undrain(lastDrained));
                }
                message = "nothing was drained from this console";
            }
            case "q", "end of input" -> {
                return Optional.of(new Leave());
            }
            default -> {}
        }
        return Optional.empty();
    }

    private Optional<Command> confirm(String key) {
        mode = Mode.BROWSE;
        if (!key.equals("y") && !key.equals("f")) {
            message = "not drained";
            return Optional.empty();
        }
        if (view.nodes().stream().noneMatch(node -> node.id().equals(selected))) {
            message = selected + " has left the list meanwhile";
            return Optional.empty();
        }
        lastDrained = selected;
        return Optional.of(new Drain(selected, input, key.equals("f")));
    }

    /** Applies a key to the input line; true once enter has completed it. */
    private boolean editInput(String key) {
        switch (key) {
            case "enter" -> {
                mode = Mode.BROWSE;
                return true;
            }
            case "escape" -> mode = Mode.BROWSE;
            case "backspace" ->
                    input = input.isEmpty() ? "" : input.substring(0, input.length() - 1);
            default -> input += key.length() == 1 && input.length() < MAX_TEXT_LENGTH ? key : "";
        }
        return false;
    }

    Mode mode() {
        return mode;
    }

    Sort sort() {
        return sort;
    }

    boolean isPaused() {
        return paused;
    }

    /** The bottom line: the input, the question, the last message, or the most used keys. */
    String prompt() {
        return switch (mode) {
            case FILTER -> "filter: " + input + "_   enter takes it, escape leaves it";
            case REASON ->
                    "drain " + selected + ", why? " + input + "_   enter goes on, escape leaves it";
            case CONFIRM ->
                    "drain " + selected + "?  y yes, f also if it alone holds its shard, else no";
            default ->
                    !message.isEmpty()
                            ? message
                            : (filter.isEmpty() ? "" : "filter " + filter + "  ")
                                    + "? help  d drain  u undrain  z undo  s sort  "
                                    + "/ filter  p pause  q quit";
        };
    }
}
