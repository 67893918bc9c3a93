package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
import cypressglade.config.Config;
import cypressglade.config.StormsConfigParser;
import cypressglade.core.Counters.Name;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import cypressglade.storm.StormSettings;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Retry storms on real sockets: uncertain writes are sent once, and a wave of new connections does
 * not delay connected clients.
 */
class StormFrontTest {
    private static final String WRITE = "/job-write/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String CLIENT_RETRY = "X-Second-Try: 1\r\n";
    private static final int CONNECTS = 500; // the size of the listen backlog

    @TempDir Path folder;
    private final CountDownLatch firstMayEnd = new CountDownLatch(1);
    private final HttpPeer node =
            new HttpPeer(
                    (request, out) -> {
                        if (request.first().contains(WRITE)) {
                            assertThat(firstMayEnd.await(5, TimeUnit.SECONDS))
                                    .isTrue(); // the original request ends late
                        }
                        HttpPeer.answer(200, "", "done").answer(request, out);
                    });

    @AfterEach
    void stop() throws IOException {
        firstMayEnd.countDown();
        node.close();
    }

    private Site site(Optional<Path> uncertainWritesDirectory) throws Exception {
        return site(uncertainWritesDirectory, UnaryOperator.identity());
    }

    private Site site(Optional<Path> uncertainWritesDirectory, UnaryOperator<String> change)
            throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("storms.json"),
                        Files.readString(Path.of("deploy/storms.json"))
                                .replace("\"enabled\": false", "\"enabled\": true")
                                .replace(
                                        "\"doubt_dir\": \"\"",
                                        "\"doubt_dir\": \""
                                                + uncertainWritesDirectory
                                                        .map(Path::toString)
                                                        .orElse("")
                                                + "\""));
        Optional<StormSettings> settings = StormsConfigParser.read(file);
        return new Site(nodeEntry(), files(settings), UnaryOperator.identity(), change);
    }

    private String nodeEntry() {
        return Site.entry(0, node.hostPort(), "active", 0);
    }

    private static OperatorFiles files(Optional<StormSettings> settings) {
        return new OperatorFiles(Optional.empty(), Optional.empty(), Optional.empty(), settings);
    }

    private static String write(String path, int expiresMs, String extraHeaders) {
        return Site.request(
                "PUT",
                path,
                Site.headers(expiresMs, "standard", "units=2,shard=0,hosts=1") + extraHeaders,
                "data");
    }

    /** Sends a write whose client disconnects while it runs. */
    private void startUncertainWrite(Site site) throws Exception {
        try (Socket client = site.connect()) {
            client.getOutputStream()
                    .write(write(WRITE, 600, "").getBytes(StandardCharsets.US_ASCII));
            assertThat(node.requests.poll(5, TimeUnit.SECONDS)).isNotNull();
        }
        Site.await(() -> site.serve.counters().get(Name.GONE) == 1);
    }

    private void assertRetryIsNotSent(Site site, String why) throws Exception {
        long before = site.serve.counters().get(Name.STORM_WRITES_KEPT_ONCE);
        assertThat(site.ask(write(WRITE, 600, CLIENT_RETRY)).status()).as(why).isEqualTo(502);
        assertThat(site.serve.counters().get(Name.STORM_WRITES_KEPT_ONCE)).isEqualTo(before + 1);
        assertThat(node.requests).as("further requests at the node").isEmpty();
    }

    @Test
    void uncertainWriteIsSentOnceHoweverItIsRetried() throws Exception {
        try (Site site = site(Optional.empty())) {
            startUncertainWrite(site);
            assertRetryIsNotSent(site, "while the original request runs");
            site.serve.use(site.config, files(Optional.of(StormSettings.DEFAULTS)));
            assertRetryIsNotSent(site, "after a reload");
            firstMayEnd.countDown();
            Site.await(() -> site.serve.counters().get(Name.ENDED_OK) == 1);
            assertRetryIsNotSent(site, "when the original request has ended late");
            String other = WRITE.replace("d655", "d656");
            assertThat(site.ask(write(other, 600, CLIENT_RETRY)).status())
                    .as("another key")
                    .isEqualTo(200);
        }
    }

    @Test
    void uncertainWriteIsSentOnceAcrossRestarts() throws Exception {
        Path directory = Files.createDirectory(folder.resolve("state"));
        try (Site site = site(Optional.of(directory))) {
            startUncertainWrite(site);
            firstMayEnd.countDown();
            site.drain().get(10, TimeUnit.SECONDS);
        }
        String other = WRITE.replace("d655", "d656");
        try (Site site = site(Optional.of(directory))) {
            assertRetryIsNotSent(site, "after a graceful stop");
            assertThat(site.ask(write(other, 600, CLIENT_RETRY)).status())
                    .as("another key")
                    .isEqualTo(200);
            node.requests.clear();
        } // this one is not stopped gracefully
        try (Site site = site(Optional.of(directory))) {
            assertRetryIsNotSent(site, "after a crash");
            assertThat(site.ask(write(other, 600, CLIENT_RETRY)).status())
                    .as("any retry after a crash")
                    .isEqualTo(502);
            assertThat(site.ask(write(other, 600, "")).status())
                    .as("an original request")
                    .isEqualTo(200);
        }
    }

    /** Guards against forgetting a write that a stop has ended while it was in flight. */
    @Test
    void writeThatIsInFlightAtAStopIsSentOnceAcrossTheRestart() throws Exception {
        Path directory = Files.createDirectory(folder.resolve("state"));
        UnaryOperator<String> longDeadline =
                text -> text.replace("\"deadlineUs\":700000", "\"deadlineUs\":9000000");
        try (Site site = site(Optional.of(directory), longDeadline);
                Socket client = site.connect()) {
            client.getOutputStream()
                    .write(write(WRITE, 8000, "").getBytes(StandardCharsets.US_ASCII));
            assertThat(node.requests.poll(5, TimeUnit.SECONDS)).isNotNull();
            site.drain().get(10, TimeUnit.SECONDS);
            assertThat(Message.read(new DataInputStream(client.getInputStream())).status())
                    .isEqualTo(502);
        }
        try (Site site = site(Optional.of(directory), longDeadline)) {
            assertRetryIsNotSent(site, "after a stop that ended it");
        }
    }

    /** Guards against a write running twice because its class has another index since a reload. */
    @Test
    void uncertainWriteIsSentOnceWhenAReloadMovesItsClass() throws Exception {
        try (Site site = site(Optional.empty())) {
            startUncertainWrite(site);
            Config next =
                    Site.config(
                            nodeEntry(), site.discovery.hostPort(), Site::classesInReverseOrder);
            site.serve.use(next, files(Optional.of(StormSettings.DEFAULTS)));
            assertRetryIsNotSent(site, "after a reload that moved its class");
        }
    }

    /**
     * Guards against a write running twice because a restart's settings list its class elsewhere.
     */
    @Test
    void uncertainWriteIsSentOnceWhenARestartMovesItsClass() throws Exception {
        Path directory = Files.createDirectory(folder.resolve("state"));
        try (Site site = site(Optional.of(directory))) {
            startUncertainWrite(site);
            firstMayEnd.countDown();
            site.drain().get(10, TimeUnit.SECONDS);
        }
        try (Site site = site(Optional.of(directory), Site::classesInReverseOrder)) {
            assertRetryIsNotSent(site, "after a restart that moved its class");
        }
    }

    @Test
    void waveOfNewConnectionsDoesNotStopConnectedClients() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        String read = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
        String headers = Site.headers(900, "standard", "units=2,shard=0,hosts=1");
        try (Site site = site(Optional.empty());
                Socket connected = site.connect()) {
            DataInputStream in = new DataInputStream(connected.getInputStream());
            for (int i = 0; i < 20; i++) {
                for (int n = 0; n < CONNECTS / 20; n++) {
                    Socket one = new Socket();
                    crowd.add(one);
                    one.connect(site.serve.address(), 5000);
                }
                connected
                        .getOutputStream()
                        .write(
                                Site.request("GET", read, headers, "")
                                        .getBytes(StandardCharsets.US_ASCII));
                assertThat(Message.read(in).status()).isEqualTo(200);
            }
        } finally {
            for (Socket one : crowd) {
                one.close();
            }
        }
    }
}
