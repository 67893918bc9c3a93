package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.StandIn;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sound answers reach their clients whole, however long they are and however slowly they come. */
class LongAnswerIT {
    private static final int WAIT_MS = 1800;

    /** An answer that comes this long after its client's time is lost. */
    private static final long LATE_MS = 500;

    private static final int LARGE_ANSWERS = 6;
    private static final int LARGE_BYTES = 1_500_000;

    @TempDir Path folder;

    /** How a node marks the end of its answer. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** Writes an answer of equal pieces with a pause before each. */
    private static HttpPeer.Script inPieces(
            Framing framing, String body, int pieces, long pauseMs) {
        return (request, out) -> {
            HttpPeer.write(out, head(framing, body.length()));
            int size = (body.length() + pieces - 1) / pieces;
            for (int at = 0; at < body.length(); at += size) {
                Thread.sleep(pauseMs);
                writePiece(out, framing, body.substring(at, Math.min(body.length(), at + size)));
            }
            if (framing == Framing.CHUNKED) {
                HttpPeer.write(out, "0\r\n\r\n");
            } else if (framing == Framing.CLOSE) {
                throw new IOException("the end of the answer");
            }
        };
    }

    private static String head(Framing framing, int length) {
        return "HTTP/1.1 200 OK\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + length;
                    case CHUNKED -> "Transfer-Encoding: chunked";
                    case CLOSE -> "Connection: close";
                }
                + "\r\n\r\n";
    }

    private static void writePiece(DataOutputStream out, Framing framing, String piece)
            throws IOException {
        HttpPeer.write(
                out,
                framing == Framing.CHUNKED
                        ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n"
                        : piece);
    }

    private static String body(int bytes) {
        StringBuilder body = new StringBuilder();
        while (body.length() < bytes) {
            body.append(body.length()).append(' ');
        }
        return body.substring(0, bytes);
    }

    /** Guards against taking a pause in an answer, short of the deadline, for its end. */
    @ParameterizedTest
    @CsvSource({
        "LENGTH, 4000", "CHUNKED, 4000", "CLOSE, 4000",
        "LENGTH, 262204", "CHUNKED, 262204", "CLOSE, 262204"
    })
    void soundAnswerInSlowPiecesIsServedWhole(Framing framing, int bytes) throws Exception {
        String body = body(bytes);
        try (SmallSite site = new SmallSite(folder, inPieces(framing, body, 4, 300))) {
            for (int i = 0; i < 2; i++) {
                Message answer = site.ask(SmallSite.read(WAIT_MS));
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.body().equals(body)).as("the whole body").isTrue();
            }
        }
    }

    /** Guards against cutting off an answer that goes on beyond its client's time. */
    @ParameterizedTest
    @CsvSource({"LENGTH", "CHUNKED", "CLOSE"})
    void soundAnswerThatOutlastsTheDeadlineIsPassedOnWhole(Framing framing) throws Exception {
        String body = body(300_000);
        try (SmallSite site = new SmallSite(folder, inPieces(framing, body, 10, 150))) {
            Message answer = site.ask(SmallSite.read(500));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.body().equals(body)).as("the whole body").isTrue();
        }
    }

    /** Guards against refusing answers for the memory that they would take together. */
    @ParameterizedTest
    @CsvSource({"LENGTH", "CHUNKED", "CLOSE"})
    void largeAnswersAtOnceAreServedWhole(Framing framing) throws Exception {
        String body = body(LARGE_BYTES);
        ExecutorService clients = Executors.newFixedThreadPool(LARGE_ANSWERS);
        try (SmallSite site = new SmallSite(folder, inPieces(framing, body, 11, 100))) {
            List<CompletableFuture<Message>> answers = new ArrayList<>();
            for (int i = 0; i < LARGE_ANSWERS; i++) {
                answers.add(CompletableFuture.supplyAsync(() -> ask(site), clients));
            }
            for (CompletableFuture<Message> answer : answers) {
                assertThat(answer.join().status()).isEqualTo(200);
                assertThat(answer.join().body().equals(body)).as("the whole body").isTrue();
            }
        } finally {
            clients.shutdown();
        }
    }

    private static Message ask(SmallSite site) {
        try {
            return site.ask(SmallSite.read(WAIT_MS));
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
    }

    /** A node that reads the bodies of requests at 20 kB a second, and answers each at its end. */
    private static final class SlowReader extends StandIn {
        private static final int PIECE_BYTES = 2000;
        private static final long PIECE_MS = 100;

        @Override
        protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
            while (true) {
                int length = 0;
                for (String line = Message.readLine(in);
                        !line.isEmpty();
                        line = Message.readLine(in)) {
                    if (line.startsWith("Content-Length: ")) {
                        length = Integer.parseInt(line.substring(line.indexOf(' ') + 1));
                    }
                }
                for (int left = length; left > 0; left -= PIECE_BYTES) {
                    in.readNBytes(Math.min(left, PIECE_BYTES));
                    Thread.sleep(PIECE_MS);
                }
                HttpPeer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    /** Guards against an answer after the client's time where a node reads a request slowly. */
    @ParameterizedTest
    @ValueSource(ints = {300, 700, 1900})
    void requestThatItsNodeReadsSlowlyIsAnsweredInTime(int waitMs) throws Exception {
        try (SmallSite site = new SmallSite(folder, new SlowReader())) {
            long sent = System.nanoTime();
            int status = site.ask(SmallSite.write(waitMs, body(64_000))).status();
            assertThat(status).isIn(502, 503);
            assertThat((System.nanoTime() - sent) / 1_000_000)
                    .as("ms")
                    .isLessThan(waitMs + LATE_MS);
        }
    }
}
