package cypressglade.standin;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The state of a TCP connection by the kernel's own tables, which no thread has to read first. */
final class TcpState {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final String ESTABLISHED = "01";

    private TcpState() {}

    /** Whether neither side has ended its sending, nor reset the connection. */
    static boolean isOpenBothWays(Socket socket) throws IOException {
        String local = ":%04X ".formatted(socket.getLocalPort());
        String remote = ":%04X ".formatted(socket.getPort());
        for (Path table : TABLES) {
            for (String line : Files.readAllLines(table)) {
                // sl: local_address:port remote_address:port state ...
                int at = line.indexOf(local);
                int end = line.indexOf(remote, at + 1);
                if (at >= 0
                        && end >= 0
                        && line.startsWith(ESTABLISHED, end + remote.length())
                        && line.indexOf(':') < at) {
                    return true;
                }
            }
        }
        return false;
    }
}
