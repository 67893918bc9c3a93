package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A few clients that send at full speed take no answers from the others. */
class FloodIT {
    private static final int OTHERS = 20;
    private static final int WAIT_MS = 1000;
    private static final long BETWEEN_MS = 40;
    private static final long FLOOD_MS = 4500;
    private static final int REQUESTS_A_WRITE = 50;
    private static final int NOISE_SENDERS = 3;
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final String OTHER_VOLUME = "/000000000000f00d/";
    private static final int READ_BYTES = 64 * 1024;

    @TempDir Path folder;
    private SmallSite site;
    private HttpPeer.Script script = HttpPeer.answer(200, "", "data");
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    /** Guards against answering one connection's requests while the others wait for their turn. */
    @ParameterizedTest
    @CsvSource({
        "/healthz, 1, true",
        "/healthz, 6, true",
        "/healthz, 40, true",
        "/healthz, 6, false",
        "/counters, 1, true",
        "/counters, 6, true",
        "/recent, 6, true",
        "/no-class/0000000000000001/0000000000000002, 6, true",
        "reads, 6, true",
        "new names, 6, true"
    })
    void othersAreServedInTimeBesideClientsThatSendAtFullSpeed(
            String path, int senders, boolean reading) throws Exception {
        String name = path + " from " + senders + ", reading " + reading;
        play(name, senders, over -> flood(over, () -> "", () -> requests(path), reading));
    }

    /** What senders that make no request of it, or no sound one, write at full speed. */
    private enum Noise {
        EMPTY_LINES("\r\n"),
        LINE_FEEDS("\n"),
        CARRIAGE_RETURNS("\r"),
        NULS("\0"),
        HALF_HEADS("\r\n", "GET /healthz HTTP/1.1\r\nHost: x\r\nA: "),
        FIELDS("a: b\r\n", "GET /healthz HTTP/1.1\r\n"),
        TINY_CHUNKS("1\r\nx\r\n", "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        LONG_CHUNK_EXTENSIONS(
                "1;" + "e".repeat(1000), "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        EMPTY_LINES_BEHIND_A_REQUEST("\r\n");

        private final String repeated;
        private final String start;

        Noise(String repeated) {
            this(repeated, "");
        }

        Noise(String repeated, String start) {
            this.repeated = repeated;
            this.start = start;
        }

        /** What a sender writes once, before what it repeats. */
        String first() {
            return this == EMPTY_LINES_BEHIND_A_REQUEST ? SmallSite.read(WAIT_MS) : start;
        }

        String block() {
            return repeated.repeat(BLOCK_BYTES / repeated.length());
        }
    }

    /** Guards against work for one sender that ends only when the sender pauses. */
    @ParameterizedTest
    @EnumSource(
            value = Noise.class,
            names = {"TINY_CHUNKS", "LONG_CHUNK_EXTENSIONS"},
            mode = EnumSource.Mode.EXCLUDE)
    void othersAreServedInTimeBesideClientsThatSendNoRequestsAtFullSpeed(Noise noise)
            throws Exception {
        playNoise(noise);
    }

    /** Guards against clients that come anew at full speed, each with a body that is rejected. */
    @ParameterizedTest
    @EnumSource(
            value = Noise.class,
            names = {"TINY_CHUNKS", "LONG_CHUNK_EXTENSIONS"})
    void othersAreServedInTimeBesideBodiesThatAreRejectedAtFullSpeed(Noise noise) throws Exception {
        playNoise(noise);
    }

    private void playNoise(Noise noise) throws Exception {
        String block = noise.block();
        play(noise.name(), NOISE_SENDERS, over -> flood(over, noise::first, () -> block, true));
    }

    /** What a node writes without end, as an answer to a request of one volume. */
    private enum Pour {
        INTERIM_ANSWERS("", "HTTP/1.1 102 Processing\r\n\r\n"),
        EMPTY_LINES("", "\r\n"),
        HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        BODY("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"),
        ERROR_BODY("HTTP/1.1 500 X\r\nConnection: close\r\n\r\n", "x");

        private final String start;
        private final String repeated;

        Pour(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }

        void answer(Message request, DataOutputStream out) throws Exception {
            if (!request.first().contains(OTHER_VOLUME)) {
                HttpPeer.answer(200, "", "data").answer(request, out);
                return;
            }
            String block = repeated.repeat(BLOCK_BYTES / repeated.length());
            HttpPeer.write(out, start);
            while (true) { // until the connection is closed
                HttpPeer.write(out, block);
            }
        }
    }

    /** Guards against work for one node that ends only when the node pauses. */
    @ParameterizedTest
    @EnumSource(Pour.class)
    void othersAreServedInTimeBesideAnswersThatPourAtFullSpeed(Pour pour) throws Exception {
        script = pour::answer;
        play(
                "answers of " + pour,
                NOISE_SENDERS,
                over ->
                        flood(
                                over,
                                () -> "",
                                () -> {
                                    RealScheduler.pause(WAIT_MS / 2);
                                    return SmallSite.read(WAIT_MS)
                                            .replaceFirst("/00000003b4d60021/", OTHER_VOLUME);
                                },
                                true));
    }

    private void play(String name, int senders, Load.Client sender) throws Exception {
        play(name, senders, sender, this::ask);
    }

