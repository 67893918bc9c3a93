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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A client that has closed its connection gets no further attempt, whatever lies unread on it. */
class LeavingClientIT {
    private static final int CLIENTS = 12;
    private static final int WAIT_MS = 1800;
    private static final long TURNED_AWAY_AFTER_MS = 150;
    private static final long STAY_MS = 60;

    /** An attempt that begins later than this after the close breaks the rule. */
    private static final long ALLOWED_NANOS = 100_000_000;

    /** The longest that an attempt could begin after its client has left. */
    private static final long SETTLE_MS = 1500;

    /** Input behind a request that the program has to read, so that the request is not refused. */
    private static final int READ_AHEAD_BYTES = 40_000;

    private static final int REQUESTS_AHEAD = 2000;
    private static final String TRACE_ID = "x-trace-id";

    @TempDir Path folder;

    private record Attempt(String id, long nanos) {}

    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final AtomicInteger clientsLeft = new AtomicInteger();

    /** Guards against attempts for clients that closed with unread requests behind the first. */
    @ParameterizedTest
    @CsvSource({
        "0, false",
        "40000, false",
        "300000, false",
        "3000000, false",
        "40000, true",
        "300000, true"
    })
    void noAttemptBeginsAfterItsClientHasLeft(int bytesBehind, boolean reset) throws Exception {
        try (SmallSite site =
                new SmallSite(
                        folder,
                        (request, out) -> {
                            attempts.add(
                                    new Attempt(
                                            request.headers().get(TRACE_ID), System.nanoTime()));
                            Thread.sleep(TURNED_AWAY_AFTER_MS);
                            HttpPeer.answer(503, "X-Never-Ran: 1\r\n", "").answer(request, out);
                        })) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(() -> sendAndLeave(site, bytesBehind, reset), "client");
                client.start();
                clients.add(client);
                RealScheduler.pause(10);
            }
            for (Thread client : clients) {
                client.join();
            }
            RealScheduler.pause(SETTLE_MS);
        }
        assertThat(clientsLeft).hasValue(CLIENTS);
        if (bytesBehind <= READ_AHEAD_BYTES) { // with more behind it, a request may be refused
            assertThat(attempts).as("attempts").isNotEmpty();
        }
        assertThat(attempts)
                .as("attempts begun over 0.1 s after the close")
                .allSatisfy(
                        attempt ->
                                assertThat(attempt.nanos())
                                        .isLessThan(
                                                leftAt.getOrDefault(attempt.id(), 0L)
                                                        + ALLOWED_NANOS));
    }

    /** Guards against requests that get no answer where many are sent ahead. */
    @Test
    void requestsThatAreSentFarAheadAreAllAnswered() throws Exception {
        try (SmallSite site = new SmallSite(folder, HttpPeer.answer(200, "", "data"));
                Socket client = site.scheduler.connect()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < REQUESTS_AHEAD; i++) {
                requests.append(SmallSite.read(WAIT_MS));
            }
            Thread writer =
                    new Thread(() -> sendUntilClosed(client, requests.toString()), "writer");
            writer.start();
            DataInputStream in = new DataInputStream(client.getInputStream());
            int status = 0;
            for (int i = 0; i < REQUESTS_AHEAD; i++) {
                status = Message.read(in).status();
                assertThat(status).isIn(200, 503);
            }
            assertThat(status).as("of the last, with nothing behind it").isEqualTo(200);
            writer.join();
        }
    }

    private void sendAndLeave(SmallSite site, int bytesBehind, boolean reset) {
        String first = SmallSite.read(WAIT_MS);
        List<String> ids = new ArrayList<>(List.of(id(first)));
        StringBuilder requests = new StringBuilder(first);
        while (requests.length() < first.length() + bytesBehind) {
            String next = SmallSite.read(WAIT_MS);
            ids.add(id(next));
            requests.append(next);
        }
        try {
            Socket client = site.scheduler.connect();
            Thread writer =
                    new Thread(() -> sendUntilClosed(client, requests.toString()), "writer");
            writer.start();
            RealScheduler.pause(STAY_MS);
            client.setSoLinger(reset, 0);
            client.close();
            long now = System.nanoTime();
            ids.forEach(id -> leftAt.put(id, now));
            clientsLeft.incrementAndGet();
            writer.join();
        } catch (IOException | InterruptedException failed) {
            throw new IllegalStateException(failed);
        }
    }

    private static void sendUntilClosed(Socket client, String requests) {
        try {
            SmallSite.send(client, requests);
        } catch (IOException closed) {
            // the client has left
        }
    }

    private static String id(String request) {
        return request.replaceAll("(?s).*X-Trace-Id: (\\S+).*", "$1");
    }
}
