package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An unsafe write runs once under its id, whenever and wherever a copy of it comes. */
class RepeatedIdIT {
    private static final int WRITES = 6;
    private static final int WAIT_MS = 700;
    private static final long LEAVES_AFTER_MS = 100;
    private static final long NODE_TAKES_MS = 2000;
    private static final int CONFLICT = 409;

    @TempDir Path folder;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private HttpPeer.Script countingNode() {
        return (request, out) -> {
            runs.merge(request.headers().getOrDefault("x-trace-id", "none"), 1, Integer::sum);
            Thread.sleep(request.first().startsWith("PUT") ? NODE_TAKES_MS : 0);
            HttpPeer.answer(200, "", "done").answer(request, out);
        };
    }

    private static void sendAndLeave(RealScheduler scheduler, String write) throws IOException {
        try (Socket client = scheduler.connect()) {
            SmallSite.send(client, write);
            RealScheduler.pause(LEAVES_AFTER_MS);
        }
    }

    /** Guards against forgetting an id while the copy of its request may still come. */
    @ParameterizedTest
    @ValueSource(longs = {50, 1000, 1900, 3000})
    void idThatComesAgainAfterItsClientLeftRunsOnce(long afterMs) throws Exception {
        try (SmallSite site = new SmallSite(folder, countingNode())) {
            assertThat(site.ask(SmallSite.read(WAIT_MS)).status()).isEqualTo(200);
            List<String> writes = new ArrayList<>();
            for (int i = 0; i < WRITES; i++) {
                writes.add(SmallSite.write(WAIT_MS, "once"));
                sendAndLeave(site.scheduler, writes.get(i));
            }
            RealScheduler.pause(afterMs);
            for (String write : writes) {
                assertThat(site.ask(write).status()).isEqualTo(CONFLICT);
            }
            assertThat(runs.values()).as("runs of each id").containsOnly(1);
        }
    }

    /** Guards against ids that each process of an upgrade knows for itself only. */
    @Test
    void idThatComesAgainAtTheOtherProcessOfAnUpgradeRunsOnce() throws Exception {
        try (SmallSite site = new SmallSite(folder, countingNode());
                RealScheduler next = RealScheduler.start(site.place, Optional.empty())) {
            assertThat(next.alive()).isTrue();
            for (int i = 0; i < 2 * WRITES; i++) {
                String write = SmallSite.write(WAIT_MS, "once");
                sendAndLeave(site.scheduler, write);
                try (Socket again = site.scheduler.connect()) { // at either process: one port
                    SmallSite.send(again, write);
                    assertThat(Message.read(new DataInputStream(again.getInputStream())).status())
                            .isIn(CONFLICT, 503);
                }
            }
            assertThat(runs.values()).as("runs of each id").containsOnly(1);
        }
    }
}
