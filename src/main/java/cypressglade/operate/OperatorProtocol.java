package cypressglade.operate;

import cypressglade.operate.ManualDrains.Kind;
import java.util.Locale;
import java.util.Optional;

/**
 * The commands of the operator port: one line in, one line out, which begins with {@code 200} for
 * success and {@code 400} for a refusal. No I/O: {@link #answer} takes a line and returns the line
 * to send back.
 *
 * <p>A malformed command changes nothing; the answer says what was wrong and what to send instead.
 */
public final class OperatorProtocol {
    /** Bound of a command line in bytes; the rest of a longer line is not read. */
    public static final int MAX_LINE_BYTES = 256;

    /** The operations behind the commands; each returns once its effect is in force. */
    public interface Actions {
        /** Whether this process accepts clients. */
        boolean takesClients();

        /**
         * Bans a node: it gets no new attempts, also after its restarts, until {@link #include};
         * UNKNOWN_NODE if it is not listed.
         */
        ManualDrains.Result exclude(String node);

        /** Removes a ban; ALREADY where there is none. */
        ManualDrains.Result include(String node);

        /** Drains this instance: sends its clients to others, without exiting. */
        void evacuate();

        /** Ends the evacuation: this instance accepts clients again. */
        void activate();

        /** This process's view of the fleet as one line; empty where it keeps no view. */
        Optional<String> fleet();
    }

    private final Actions actions;

    /** Creates the protocol over the operations that its commands execute. */
    public OperatorProtocol(Actions actions) {
        this.actions = actions;
    }

    /**
     * Executes one command.
     *
     * @param line the command, without its line end
     * @return the answer, without its line end
     */
    public String answer(String line) {
        String[] words = line.strip().split("\\s+");
        String verb = words[0].toLowerCase(Locale.ROOT);
        int expectedWords = verb.equals("exclude") || verb.equals("include") ? 2 : 1;
        if (words.length != expectedWords) {
            return expectedWords == 2
                    ? "400 " + verb + " takes one storage node id: " + verb + " ID"
                    : unknownCall(line);
        }
        return switch (verb) {
            case "readyz" -> actions.takesClients() ? "200 ready" : "400 not taking clients yet";
            case "exclude" -> resultLine(actions.exclude(words[1]), "excluded");
            case "include" -> resultLine(actions.include(words[1]), "included");
            case "evacuate" -> {
                actions.evacuate();
                yield "200 evacuating";
            }
            case "activate" -> {
                actions.activate();
                yield "200 active";
            }
            case "fleet" ->
                    actions.fleet()
                            .map(view -> "200 " + view)
                            .orElse(
                                    "400 no fleet view is kept here: "
                                            + "set \"view\": true in the file that --peers names, "
                                            + "and restart");
            default -> unknownCall(line);
        };
    }

    private static String unknownCall(String line) {
        return "400 unknown call '"
                + clip(line)
                + "': send readyz, exclude ID, include ID, evacuate, activate or fleet";
    }

    private static String resultLine(ManualDrains.Result result, String done) {
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