    private void play(String name, int senders, Load.Client sender, Load.Client other)
            throws Exception {
        try (SmallSite played = new SmallSite(folder, script)) {
            site = played;
            assertThat(site.askUntimed(SmallSite.read(WAIT_MS)).status()).isEqualTo(200);
            try (Load flood = new Load(senders, sender);
                    Load others = new Load(OTHERS, other)) {
                RealScheduler.pause(FLOOD_MS);
                others.stop();
                flood.stop();
            }
            long residentMb = site.scheduler.residentKb() / 1024;
            System.out.printf(
                    "%s: others %s served, %s refused, %s late or never; %d MB%n",
                    name, served, refused, late, residentMb);
            assertThat(late).as("answers that were late or never came").hasValue(0);
            assertThat(refused.get()).isLessThan(served.get() / 10);
            assertThat(residentMb).isLessThan(SmallSite.MEMORY_MB);
        }
    }

    /** Requests for a page, or reads with new ids of a volume that nobody else asks for. */
    private static String requests(String path) {
        if (path.equals("new names")) {
            return requestsOfNewNames();
        }
        if (!path.equals("reads")) {
            return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").repeat(REQUESTS_A_WRITE);
        }
        StringBuilder reads = new StringBuilder();
        for (int i = 0; i < REQUESTS_A_WRITE; i++) {
            reads.append(SmallSite.read(WAIT_MS).replaceFirst("/00000003b4d60021/", OTHER_VOLUME));
        }
        return reads.toString();
    }

    /** Sound reads and reads of no class, each of a volume and an object that nobody knows. */
    private static String requestsOfNewNames() {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_A_WRITE; i++) {
            String volume = "/%016x/".formatted(ThreadLocalRandom.current().nextLong());
            String read = SmallSite.read(WAIT_MS).replaceFirst("/00000003b4d60021/", volume);
            requests.append(
                    i % 2 == 0 ? read : read.replaceFirst("job-read", "job" + volume.hashCode()));
        }
        return requests.toString();
    }

    /** Guards against work for requests of clients that have left, before that for the others. */
    @ParameterizedTest
    @CsvSource({"6, false", "40, false", "150, false", "40, true", "150, true"})
    void othersAreServedInTimeBesideClientsThatCloseAtOnce(int senders, boolean anew)
            throws Exception {
        play(
                senders + " that close at once, others " + (anew ? "anew" : "connected"),
                senders,
                this::closeAtOnce,
                anew ? this::askAnew : this::ask);
    }

    /** Sends a request and closes its connection, again and again. */
    private void closeAtOnce(BooleanSupplier over) {
        while (!over.getAsBoolean()) {
            try (Socket client = site.scheduler.connect()) {
                SmallSite.send(
                        client,
                        SmallSite.read(WAIT_MS).replaceFirst("/00000003b4d60021/", OTHER_VOLUME));
            } catch (IOException refusedByTheMachine) {
                RealScheduler.pause(10);
            }
        }
    }

    /** Asks on a new connection each time. */
    private void askAnew(BooleanSupplier over) {
        while (!over.getAsBoolean()) {
            try (Socket client = site.scheduler.connect()) {
                client.setSoTimeout(WAIT_MS);
                int status = site.ask(client, SmallSite.read(WAIT_MS)).status();
                (status == 200 ? served : refused).incrementAndGet();
                RealScheduler.pause(BETWEEN_MS);
            } catch (IOException lateOrClosed) {
                late.incrementAndGet();
            }
        }
    }

    /** Writes requests as fast as they are taken; ends with the first failure, or once over. */
    private void flood(
            BooleanSupplier over, Supplier<String> first, Supplier<String> next, boolean reading) {
        try (Socket client = site.scheduler.connect()) {
            Thread reader = new Thread(() -> discardInput(client), "reader");
            if (reading) {
                reader.start();
            }
            Thread watch =
                    new Thread(
                            () -> {
                                while (!over.getAsBoolean() && !client.isClosed()) {
                                    RealScheduler.pause(10);
                                }
                                close(client);
                            },
                            "watch");
            watch.start();
            SmallSite.send(client, first.get());
            while (!over.getAsBoolean()) {
                SmallSite.send(client, next.get());
            }
        } catch (IOException ended) {
            // by the scheduler, or as it is over
        }
    }

    private static void close(Socket client) {
        try {
            client.close();
        } catch (IOException ended) {
            // it is closed all the same
        }
    }

    private static void discardInput(Socket client) {
        byte[] buffer = new byte[READ_BYTES];
        try {
            while (client.getInputStream().read(buffer) >= 0) {
                // discarded
            }
        } catch (IOException ended) {
            // with the connection
        }
    }

    /** Asks on one connection, with a pause after each answer, until it is over. */
    private void ask(BooleanSupplier over) {
        try (Socket client = site.scheduler.connect()) {
            client.setSoTimeout(WAIT_MS);
            while (!over.getAsBoolean()) {
                int status = site.ask(client, SmallSite.read(WAIT_MS)).status();
                (status == 200 ? served : refused).incrementAndGet();
                RealScheduler.pause(BETWEEN_MS);
            }
        } catch (IOException lateOrClosed) {
            late.incrementAndGet();
        }
    }
}
