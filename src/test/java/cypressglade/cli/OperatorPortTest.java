package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeList;
import cypressglade.core.NodeList.Entry;
import cypressglade.core.Scheduler.State;
import cypressglade.operate.ManualDrains;
import cypressglade.standin.DoorCall;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The operator port on a real socket: one line a call, bans kept for the next process, slow callers
 * aside.
 */
class OperatorPortTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final Entry NODE =
            new Entry("s-804c1214", ANY, 0, 0, 0, State.READY, 1, Instant.EPOCH);

    @TempDir Path temporary;
    private final List<Boolean> evacuations = new ArrayList<>();

    /** Written on the port's thread, read by the test's. */
    private final List<Integer> processCounts = new CopyOnWriteArrayList<>();

    private OperatorPort start(ManualDrains drains) throws IOException {
        return start(drains, processCounts);
    }

    /**
     * A port whose scheduler only notes what it is told; {@code processes} gets each count of
     * processes.
     */
    private OperatorPort start(ManualDrains drains, List<Integer> processes) throws IOException {
        OperatorPort port =
                new OperatorPort(
                        ANY,
                        "n0",
                        temporary.toString(),
                        drains,
                        new OperatorPort.Scheduler() {
                            @Override
                            public boolean takesClients() {
                                return true;
                            }

                            @Override
                            public void evacuate(boolean away) {
                                evacuations.add(away);
                            }

                            @Override
                            public Optional<String> fleet() {
                                return Optional.empty();
                            }

                            @Override
                            public void setProcessCount(int count) {
                                processes.add(count);
                            }
                        });
        port.start();
        return port;
    }

    private static String call(OperatorPort port, String line) throws IOException {
        return DoorCall.call(port.address(), line);
    }

    @Test
    void aBanOutlivesTheProcessThroughTheSharedDirectory() throws IOException {
        Map<String, State> before = new HashMap<>();
        ManualDrains first =
                new ManualDrains(
                        list -> list.entries().forEach(e -> before.put(e.id(), e.state())));
        first.updateNodes(new NodeList(1, true, List.of(NODE)));
        try (OperatorPort port = start(first)) {
            assertThat(call(port, "exclude s-unknown")).startsWith("400 ");
            assertThat(call(port, "exclude s-804c1214")).startsWith("200 ");
            assertThat(call(port, "exclude s-804c1214")).startsWith("200 ");
        }
        Map<String, State> after = new HashMap<>();
        ManualDrains upgraded =
                new ManualDrains(list -> list.entries().forEach(e -> after.put(e.id(), e.state())));
        try (OperatorPort port = start(upgraded)) {
            upgraded.updateNodes(new NodeList(1, true, List.of(NODE)));
            assertThat(after).containsEntry("s-804c1214", State.DRAINING);
            assertThat(call(port, "include s-804c1214")).startsWith("200 ");
            assertThat(after).containsEntry("s-804c1214", State.READY);
        }
        ManualDrains third = new ManualDrains(list -> {});
        try (OperatorPort port = start(third)) {
            assertThat(third.bans()).as("the include is kept too").isEmpty();
            assertThat(call(port, "include s-804c1214"))
                    .as("not listed in this life")
                    .startsWith("400 ");
        }
    }

    @Test
    void callersThatSayNothingKeepNoOneWaiting() throws IOException {
        ManualDrains drains = new ManualDrains(list -> {});
        try (OperatorPort port = start(drains);
                Socket silent = new Socket(port.address().getAddress(), port.address().getPort());
                Socket half = new Socket(port.address().getAddress(), port.address().getPort())) {
            half.getOutputStream().write("evac".getBytes(StandardCharsets.US_ASCII));
            assertThat(call(port, "evacuate")).startsWith("200 ");
            assertThat(call(port, "activate")).startsWith("200 ");
            assertThat(call(port, "readyz")).startsWith("200 ");
            assertThat(evacuations).containsExactly(true, false);
            assertThat(silent.isConnected()).isTrue();
        }
    }

    @Test
    void twoProcessesCountTwoUntilTheFirstIsGone() throws Exception {
        OperatorPort first = start(new ManualDrains(list -> {}));
        assertThat(processCounts).as("alone").isEmpty();
        List<Integer> second = new CopyOnWriteArrayList<>();
        try (OperatorPort next = start(new ManualDrains(list -> {}), second)) {
            assertThat(second).containsExactly(2);
            assertThat(call(next, "readyz"))
                    .as("the newcomer answers beside the first")
                    .startsWith("200 ");
            cypressglade.standin.Site.await(() -> processCounts.equals(List.of(2)));
            first.close();
            cypressglade.standin.Site.await(() -> second.equals(List.of(2, 1)));
        }
    }
}
