package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.process.RealScheduler.Place;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The second process of an upgrade is killed early, as often as it may be: the first serves on,
 * alone and whole.
 */
class NewcomerKilledIT {
    private static final int CLIENTS = 8;
    private static final int[] KILLED_AFTER_MS = {60, 250, 450, 770};
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=1,shard=0,hosts=1");

    @TempDir Path folder;
    private final HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "the data"));
    private final AtomicInteger answered = new AtomicInteger();
    private volatile String step = "alone";
    private final Queue<String> lost = new ConcurrentLinkedQueue<>();

    @Test
    void theFirstServesOnWhileItsNewcomersAreKilled() throws Exception {
        Place place =
                Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
        try (node;
                RealScheduler old = RealScheduler.start(place, Optional.empty());
                Load load = new Load(CLIENTS, over -> askOnOneConnection(old, over))) {
            for (int after : KILLED_AFTER_MS) {
                try (RealScheduler newcomer = RealScheduler.begin(place, Optional.empty())) {
                    step = "a newcomer of " + after + " ms";
                    RealScheduler.pause(after);
                    newcomer.signal("KILL");
                    newcomer.exit();
                }
            }
            try (RealScheduler next = RealScheduler.start(place, Optional.empty())) {
                step = "the stop of the first";
                old.signal("TERM");
                assertThat(old.exit()).isZero();
                Site.await(
                        () ->
                                next.output().stream()
                                        .anyMatch(line -> line.contains("scheduler: 1")));
                load.stop();
            }
        }
        assertThat(lost).as("requests with no whole answer").isEmpty();
        assertThat(answered.get()).isGreaterThan(CLIENTS);
    }

    /**
     * Guards against the mark of a dead process being taken for a live one's, whoever has its
     * number now.
     */
    @Test
    void aMarkWithTheNumberOfAProcessThatLivesIsNoProcess() throws Exception {
        Place place =
                Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
        Path directory = Files.createDirectories(place.temporary().resolve("cypressglade-n1"));
        Files.writeString(
                directory.resolve("coming." + ProcessHandle.current().pid() + ".77"),
                "takes clients");
        try (node;
                RealScheduler alone = RealScheduler.start(place, Optional.empty())) {
            assertThat(alone.output())
                    .noneMatch(line -> line.contains("processes serving as this scheduler: 2"));
        }
    }

    /** Asks one request after another; a connection that is closed between two is opened anew. */
    private void askOnOneConnection(RealScheduler scheduler, BooleanSupplier over) {
        try (Socket socket = scheduler.connect()) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            Message answer;
            do {
                socket.getOutputStream()
                        .write(
                                Site.request("GET", READ, HEADERS, "")
                                        .getBytes(StandardCharsets.US_ASCII));
                answer = Message.read(in);
                answered.incrementAndGet();
                RealScheduler.pause(5);
            } while (!over.getAsBoolean() && !"close".equals(answer.headers().get("connection")));
        } catch (EOFException closed) {
            RealScheduler.pause(1); // between two requests, as a stop may
        } catch (IOException broken) {
            lost.add(step + ": " + broken);
        }
    }
}
