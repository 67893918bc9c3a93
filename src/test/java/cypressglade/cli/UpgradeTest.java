package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.DoorCall;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * An upgrade as the platform makes it: a second process with the same client address and another
 * door, beside the first, sharing {@code $TMPDIR}. Both listen, and the ban given to the first
 * holds in the second.
 */
class UpgradeTest {
    @TempDir Path folder;
    private final List<Process> started = new ArrayList<>();

    @AfterEach
    void stop() throws InterruptedException {
        for (Process process : started) {
            process.destroy();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Starts {@code serve} as deploy/run.sh does it, and waits for its door; fails where it does
     * not come.
     */
    private void serve(Path config, int door) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx64m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName(),
                                "serve")
                        .redirectErrorStream(true);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("ROUTER_OPERATOR", "127.0.0.1:" + door);
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        started.add(process);
        BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line;
        StringBuilder seen = new StringBuilder();
        while ((line = out.readLine()) != null && !line.startsWith("operators' door on ")) {
            seen.append(line).append('\n');
        }
        assertThat(line).as("the process said:\n" + seen).isNotNull();
        Thread drainer = new Thread(() -> out.lines().forEach(ignored -> {}), "drain output");
        drainer.setDaemon(true);
        drainer.start();
    }

    private static String call(int door, String line) throws IOException {
        return DoorCall.call(new InetSocketAddress("127.0.0.1", door), line);
    }

    /** Guards against connections that the old process takes and does not live to serve. */
    @Test
    void aProcessThatIsRelievedLeavesThePortAtOnce() throws Exception {
        InetSocketAddress clients = new InetSocketAddress("127.0.0.1", freePort());
        Path config = config(clients.getPort());
        serve(config, freePort());
        serve(config, freePort());
        Process old = started.get(0);
        old.destroy();
        int inTurn = 0;
        int lost = 0;
        while (inTurn < 50
                && old.isAlive()) { // while both listen, half of the answers come from the old one
            try {
                inTurn = health(clients).startsWith("HTTP/1.1 200 ") ? inTurn + 1 : 0;
            } catch (IOException reset) {
                lost++;
            }
        }
        assertThat(inTurn)
                .as("new connections that the next process took, one after another")
                .isEqualTo(50);
        assertThat(old.isAlive()).as("the old process still serves those that it has").isTrue();
        assertThat(lost)
                .as("of one connection at a time, in the moment in which the listener closes")
                .isLessThanOrEqualTo(1);
    }

    private static String health(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(
                            "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            String first =
                    new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            if (first == null) {
                throw new IOException("no answer");
            }
            return first;
        }
    }

    private Path config(int clients) throws IOException {
        return Files.writeString(
                folder.resolve("config.json"),
                Files.readString(Path.of("deploy/config.example.json"))
                        .replace(
                                "\"listen\":\"127.0.0.1:0\"",
                                "\"listen\":\"127.0.0.1:" + clients + "\"")
                        .replace("127.0.0.1:8500", "127.0.0.1:" + freePort()));
    }

    @Test
    void twoProcessesListenOnOnePortAndTheSecondKeepsTheBan() throws Exception {
        int clients = freePort();
        int firstDoor = freePort();
        int secondDoor = freePort();
        Path config = config(clients);
        serve(config, firstDoor);
        assertThat(call(firstDoor, "readyz")).startsWith("200 ");
        assertThat(call(firstDoor, "exclude s-0")).startsWith("200 excluded s-0");

        serve(config, secondDoor);
        assertThat(call(secondDoor, "readyz"))
                .as("the second listens beside the first")
                .startsWith("200 ");
        try (Socket client = new Socket()) {
            client.connect(new InetSocketAddress("127.0.0.1", clients), 5000);
            assertThat(client.isConnected()).isTrue();
        }
        assertThat(call(secondDoor, "include s-0"))
                .as("the ban came over")
                .isEqualTo("200 included s-0");
    }
}
