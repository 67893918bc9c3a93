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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process that gets its core late, between waiting for events and acting: what came meanwhile
 * must count before a timer closes a connection, and before an attempt begins.
 */
class HeldUpIT {
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=1,shard=0,hosts=1");
    private static final String LONG_HEADERS =
            Site.headers(8000, "standard", "units=1,shard=0,hosts=1");
    private static final int CLIENTS = 200;

    /** Idle connections are closed after 2.2 s; requests are sent round that time. */
    private static final int FIRST_MS = 2150;

    private static final int SPREAD_MS = 300;
    private static final int STEP_MS = 10;

    /**
     * Whoever is closed so soon after he asked may have crossed the close, and asks again
     * elsewhere.
     */
    private static final long CROSSING_MS = 20;

    private static final long NODE_MS = 30;
    private static final int LEAVERS = 40;
    private static final long LEAVE_STEP_MS = 25;
    private static final long SETTLE_MS = 1500;
    private static final long LATE_START_MS = 100;
    private static final int SLOW_REQUESTS = 10;

    @TempDir Path folder;
    private final ConcurrentMap<String, Long> begun = new ConcurrentHashMap<>();
    private final HttpPeer node =
            new HttpPeer(
                    (request, out) -> {
                        begun.put(request.headers().get("x-trace-id"), System.nanoTime());
                        RealScheduler.pause(NODE_MS);
                        HttpPeer.answer(200, "", "the data").answer(request, out);
                    });
    private final ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
    private FaultLibrary faults;
    private RealScheduler scheduler;

    @BeforeEach
    void start() throws Exception {
        faults = new FaultLibrary(Files.createDirectory(folder.resolve("faults")));
        Place place =
                Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
        scheduler = RealScheduler.start(place, Optional.of(faults));
    }

    @AfterEach
    void stop() throws Exception {
        threads.shutdownNow();
        scheduler.close();
        node.close();
    }

    /** Guards against a close by what was known before the process was held up. */
    @Test
    void aRequestThatCameWhileTheProcessWasHeldUpIsNotClosedUnanswered() throws Exception {
        List<Future<String>> ends = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int start = i * STEP_MS;
            int rest = FIRST_MS + i * 37 % SPREAD_MS;
            ends.add(
                    threads.submit(
                            () -> {
                                RealScheduler.pause(start);
                                return askTwice(rest);
                            }));
        }
        RealScheduler.pause(FIRST_MS / 2);
        faults.on("stall");
        List<String> lost = new ArrayList<>();
        for (Future<String> end : ends) {
            String ended = end.get(20, TimeUnit.SECONDS);
            if (!ended.isEmpty()) {
                lost.add(ended);
            }
        }
        assertThat(lost).as("requests that were here before the close and got no answer").isEmpty();
    }

    /** Asks, rests, and asks again; how that was lost, empty where it was not. */
    private String askTwice(int restMs) throws IOException {
        try (Socket client = scheduler.connect()) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            send(client, Site.request("GET", READ, HEADERS, ""));
            Message.read(in);
            RealScheduler.pause(restMs);
            if (in.available() > 0 || closed(client)) {
                return ""; // the scheduler ended it before the request was sent
            }
            send(client, Site.request("GET", READ, HEADERS, ""));
            long sent = System.nanoTime();
            try {
                Message.read(in);
                return "";
            } catch (IOException unanswered) {
                long here = (System.nanoTime() - sent) / 1_000_000;
                return here < CROSSING_MS
                        ? ""
                        : "after a rest of "
                                + restMs
                                + " ms, here for "
                                + here
                                + " ms: "
                                + unanswered;
            }
        }
    }

    private static boolean closed(Socket client) throws IOException {
        client.setSoTimeout(1);
        try {
            return client.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException open) {
            client.setSoTimeout(5000);
            return false;
        }
    }

    /**
     * Guards against an attempt for a client whose end had come before the process acted.
     * Connections to the node stand ready, so that nothing but the hold-up lies between the order
     * to send and the first byte.
     */
    @Test
    void nothingBeginsForAClientThatLeftWhileTheProcessWasHeldUp() throws Exception {
        askAtOnce(LEAVERS);
        faults.on("late");
        ConcurrentMap<String, Long> left = new ConcurrentHashMap<>();
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < LEAVERS; i++) {
            String id = "left" + i;
            long stay = i * LEAVE_STEP_MS;
            clients.add(
                    threads.submit(
                            () -> {
                                try (Socket client = scheduler.connect()) {
                                    send(
                                            client,
                                            Site.request(
                                                    "GET",
                                                    READ,
                                                    LONG_HEADERS.replace("(new)", id),
                                                    ""));
                                    RealScheduler.pause(stay);
                                }
                                left.put(id, System.nanoTime());
                                return null;
                            }));
        }
        for (Future<?> client : clients) {
            client.get(20, TimeUnit.SECONDS);
        }
        faults.off("late");
        RealScheduler.pause(SETTLE_MS);
        List<String> late = new ArrayList<>();
        left.forEach(
                (id, when) -> {
                    long after = begun.containsKey(id) ? (begun.get(id) - when) / 1_000_000 : 0;
                    if (after > LATE_START_MS) {
                        late.add(id + " began " + after + " ms after its client had left");
                    }
                });
        assertThat(late).isEmpty();
    }

    /** Guards against requests that are refused because their callback was held up after a read. */
    @Test
    void requestsAreServedThoughTheProcessIsHeldUpAfterEachRead() throws Exception {
        faults.on("slow");
        for (int i = 0; i < SLOW_REQUESTS; i++) {
            try (Socket client = scheduler.connect()) {
                send(client, Site.request("GET", READ, LONG_HEADERS, ""));
                int status = Message.read(new DataInputStream(client.getInputStream())).status();
                String why = status == 200 ? "" : scheduler.get("/recent");
                assertThat(status).as("request %d, %s", i, why).isEqualTo(200);
            }
        }
    }

    /** Has so many requests open at once, and with them as many connections to the node. */
    private void askAtOnce(int count) throws Exception {
        List<Future<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(
                    threads.submit(
                            () -> {
                                try (Socket client = scheduler.connect()) {
                                    send(client, Site.request("GET", READ, LONG_HEADERS, ""));
                                    return Message.read(
                                                    new DataInputStream(client.getInputStream()))
                                            .status();
                                }
                            }));
        }
        for (Future<Integer> answer : answers) {
            assertThat(answer.get(20, TimeUnit.SECONDS)).isEqualTo(200);
        }
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
