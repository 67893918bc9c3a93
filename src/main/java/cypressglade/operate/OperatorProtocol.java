package cypressglade.operate;

import cypressglade.operate.ManualDrains.Kind;
import java.util.Locale;
import java.util.Optional;

/**
 * The calls of the operators' door: one line in, one line out, {@code 200} for yes and {@code 400}
 * for no. No I/O: {@link #answer} is handed a line and what it acts on, and returns the line to
 * send back.
 *
 * <p>A call that cannot be read gets a no that names what was wrong and what to send instead, and
 * changes nothing.
 */
public final class OperatorProtocol {
    /** Longer lines are no call of this door; the rest of them is not read. */
    public static final int MOST_LINE = 256;

    /** What the calls act on; each returns once what it did holds. */
    public interface Actions {
        /** Whether this process takes clients. */
        boolean takesClients();

        /**
         * Nothing new to a node, over its restarts, until {@link #include}; UNKNOWN_NODE if
         * unlisted.
         */
        ManualDrains.Result exclude(String node);

        /** Takes a ban back; ALREADY where there was none. */
        ManualDrains.Result include(String node);

        /** Sends clients away, without exiting. */
        void evacuate();

        /** Ends the drain: clients may come again. */
        void activate();

        /** What this process sees of the fleet, as one line; nothing where no view is kept. */
        Optional<String> fleet();
    }

    private final OperatorProtocol.Actions acts;

    public OperatorProtocol(OperatorProtocol.Actions acts) {
        this.acts = acts;
    }

    /**
     * Answers one call.
     *
     * @param line what came, without its line end
     * @return the answer, without its line end
     */
    public String answer(String line) {
        String[] words = line.strip().split("\\s+");
        String verb = words[0].toLowerCase(Locale.ROOT);
        int wanted = verb.equals("exclude") || verb.equals("include") ? 2 : 1;
        if (words.length != wanted) {
            return wanted == 2
                    ? "400 " + verb + " takes one storage node id: " + verb + " ID"
                    : unknown(line);
        }
        return switch (verb) {
            case "readyz" -> acts.takesClients() ? "200 ready" : "400 not taking clients yet";
            case "exclude" -> said(acts.exclude(words[1]), "excluded");
            case "include" -> said(acts.include(words[1]), "included");
            case "evacuate" -> {
                acts.evacuate();
                yield "200 evacuating";
            }
            case "activate" -> {
                acts.activate();
                yield "200 active";
            }
            case "fleet" ->
                    acts.fleet()
                            .map(view -> "200 " + view)
                            .orElse(
                                    "400 no fleet view is kept here: "
                                            + "set \"view\": true in the file that --peers names, "
                                            + "and restart");
            default -> unknown(line);
        };
    }

    private static String unknown(String line) {
        return "400 unknown call '"
                + clip(line)
                + "': send readyz, exclude ID, include ID, evacuate, activate or fleet";
    }

    private static String said(ManualDrains.Result result, String done) {
        return result.kind() == Kind.UNKNOWN_NODE || result.kind() == Kind.AMBIGUOUS
                ? "400 no storage node "
                        + clip(result.node())
                        + " in the list; known: "
                        + String.join(" ", result.names())
                : "200 "
                        + done
                        + " "
                        + result.node()
                        + (result.kind() == Kind.ALREADY ? " (already)" : "");
    }

    private static String clip(String text) {
        return (text.length() > 40 ? text.substring(0, 40) + "..." : text)
                .replaceAll("\\p{Cntrl}", "?");
    }
}
