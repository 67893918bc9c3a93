package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
import cypressglade.config.Config;
import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.Engine;
import cypressglade.core.NodeDirectory;
import cypressglade.core.RequestPool;
import cypressglade.net.EventLoop;
import cypressglade.net.NodePool;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Closes of client connections, by the client or by the scheduler, that coincide with other input
 * on them.
 */
class ConnectionEndsTest {
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=2,shard=0,hosts=1");

    private final CountDownLatch answer = new CountDownLatch(1);
    private final HttpPeer node =
            new HttpPeer(
                    (request, out) -> {
                        assertThat(answer.await(5, TimeUnit.SECONDS)).isTrue();
                        HttpPeer.answer(200, "", "the data").answer(request, out);
                    });
    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site(List.of(node.hostPort()), OperatorFiles.NONE);
    }

    @AfterEach
    void stop() throws IOException {
        site.close();
        node.close();
    }

    private static String get() {
        return Site.request("GET", READ, HEADERS, "");
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Message ask(Socket client, String text) throws IOException {
        send(client, text);
        return Message.read(new DataInputStream(client.getInputStream()));
    }

    /**
     * Guards against a disconnect that is not noticed behind pipelined requests, which would then
     * be started for nobody.
     */
    @Test
    void disconnectBehindPipelinedRequestsIsNoticedAndNoneOfThemStarts() throws Exception {
        Socket client = site.connect();
        send(client, get() + get());
        assertThat(node.requests.poll(5, TimeUnit.SECONDS)).isNotNull();
        send(client, get() + get().substring(0, 40));
        client.close();
        Site.await(() -> site.serve.counters().get(Name.GONE) == 1);
        assertThat(
                        site.serve.counters().get(Name.ANSWERED_FAILED)
                                + site.serve.counters().get(Name.ANSWERED_BY_DEADLINE))
                .as("noticed while the first is open, not at its end")
                .isZero();
        answer.countDown();
        assertThat(site.ask(get()).status()).isEqualTo(200); // the others would have arrived before
        assertThat(node.requests).hasSize(1);
        assertThat(site.serve.counters().get(Name.TAKEN)).isEqualTo(2);
    }

    /**
     * Guards against starting a request although its client's disconnect has arrived as well,
     * unread.
     */
    @Test
    void requestWhoseClientDisconnectedBeforeItIsReadIsNotStarted() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        Counters counters = new Counters();
        NodeDirectory directory = new NodeDirectory();
        Config config = Site.config(Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1");
        try (EventLoop loop = new EventLoop();
                Engine engine = new Engine(config.settings(), directory, counters);
                RequestPool pool = new RequestPool(9, 0, counters)) {
            NodeClient nodes =
                    new NodeClient(
                            new NodePool(
                                    loop,
                                    directory,
                                    counters,
                                    config.connectTimeout(),
                                    config.idleLimit(),
                                    9),
                            1 << 20,
                            List.of());
            engine.start(any -> nodes);
            engine.updateNodes(config.known());
            ClientListener clients =
                    new ClientListener(
                            loop,
                            config.settings(),
                            engine,
                            counters,
                            pool,
                            nodes,
                            () -> blockUntilResumed(blocked, resume),
                            config.budget(),
                            Optional.empty());
            clients.start(new InetSocketAddress("127.0.0.1", 0));
            try (Socket health =
                    new Socket(clients.address().getAddress(), clients.address().getPort())) {
                send(health, Site.request("GET", "/healthz", "", ""));
                assertThat(blocked.await(5, TimeUnit.SECONDS))
                        .as("the I/O thread is blocked")
                        .isTrue();
                try (Socket client =
                        new Socket(clients.address().getAddress(), clients.address().getPort())) {
                    send(client, get());
                }
                resume.countDown();
                Site.await(() -> counters.get(Name.GONE) + counters.get(Name.TAKEN) > 0);
                assertThat(counters.get(Name.TAKEN)).isZero();
            }
            clients.close();
        }
    }

    private static boolean blockUntilResumed(CountDownLatch blocked, CountDownLatch resume) {
        blocked.countDown();
        try {
            return resume.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            return false;
        }
    }

    /**
     * Guards against a close with unread bytes, which resets the connection, so that the client
     * loses a response on its way.
     */
    @Test
    void inputThatCrossesTheCloseOfAnIdleConnectionIsDiscardedWithoutAReset() throws Exception {
        answer.countDown();
        try (Socket client = site.connect()) {
            assertThat(ask(client, get()).status()).isEqualTo(200);
            var stopping = site.drain();
            assertThat(client.getInputStream().read()).as("the end of our side").isEqualTo(-1);
            send(client, get());
            send(client, get());
            assertThat(client.getInputStream().read())
                    .as("still the end, and no reset")
                    .isEqualTo(-1);
            client.shutdownOutput();
            stopping.get(5, TimeUnit.SECONDS);
            assertThat(site.serve.connected()).isZero();
        }
        assertThat(node.requests).hasSize(1);
    }

    /**
     * Guards against cutting off a request whose first half was read before the scheduler stops.
     */
    @Test
    void incompleteRequestIsAnsweredWhenIdleConnectionsAreClosed() throws Exception {
        answer.countDown();
        try (Socket slow = site.connect();
                Socket idle = site.connect()) {
            assertThat(ask(slow, get()).status()).isEqualTo(200);
            assertThat(ask(idle, get()).status()).isEqualTo(200);
            String next = get();
            var stopping = site.drain();
            send(slow, next.substring(0, 60));
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            Message answer = ask(slow, next.substring(60));
            assertThat(answer.status()).isIn(200, 502, 503);
            assertThat(answer.headers()).containsEntry("connection", "close");
            stopping.get(5, TimeUnit.SECONDS);
        }
    }
}
