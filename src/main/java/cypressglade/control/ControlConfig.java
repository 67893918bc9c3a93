package cypressglade.control;

import java.nio.file.Path;

/**
 * The settings of the control socket, from a file such as {@code deploy/console.json}.
 *
 * @param directory holds the socket and the manual drains that outlast a restart; owned by the
 *     operator, mode 0700
 */
public record ControlConfig(Path directory) {
    /** The path of the socket. */
    public Path socket() {
        return directory.resolve("control.sock");
    }
}
