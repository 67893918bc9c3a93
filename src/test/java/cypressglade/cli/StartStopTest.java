package cypressglade.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.config.Config;
import cypressglade.core.Counters.Name;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/**
 * What comes between the lines of a start or a stop: the first list, a signal to stop, one to read
 * settings anew.
 */
class StartStopTest {
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=2,shard=0,hosts=1");

    private final HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "the data"));
    private final CountDownLatch tell = new CountDownLatch(1);
    private final HttpPeer discovery =
            new HttpPeer(
                    (request, out) -> {
                        tell.await();
                        String list =
                                "{\"version\":42,\"full\":false,\"servers\":["
                                        + Site.entry(0, this.node.hostPort(), "leaving", 0)
                                        + "]}\n";
                        HttpPeer.write(
                                out,
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(list.length())
                                        + "\r\n"
                                        + list
                                        + "\r\n");
                        new CountDownLatch(1).await();
                    });

    private Serve scheduler() throws Exception {
        return new Serve(
                Site.config(Site.entry(0, node.hostPort(), "active", 0), discovery.hostPort()),
                OperatorFiles.NONE);
    }

    private static CompletableFuture<Void> starting(Serve scheduler) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        scheduler.start();
                    } catch (IOException taken) {
                        throw new java.io.UncheckedIOException(taken);
                    }
                });
    }

    /**
     * Guards against requests by the list of a former life, which counts as out of date from the
     * first moment.
     */
    @Test
    void theFirstListIsHereBeforeTheFirstRequest() throws Exception {
        try (node;
                discovery;
                Serve scheduler = scheduler()) {
            CompletableFuture<Void> starting = starting(scheduler);
            assertThat(discovery.requests.poll(5, TimeUnit.SECONDS)).isNotNull();
            try {
                // where it does not wait, the request comes first
                starting.get(300, TimeUnit.MILLISECONDS);
            } catch (TimeoutException waits) {
                tell.countDown();
                starting.get(5, TimeUnit.SECONDS);
            }
            try (Socket client =
                    new Socket(scheduler.address().getAddress(), scheduler.address().getPort())) {
                client.getOutputStream()
                        .write(
                                Site.request("GET", READ, HEADERS, "")
                                        .getBytes(StandardCharsets.US_ASCII));
                assertThat(Message.read(new DataInputStream(client.getInputStream())).status())
                        .isEqualTo(503);
            }
            assertThat(node.requests).as("sent to a node that leaves").isEmpty();
        }
    }

    /** A discovery that is down holds the doors up for a second and no more. */
    @Test
    void aSilentDiscoveryDoesNotKeepTheDoorsShut() throws Exception {
        try (node;
                discovery;
                Serve scheduler = scheduler()) {
            starting(scheduler).get(5, TimeUnit.SECONDS);
            assertThat(scheduler.counters().get(Name.LISTS))
                    .isEqualTo(1); // the one it was started with
        }
    }

    /** Guards against doors that open behind a signal to stop, and a health that says yes again. */
    @Test
    void whoIsStoppedWhileItStartsOpensNoDoors() throws Exception {
        try (node;
                discovery;
                Serve scheduler = scheduler()) {
            CompletableFuture<Void> starting = starting(scheduler);
            assertThat(discovery.requests.poll(5, TimeUnit.SECONDS)).isNotNull();
            scheduler.drain(); // at once: nothing was taken
            tell.countDown();
            starting.get(5, TimeUnit.SECONDS);
            assertThatThrownBy(scheduler::address)
                    .as("no door")
                    .isInstanceOf(IllegalStateException.class);
        }
    }

    /** New settings while it stops are taken, and do not call the stop off. */
    @Test
    void newSettingsDoNotCallAStopOff() throws Exception {
        try (node;
                discovery;
                Site site = new Site(List.of(node.hostPort()), OperatorFiles.NONE);
                Socket kept = site.connect()) {
            var stopping = site.drain();
            Site.await(() -> health(kept) == 503);
            Config next =
                    Site.config(
                            Site.entry(0, node.hostPort(), "active", 0), site.discovery.hostPort());
            site.serve.use(next, OperatorFiles.NONE);
            assertThat(health(kept)).isEqualTo(503);
            assertThat(kept.getInputStream().read()).as("closed all the same").isEqualTo(-1);
            stopping.get(5, TimeUnit.SECONDS);
        }
    }

    /**
     * With short deadlines the kill comes soon: 0.7 s after the longest. Guards against a stop that
     * takes longer.
     */
    @Test
    void aStopWithShortDeadlinesIsOverBeforeTheKill() throws Exception {
        String entries = Site.entry(0, node.hostPort(), "active", 0);
        try (node;
                discovery;
                Site site =
                        new Site(
                                entries,
                                OperatorFiles.NONE,
                                config -> config,
                                text ->
                                        text.replaceAll(
                                                "\"deadlineUs\":\\d+", "\"deadlineUs\":100000"));
                Socket kept = site.connect()) {
            assertThat(health(kept)).isEqualTo(200);
            long told = System.nanoTime();
            site.drain().get(5, TimeUnit.SECONDS);
            assertThat((System.nanoTime() - told) / 1_000_000)
                    .as("ms from the signal")
                    .isLessThan(800);
            assertThat(kept.getInputStream().read()).isEqualTo(-1);
        }
    }

    private static int health(Socket kept) {
        try {
            kept.getOutputStream()
                    .write(
                            "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return Message.read(new DataInputStream(kept.getInputStream())).status();
        } catch (IOException closed) {
            return -1;
        }
    }
}
