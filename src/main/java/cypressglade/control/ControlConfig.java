package cypressglade.control;

import java.nio.file.Path;

/**
 * What {@code deploy/console.json} says.
 *
 * @param directory the operator's own, mode 0700: the socket is there, and what outlives a restart
 */
public record ControlConfig(Path directory) {
    /** Where the socket is. */
    public Path socket() {
        return directory.resolve("control.sock");
    }
}
