package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A few clients that send at full speed take no answers from the others. */
class FloodIT {
    private static final int OTHERS = 20;
    private static final int WAIT_MS = 1000;
    private static final long BETWEEN_MS = 40;
    private static final long FLOOD_MS = 4000;
    private static final int REQUESTS_A_WRITE = 50;
    private static final String OTHER_VOLUME = "/000000000000f00d/";
    private static final int READ_BYTES = 64 * 1024;

    @TempDir Path folder;
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
        "reads, 6, true"
    })
    void othersAreServedInTimeBesideClientsThatSendAtFullSpeed(
            String path, int senders, boolean reading) throws Exception {
        try (SmallSite site = new SmallSite(folder, HttpPeer.answer(200, "", "data"))) {
            assertThat(site.ask(SmallSite.read(WAIT_MS)).status()).isEqualTo(200);
            Supplier<String> requests = () -> requests(path);
            try (Load flood = new Load(senders, over -> flood(site, requests, reading, over));
                    Load others = new Load(OTHERS, over -> ask(site, over))) {
                RealScheduler.pause(FLOOD_MS);
                others.stop();
                flood.stop();
            }
            System.out.printf(
                    "%s from %d, reading %s: others %s served, %s refused, %s late or never%n",
                    path, senders, reading, served, refused, late);
            assertThat(late).as("answers that were late or never came").hasValue(0);
            assertThat(refused.get()).isLessThan(served.get() / 10);
            assertThat(site.scheduler.residentKb() / 1024).isLessThan(SmallSite.MEMORY_MB);
        }
    }

    /** Requests for a page, or reads with new ids of a volume that nobody else asks for. */
    private static String requests(String path) {
        if (!path.equals("reads")) {
            return ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").repeat(REQUESTS_A_WRITE);
        }
        StringBuilder reads = new StringBuilder();
        for (int i = 0; i < REQUESTS_A_WRITE; i++) {
            reads.append(SmallSite.read(WAIT_MS).replaceFirst("/00000003b4d60021/", OTHER_VOLUME));
        }
        return reads.toString();
    }

    /** Writes requests as fast as they are taken; ends with the first failure, or once over. */
    private static void flood(
            SmallSite site, Supplier<String> requests, boolean reading, BooleanSupplier over) {
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
            while (!over.getAsBoolean()) {
                SmallSite.send(client, requests.get());
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
    private void ask(SmallSite site, BooleanSupplier over) {
        try (Socket client = site.scheduler.connect()) {
            client.setSoTimeout(WAIT_MS);
            DataInputStream in = new DataInputStream(client.getInputStream());
            while (!over.getAsBoolean()) {
                SmallSite.send(client, SmallSite.read(WAIT_MS));
                int status = Message.read(in).status();
                (status == 200 ? served : refused).incrementAndGet();
                RealScheduler.pause(BETWEEN_MS);
            }
        } catch (IOException lateOrClosed) {
            late.incrementAndGet();
        }
    }
}
