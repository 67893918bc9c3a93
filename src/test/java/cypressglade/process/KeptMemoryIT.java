package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What requests leave behind in the heap once they are answered, however many they were. */
class KeptMemoryIT {
    private static final int SENDERS = 20;
    private static final int REQUESTS_A_WRITE = 25;
    private static final int WAIT_MS = 60_000;
    private static final int CALL_LIMIT_MS = 5_000;
    private static final int LONG_ID_BYTES = 15_000;

    /** The room for all that is remembered of requests that are over, and a little of buffers. */
    private static final long MOST_KEPT_KB = 2_500;

    @TempDir Path folder;
    private final AtomicLong sent = new AtomicLong();
    private final AtomicInteger answered = new AtomicInteger();

    /** Guards against refused requests that are kept whole for as long as their clients chose. */
    @Test
    void refusedRequestsLeaveNoMoreThanTheirRoom() throws Exception {
        play(
                60_000,
                number ->
                        request(
                                "/job-read/00000000000000d1/" + hex(number),
                                "units=2,shard=7,hosts=1"));
    }

    /** Guards against volumes that are kept for a minute each, however many are named once. */
    @Test
    void volumesThatAreNamedOnceLeaveNoMoreThanTheirRoom() throws Exception {
        play(
                40_000,
                number ->
                        request(
                                "/job-read/" + hex(number) + "/00000000000000e1",
                                "units=2,shard=7,hosts=1"));
    }

    /** Guards against a log that keeps what clients send in place of an id, whole. */
    @Test
    void rejectedRequestsWithLongIdsLeaveNoMoreThanTheirRoom() throws Exception {
        String malformed =
                "GET /job-read/1/2 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
                        + "i".repeat(LONG_ID_BYTES)
                        + "\r\n\r\n";
        try (SmallSite site =
                new SmallSite(folder, new HttpPeer(HttpPeer.answer(200, "", "data")))) {
            judge(site, 4, 1500, () -> sendOnce(site, malformed, 1500));
        }
    }

    /** Sends one request on each connection, as a rejected one ends it. */
    private void sendOnce(SmallSite site, String request, int count) {
        while (answered.get() < count) {
            try (Socket client = site.scheduler.connect()) {
                SmallSite.send(client, request);
                Message.read(new DataInputStream(client.getInputStream()));
                answered.incrementAndGet();
            } catch (IOException closed) {
                RealScheduler.pause(1);
            }
        }
    }

    /** Guards against a timer that holds a connection's handshake after the connection. */
    @Test
    void closedNbdHandshakesLeaveNothing() throws Exception {
        int port = RealScheduler.freePort();
        Path front = folder.resolve("nbd.json");
        Files.writeString(
                front,
                Files.readString(Path.of("deploy/nbd.json"))
                        .replace("\"enabled\": false", "\"enabled\": true")
                        .replace("127.0.0.1:10809", "127.0.0.1:" + port));
        try (SmallSite site =
                new SmallSite(
                        folder,
                        new HttpPeer(HttpPeer.answer(200, "", "data")),
                        Optional.empty(),
                        KeptMemoryIT::longDeadlines,
                        "--nbd " + front)) {
            judge(site, 8, 30_000, () -> greet(site, port, 30_000));
        }
    }

    /**
     * Connects anew as soon as the greeting has come; each close is a reset, which frees a port.
     */
    private void greet(SmallSite site, int port, int count) {
        while (answered.get() < count && site.scheduler.alive()) {
            try (Socket client = new Socket("127.0.0.1", port)) {
                client.setSoTimeout(CALL_LIMIT_MS);
                if (client.getInputStream().read() >= 0) {
                    answered.incrementAndGet();
                }
                client.setSoLinger(true, 0);
            } catch (IOException closed) {
                RealScheduler.pause(1); // it takes a few at a time
            }
        }
    }

    private static String request(String path, String info) {
        return Site.request("GET", path, Site.headers(WAIT_MS, "standard", info), "");
    }

    private static String hex(long number) {
        return String.format("%016x", number);
    }

    /** Sends requests at full speed, all different, and looks at the heap after their answers. */
    private void play(int count, LongFunction<String> request) throws Exception {
        try (SmallSite site =
                new SmallSite(
                        folder,
                        new HttpPeer(HttpPeer.answer(200, "", "data")),
                        KeptMemoryIT::longDeadlines)) {
            judge(site, SENDERS, count, () -> send(site, count, request));
        }
    }

    /** Has senders play, and compares the heap in use after them with that before. */
    private void judge(SmallSite site, int senders, int count, Runnable play) throws Exception {
        assertThat(site.askUntimed(SmallSite.read(2000)).status()).isEqualTo(200);
        long before = site.scheduler.heapAfterCollectionKb();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < senders; i++) {
            Thread sender = new Thread(play, "sender");
            sender.start();
            threads.add(sender);
        }
        for (Thread sender : threads) {
            sender.join();
        }
        assertThat(site.scheduler.alive()).as("the scheduler is alive").isTrue();
        long kept = site.scheduler.heapAfterCollectionKb() - before;
        System.out.printf("%d answers, %d KB kept%n", answered.get(), kept);
        assertThat(site.scheduler.get("/counters"))
                .contains("refusals_remembered ", "volumes_known ", "heap_used_kb ");
        assertThat(answered.get()).isGreaterThanOrEqualTo(count);
        assertThat(kept).as("KB kept").isLessThan(MOST_KEPT_KB);
        assertThat(site.askUntimed(SmallSite.read(2000)).status()).isEqualTo(200);
    }

    private static String longDeadlines(String text) {
        return text.replaceAll("\"deadlineUs\":\\d+", "\"deadlineUs\":" + WAIT_MS + "000");
    }

    private void send(SmallSite site, int count, LongFunction<String> request) {
        while (answered.get() < count) {
            try (Socket client = site.scheduler.connect()) {
                DataInputStream in =
                        new DataInputStream(new BufferedInputStream(client.getInputStream()));
                while (answered.get() < count) {
                    sendSome(client, in, request);
                }
            } catch (IOException closed) {
                if (!site.scheduler.alive()) {
                    return;
                }
            }
        }
    }

    private void sendSome(Socket client, DataInputStream in, LongFunction<String> request)
            throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < REQUESTS_A_WRITE; i++) {
            text.append(request.apply(sent.incrementAndGet()));
        }
        SmallSite.send(client, text.toString());
        for (int i = 0; i < REQUESTS_A_WRITE; i++) {
            Message.read(in);
            answered.incrementAndGet();
        }
    }
}
