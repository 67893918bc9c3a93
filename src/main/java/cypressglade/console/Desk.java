package cypressglade.console;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** What the operator has chosen, and what each key makes of it; one thread. */
final class Desk {
    private static final int MOST_TEXT = 120;

    /** What keys mean now. */
    enum Mode {
        LOOK,
        FILTER,
        REASON,
        CONFIRM,
        HELP
    }

    /** By what nodes are sorted, and the heading of its column. */
    enum Sort {
        NODE("NODE", Comparator.comparing(View.Node::id)),
        STATE("STATE", Comparator.comparing(View.Node::state)),
        PACE("ms/UNIT", Comparator.comparing(View.Node::msPerUnit).reversed()),
        OUT("OUT", Comparator.comparing(View.Node::unitsOut).reversed()),
        HELD("HELD", Comparator.comparing(View.Node::held).reversed());

        final String heading;
        final Comparator<View.Node> order;

        Sort(String heading, Comparator<View.Node> order) {
            this.heading = heading;
            this.order = order;
        }
    }

    /** What a key was for, beyond the screen. */
    sealed interface Wish {}

    record Drain(String node, String why, boolean force) implements Wish {}

    record Undrain(String node) implements Wish {}

    record Leave() implements Wish {}

    private Mode mode = Mode.LOOK;
    private Sort sort = Sort.NODE;
    private String filter = "";
    private String text = "";
    private String selected = "";
    private String lastDrained = "";
    private String message = "";
    private boolean paused;
    private View view = View.EMPTY;

    /** Takes a new frame, unless the operator holds the picture still. */
    void show(View next) {
        if (!paused) {
            view = next;
        }
    }

    View view() {
        return view;
    }

    /** The nodes that pass the filter, as sorted. */
    List<View.Node> nodes() {
        return view.nodes().stream()
                .filter(node -> node.id().contains(filter) || node.state().contains(filter))
                .sorted(sort.order.thenComparing(View.Node::id))
                .toList();
    }

    /** Where the chosen node is in {@link #nodes}; 0 where it is not. */
    int at() {
        List<View.Node> nodes = nodes();
        for (int i = 0; i < nodes.size(); i++) {
            if (nodes.get(i).id().equals(selected)) {
                return i;
            }
        }
        return 0;
    }

    private Optional<String> chosen() {
        List<View.Node> nodes = nodes();
        return nodes.isEmpty() ? Optional.empty() : Optional.of(nodes.get(at()).id());
    }

    private void move(int by) {
        List<View.Node> nodes = nodes();
        if (!nodes.isEmpty()) {
            selected = nodes.get(Math.max(0, Math.min(nodes.size() - 1, at() + by))).id();
        }
    }

    void tell(String what) {
        message = what;
    }

    /** Takes a key: a letter, or a name such as {@code up}, {@code page up} or {@code escape}. */
    Optional<Wish> key(String key) {
        return switch (mode) {
            case LOOK -> look(key);
            case HELP -> {
                mode = Mode.LOOK;
                yield Optional.empty();
            }
            case FILTER -> {
                if (edited(key)) {
                    filter = text;
                }
                yield Optional.empty();
            }
            case REASON -> {
                if (edited(key)) {
                    mode = Mode.CONFIRM;
                }
                yield Optional.empty();
            }
            case CONFIRM -> confirm(key);
        };
    }

    private Optional<Wish> look(String key) {
        message = "";
        switch (key) {
            case "up", "k" -> move(-1);
            case "down", "j" -> move(1);
            case "page up" -> move(-10);
            case "page down" -> move(10);
            case "home" -> move(Integer.MIN_VALUE / 2);
            case "end" -> move(Integer.MAX_VALUE / 2);
            case "s" -> sort = Sort.values()[(sort.ordinal() + 1) % Sort.values().length];
            case "p", " " -> paused = !paused;
            case "?", "h" -> mode = Mode.HELP;
            case "/" -> {
                mode = Mode.FILTER;
                text = filter;
            }
            case "escape" -> filter = "";
            case "d" -> {
                if (chosen().isPresent()) {
                    selected = chosen().get(); // it stays this one, whatever the order becomes
                    mode = Mode.REASON;
                    text = "";
                }
            }
            case "u" -> {
                return chosen().map(Undrain::new);
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

    private Optional<Wish> confirm(String key) {
        mode = Mode.LOOK;
        if (!key.equals("y") && !key.equals("f")) {
            message = "not drained";
            return Optional.empty();
        }
        if (view.nodes().stream().noneMatch(node -> node.id().equals(selected))) {
            message = selected + " has left the list meanwhile";
            return Optional.empty();
        }
        lastDrained = selected;
        return Optional.of(new Drain(selected, text, key.equals("f")));
    }

    /** Takes a key of a line of text; true once the line is ended. */
    private boolean edited(String key) {
        switch (key) {
            case "enter" -> {
                mode = Mode.LOOK;
                return true;
            }
            case "escape" -> mode = Mode.LOOK;
            case "backspace" -> text = text.isEmpty() ? "" : text.substring(0, text.length() - 1);
            default -> text += key.length() == 1 && text.length() < MOST_TEXT ? key : "";
        }
        return false;
    }

    Mode mode() {
        return mode;
    }

    Sort sort() {
        return sort;
    }

    boolean paused() {
        return paused;
    }

    /** The line at the bottom. */
    String prompt() {
        return switch (mode) {
            case FILTER -> "filter: " + text + "_   enter takes it, escape leaves it";
            case REASON ->
                    "drain " + selected + ", why? " + text + "_   enter goes on, escape leaves it";
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
