package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.process.RealScheduler.Place;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The second process of an upgrade is killed early, as often as it may be: the first serves on, alone and whole. */
class NewcomerKilledIT {
    private static final int CLIENTS = 8;
    private static final int[] KILLED_AFTER_MS = {60, 250, 450, 770};
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=1,shard=0,hosts=1");

    @TempDir
    Path folder;
    private final HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "the data"));
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile String step = "alone";
    private final Queue<String> lost = new ConcurrentLinkedQueue<>();

    @Test
    void theFirstServesOnWhileItsNewcomersAreKilled() throws Exception {
        Place place = Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
        List<Thread> clients = new ArrayList<>();
        try (node; RealScheduler old = RealScheduler.start(place, Optional.empty())) {
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(() -> load(old), "client");
                clients.add(client);
                client.start();
            }
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
                Site.await(() -> next.output().stream().anyMatch(line -> line.contains("scheduler: 1")));
                stopClients(clients);
            }
        } finally {
            stopClients(clients);
        }
        assertThat(lost).as("requests with no whole answer").isEmpty();
        assertThat(answered.get()).isGreaterThan(CLIENTS);
    }

    private void stopClients(List<Thread> clients) throws InterruptedException {
        over.set(true);
        for (Thread client : clients) {
            client.join();
        }
    }

    /** Guards against the mark of a dead process being taken for a live one's, whoever has its number now. */
    @ParameterizedTest
    @ValueSource(longs = {1})
    void aMarkWithTheNumberOfAProcessThatLivesIsNoProcess(long pid) throws Exception {
        Place place = Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
        Path directory = java.nio.file.Files.createDirectories(place.temporary().resolve("cypressglade-n1"));
        java.nio.file.Files.writeString(directory.resolve("coming." + pid + ".77"), "takes clients");
        try (node; RealScheduler alone = RealScheduler.start(place, Optional.empty())) {
            assertThat(alone.output()).noneMatch(line -> line.contains("processes serving as this scheduler: 2"));
        }
    }

    /** Asks one request after another; a connection that is closed between two is opened anew. */
    private void load(RealScheduler scheduler) {
        while (!over.get()) {
            try (Socket socket = scheduler.connect()) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                Message answer;
                do {
                    socket.getOutputStream().write(Site.request("GET", READ, HEADERS, "")
                            .getBytes(StandardCharsets.US_ASCII));
                    answer = Message.read(in);
                    answered.incrementAndGet();
                    RealScheduler.pause(5);
                } while (!over.get() && !"close".equals(answer.headers().get("connection")));
            } catch (java.io.EOFException closed) {
                continue; // between two requests, as a stop may
            } catch (IOException broken) {
                if (!over.get()) {
                    lost.add(step + ": " + broken);
                }
            }
        }
    }
}
