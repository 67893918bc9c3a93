package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Hundreds of clients at once that hold something unfinished leave room for the others. */
class CrowdIT {
    private static final int CROWD = 500;
    private static final int ASKED = 40;
    private static final int WAIT_MS = 1500;
    private static final int FIELDS = 1600;
    private static final int HALF_BODY_BYTES = 60_000;
    private static final int PIPELINED = 200;
    private static final int LONG_ANSWER_BYTES = 1_500_000;

    @TempDir Path folder;

    /** What each client of the crowd does, and then stops. */
    private enum Play {
        HEADS_OF_SHORT_FIELDS,
        HEADS_OF_ONE_REPEATED_FIELD,
        HEADS_OF_LONG_FIELDS,
        HALF_BODIES,
        CHUNKED_HALF_BODIES,
        PIPELINED_REQUESTS,
        UNREAD_LONG_ANSWERS;

        String text() {
            return switch (this) {
                case HEADS_OF_SHORT_FIELDS ->
                        "GET " + SmallSite.READ + " HTTP/1.1\r\n" + shortFields();
                case HEADS_OF_ONE_REPEATED_FIELD ->
                        "GET " + SmallSite.READ + " HTTP/1.1\r\n" + "x:a\r\n".repeat(FIELDS);
                case HEADS_OF_LONG_FIELDS ->
                        "GET " + SmallSite.READ + " HTTP/1.1\r\nA: " + "a".repeat(15_000);
                case HALF_BODIES -> head("Content-Length: 64000") + "b".repeat(HALF_BODY_BYTES);
                case CHUNKED_HALF_BODIES ->
                        head("Transfer-Encoding: chunked")
                                + "1\r\nb\r\n".repeat(HALF_BODY_BYTES / 6);
                case PIPELINED_REQUESTS ->
                        IntStream.range(0, PIPELINED)
                                .mapToObj(i -> keyed(SmallSite.read(WAIT_MS)))
                                .collect(Collectors.joining());
                case UNREAD_LONG_ANSWERS -> SmallSite.read(WAIT_MS);
            };
        }

        private static String shortFields() {
            StringBuilder fields = new StringBuilder();
            for (int i = 0; i < FIELDS; i++) {
                fields.append('x').append(i).append(":a\r\n");
            }
            return fields.toString();
        }

        private static String head(String framing) {
            return SmallSite.write(WAIT_MS, "").trim() + "\r\n" + framing + "\r\n\r\n";
        }
    }

    /** Guards against requests that lie unread, and late answers, while a crowd is read. */
    @ParameterizedTest
    @EnumSource(Play.class)
    void requestsBesideACrowdThatLeavesSomethingUnfinishedAreReadAndAnsweredInTime(Play play)
            throws Exception {
        try (SmallSite site = new SmallSite(folder, HttpPeer.answer(200, "", "data"))) {
            Queue<Socket> crowd = new ConcurrentLinkedQueue<>();
            IntStream.range(0, CROWD).parallel().forEach(i -> sendFrom(crowd, site, play.text()));
            for (int i = 0; i < ASKED; i++) {
                site.ask(keyed(SmallSite.read(WAIT_MS)));
            }
            for (Socket client : crowd) {
                client.close();
            }
        }
    }

    /** Guards against memory that is taken by what connections leave unfinished. */
    @ParameterizedTest
    @EnumSource(Play.class)
    void clientsAreServedBesideAndAfterACrowdThatLeavesSomethingUnfinished(Play play)
            throws Exception {
        String longAnswer = "x".repeat(LONG_ANSWER_BYTES);
        try (SmallSite site =
                new SmallSite(
                        folder,
                        (request, out) ->
                                HttpPeer.answer(
                                                200,
                                                "",
                                                request.headers().containsKey("idempotency-key")
                                                        ? "data"
                                                        : longAnswer)
                                        .answer(request, out))) {
            Queue<Socket> crowd = new ConcurrentLinkedQueue<>();
            IntStream.range(0, CROWD).parallel().forEach(i -> sendFrom(crowd, site, play.text()));
            int beside = countServed(site);
            long residentMb = site.scheduler.residentKb() / 1024;
            for (Socket client : crowd) {
                client.close();
            }
            RealScheduler.pause(500);
            int after = countServed(site);
            System.out.printf(
                    "%s: %d served beside, %d after, of %d; %d MB%n",
                    play, beside, after, ASKED, residentMb);
            assertThat(site.scheduler.alive()).as("alive").isTrue();
            assertThat(site.scheduler.output()).noneMatch(line -> line.contains("OutOfMemory"));
            assertThat(after).as("served after").isEqualTo(ASKED);
            assertThat(beside).as("served beside").isGreaterThanOrEqualTo(ASKED * 9 / 10);
            assertThat(residentMb).as("MB").isLessThan(SmallSite.MEMORY_MB);
        }
    }

    private static void sendFrom(Queue<Socket> crowd, SmallSite site, String text) {
        try {
            Socket client = site.scheduler.connect();
            crowd.add(client);
            SmallSite.send(client, text);
        } catch (IOException closed) {
            // the scheduler may close what a crowd sends
        }
    }

    /** A read that is answered by little. */
    private static String keyed(String read) {
        return read.trim() + "\r\nIdempotency-Key: k\r\n\r\n";
    }

    private static int countServed(SmallSite site) {
        int served = 0;
        for (int i = 0; i < ASKED; i++) {
            try {
                served += site.askUntimed(keyed(SmallSite.read(WAIT_MS))).status() == 200 ? 1 : 0;
            } catch (IOException notServed) {
                return served;
            }
        }
        return served;
    }
}
