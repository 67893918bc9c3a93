package cypressglade.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One call at the operators' door, as the platform makes it: a line out, a line back, within 10 s.
 */
public final class DoorCall {
    private DoorCall() {}

    public static String call(InetSocketAddress door, String line) throws IOException {
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }
}
