package cypressglade.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Prints a completion for bash, made of the commands as they are: names, options, and nodes that
 * run.
 */
@Parameters(
        commandDescription =
                "print a completion script for bash: source <(cypressglade completion)")
final class CompletionCommand implements Asking {
    private static final String SCRIPT =
            """
            _cypressglade() {
              local word="${COMP_WORDS[COMP_CWORD]}" words=""
              case "${COMP_WORDS[COMP_CWORD-1]}" in
                --console|--socket|--config|--nbd|--peers) \
            COMPREPLY=($(compgen -f -- "$word")); return ;;
              esac
              if [ "$COMP_CWORD" -eq 1 ]; then
                words="%s"
              else
                case "${COMP_WORDS[1]}" in
            %s    esac
              fi
              COMPREPLY=($(compgen -W "$words" -- "$word"))
            }
            complete -F _cypressglade cypressglade
            """;

    /** Where a node is wanted, those that the scheduler knows now. */
    private static final String NODES =
            " $(cypressglade nodes 2>/dev/null | awk 'NR>1 {print $1}')";

    private final JCommander commands;

    CompletionCommand(JCommander commands) {
        this.commands = commands;
    }

    @Override
    public void run(PrintStream out) {
        Map<String, String> options = new TreeMap<>();
        commands.getCommands().forEach((name, command) -> options.put(name, options(command)));
        String cases =
                options.entrySet().stream()
                        .map(
                                command ->
                                        "      "
                                                + command.getKey()
                                                + ") words=\""
                                                + command.getValue()
                                                + (command.getKey().endsWith("drain") ? NODES : "")
                                                + "\" ;;\n")
                        .collect(Collectors.joining());
        out.printf(SCRIPT, String.join(" ", options.keySet()), cases);
    }

    private static String options(JCommander command) {
        return command.getParameters().stream()
                .flatMap(parameter -> Stream.of(parameter.getParameter().names()))
                .sorted()
                .collect(Collectors.joining(" "));
    }
}
