package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
import cypressglade.config.StormsConfigParser;
import cypressglade.core.Counters.Name;
import cypressglade.standin.CutClient;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A write whose client is cut off and comes again, marked: it runs once, wherever its first try is
 * when the second one comes.
 */
class RetriedWriteTest {
    private static final String WRITE = "/job-write/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(600, "standard", "units=2,shard=0,hosts=1");
    private static final String BODY = "payment 17";
    private static final int ALL = Integer.MAX_VALUE;
    private static final int FAILED = 502;
    private static final int REFUSED = 503;
    private static final int SENT_AT_ONCE = 500;

    @TempDir Path folder;
    private final AtomicInteger runs = new AtomicInteger();
    private final Map<String, Integer> runsByPath = new ConcurrentHashMap<>();
    private final Semaphore mayAnswer = new Semaphore(0);
    private volatile boolean isFull;
    private final HttpPeer node = new HttpPeer(this::work);

    /** Runs a write and answers it once it may, unless the node is full. */
    private void work(Message request, DataOutputStream out) throws Exception {
        if (isFull) {
            HttpPeer.answer(REFUSED, "X-Never-Ran: 1\r\n", "").answer(request, out);
            return;
        }
        if (request.first().startsWith("PUT")) {
            runs.incrementAndGet();
            runsByPath.merge(request.first(), 1, Integer::sum);
            assertThat(mayAnswer.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        }
        HttpPeer.answer(200, "", "done").answer(request, out);
    }

    @AfterEach
    void stop() throws IOException {
        mayAnswer.release(100);
        node.close();
    }

    private Site site() throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("storms.json"),
                        Files.readString(Path.of("deploy/storms.json"))
                                .replace("\"enabled\": false", "\"enabled\": true"));
        return new Site(
                Site.entry(0, node.hostPort(), "active", 0),
                new OperatorFiles(
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        StormsConfigParser.read(file)));
    }

    private static CutClient cutOff(Site site, int bytes) throws IOException {
        return new CutClient(site.serve.address(), WRITE, HEADERS, BODY, bytes);
    }

    private void awaitRun() {
        Site.await(() -> runs.get() == 1);
    }

    /** Guards against a second run of a write that is out, as its client seems to be there. */
    @Test
    void writeThatIsAtItsNodeIsNotSentAgain() throws Exception {
        try (Site site = site();
                CutClient client = cutOff(site, ALL)) {
            awaitRun();
            assertThat(client.comeAgain()).isEqualTo(FAILED);
            assertThat(runs).hasValue(1);
        }
    }

    /** Guards against taking an answer that was written for one that was read. */
    @Test
    void writeWhoseAnswerWentIntoASilentConnectionIsNotSentAgain() throws Exception {
        try (Site site = site();
                CutClient client = cutOff(site, ALL)) {
            mayAnswer.release();
            Site.await(() -> site.serve.counters().get(Name.ANSWERED_SERVED) == 1);
            assertThat(client.comeAgain()).isEqualTo(FAILED);
            assertThat(runs).hasValue(1);
        }
    }

    /**
     * Guards against another client's like write, whose end unrun cleared the first one's doubt.
     */
    @Test
    void writeIsNotSentAgainAfterAnotherLikeItWasRefused() throws Exception {
        try (Site site = site();
                CutClient client = cutOff(site, ALL)) {
            awaitRun();
            mayAnswer.release();
            Site.await(() -> site.serve.counters().get(Name.ANSWERED_SERVED) == 1);
            isFull = true;
            assertThat(site.ask(Site.request("PUT", WRITE, HEADERS, BODY)).status())
                    .isEqualTo(REFUSED);
            isFull = false;
            assertThat(client.comeAgain()).isEqualTo(FAILED);
            assertThat(runs).hasValue(1);
        }
    }

    /** Guards against the rest of a request that comes when its retry has run. */
    @ParameterizedTest
    @CsvSource({"10", "60", "200"})
    void writeThatItsRetryHasOvertakenIsNotSent(int bytes) throws Exception {
        try (Site site = site();
                CutClient client = cutOff(site, bytes)) {
            // A request that is answered on a later connection: what came first is read by then.
            assertThat(site.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").status())
                    .isEqualTo(200);
            mayAnswer.release(2);
            assertThat(client.comeAgain()).isEqualTo(200);
            assertThat(client.reconnect()).isEqualTo(FAILED);
            assertThat(runs).hasValue(1);
        }
    }

    /** Guards against a retry that is read before its first try, which has come by then. */
    @Test
    void writeThatIsSentAgainAtOnceRunsOnce() throws Exception {
        mayAnswer.release(2 * SENT_AT_ONCE);
        try (Site site = site()) {
            for (int i = 0; i < SENT_AT_ONCE; i++) {
                String path = WRITE.replace("/7f3a", String.format("/%04x", i));
                try (CutClient client =
                        new CutClient(site.serve.address(), path, HEADERS, BODY, ALL)) {
                    client.comeAgain();
                }
            }
            assertThat(runsByPath.values()).as("runs of each write").containsOnly(1);
        }
    }

    /** Guards against the same where both tries come by connections that are in use. */
    @Test
    void writeThatIsSentAgainAtOnceByAConnectionInUseRunsOnce() throws Exception {
        mayAnswer.release(2 * SENT_AT_ONCE);
        try (Site site = site();
                Socket one = site.connect();
                Socket other = site.connect()) {
            askHealth(one);
            askHealth(other);
            for (int i = 0; i < SENT_AT_ONCE; i++) {
                Socket first = i % 2 == 0 ? one : other;
                Socket second = i % 2 == 0 ? other : one;
                String path = WRITE.replace("/7f3a", String.format("/%04x", i));
                String original = Site.request("PUT", path, HEADERS, BODY);
                String retry = Site.request("PUT", path, HEADERS + "X-Second-Try: 1\r\n", BODY);
                first.getOutputStream().write(original.getBytes(StandardCharsets.US_ASCII));
                second.getOutputStream().write(retry.getBytes(StandardCharsets.US_ASCII));
                assertThat(Message.read(new DataInputStream(first.getInputStream())).status())
                        .isIn(200, FAILED);
                assertThat(Message.read(new DataInputStream(second.getInputStream())).status())
                        .isIn(200, FAILED);
            }
            assertThat(runsByPath.values()).as("runs of each write").containsOnly(1);
        }
    }

    private static void askHealth(Socket client) throws IOException {
        client.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
        assertThat(Message.read(new DataInputStream(client.getInputStream())).status())
                .isEqualTo(200);
    }

    private static int retry(Site site) {
        try (CutClient client = cutOff(site, 0)) {
            return client.comeAgain();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** Guards against a retry that is failed for a write whose client has read its answer. */
    @Test
    void retryThatFollowsARefusalIsServedBesideAWriteLikeItWhoseAnswerWasRead() throws Exception {
        mayAnswer.release(2);
        String write = Site.request("PUT", WRITE, HEADERS, BODY);
        try (Site site = site();
                Socket first = site.connect()) {
            DataInputStream in = new DataInputStream(first.getInputStream());
            first.getOutputStream().write(write.getBytes(StandardCharsets.US_ASCII));
            assertThat(Message.read(in).status()).isEqualTo(200);
            try (CutClient client = cutOff(site, 0)) {
                assertThat(client.comeAgain()).as("before the next request").isEqualTo(FAILED);
            }
            first.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            assertThat(Message.read(in).status()).isEqualTo(200);
            // The end of the first task may be reported a moment after its answer was read.
            Site.await(() -> retry(site) == 200);
        }
    }

    /** Guards against a retry that is failed though the refusal had told it to come again. */
    @Test
    void retryThatFollowsARefusalIsServed() throws Exception {
        try (Site site = site()) {
            isFull = true;
            assertThat(site.ask(Site.request("PUT", WRITE, HEADERS, BODY)).status())
                    .isEqualTo(REFUSED);
            isFull = false;
            mayAnswer.release();
            try (CutClient client = cutOff(site, 0)) {
                assertThat(client.comeAgain()).isEqualTo(200);
            }
            assertThat(runs).hasValue(1);
        }
    }
}
