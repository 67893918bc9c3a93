package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Reload of the settings: open requests keep the settings that they started with. */
class SettingsReloadTest {
    private static final String VOLUME_AND_KEY = "/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String BODY = "the data";
    private static final String SMALL = "units=2,shard=0,hosts=1";
    private static final String LARGE = "units=6,shard=0,hosts=1";
    private static final String HEADERS = Site.headers(900, "standard", SMALL);

    @Test
    void openRequestOfARemovedClassIsServedAndANewClassIsAccepted() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        try (HttpPeer node =
                        new HttpPeer(
                                (request, out) -> {
                                    if (request.first().contains("/job-read/")) {
                                        assertThat(reloaded.await(5, TimeUnit.SECONDS)).isTrue();
                                    }
                                    HttpPeer.answer(200, "", "the data").answer(request, out);
                                });
                Site site = new Site(List.of(node.hostPort()), OperatorFiles.NONE);
                Socket open = site.connect()) {
            open.getOutputStream()
                    .write(
                            Site.request("GET", "/job-read" + VOLUME_AND_KEY, HEADERS, "")
                                    .getBytes(StandardCharsets.US_ASCII));
            assertThat(node.requests.poll(5, TimeUnit.SECONDS)).isNotNull();
            Config next =
                    Site.config(
                            Site.entry(0, node.hostPort(), "active", 0),
                            site.discovery.hostPort(),
                            text -> text.replace("\"job-read\"", "\"job-look\""));
            next.checkAfter(site.config);
            site.serve.use(next, OperatorFiles.NONE);
            assertThat(ask(site, "/job-look")).as("the new class").isEqualTo(200);
            assertThat(ask(site, "/job-read")).as("the removed class").isEqualTo(404);
            reloaded.countDown();
            assertThat(Message.read(new DataInputStream(open.getInputStream())).status())
                    .isEqualTo(200);
        }
    }

    /** A PUT whose body is not sent yet. */
    private static final class HalfSentWrite implements AutoCloseable {
        private final Socket socket;

        HalfSentWrite(Site site, String info, int number) throws Exception {
            socket = site.connect();
            long awaited = site.serve.counters().get(Name.BODIES_AWAITED);
            String request =
                    Site.request(
                            "PUT",
                            "/job-write" + VOLUME_AND_KEY.replace("d655", "d65" + number),
                            Site.headers(3000, "standard", info),
                            BODY);
            send(request.substring(0, request.length() - BODY.length()));
            Site.await(() -> site.serve.counters().get(Name.BODIES_AWAITED) > awaited);
        }

        private void send(String text) throws Exception {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        int finish() throws Exception {
            send(BODY);
            return Message.read(new DataInputStream(socket.getInputStream())).status();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static void reload(Site site, HttpPeer node, UnaryOperator<String> change)
            throws Exception {
        Config next =
                Site.config(
                        Site.entry(0, node.hostPort(), "active", 0),
                        site.discovery.hostPort(),
                        change);
        site.serve.use(next, OperatorFiles.NONE);
    }

    /**
     * Guards against a write being sent again because it is taken for a request of another class.
     */
    @Test
    void writeWhoseBodyCrossesAReloadIsNotSentAgainWhenClassesMove() throws Exception {
        try (HttpPeer node = new HttpPeer(HttpPeer.answer(500, "", "it may have run"));
                Site site = new Site(List.of(node.hostPort()), OperatorFiles.NONE);
                HalfSentWrite write = new HalfSentWrite(site, SMALL, 0)) {
            reload(site, node, Site::classesInReverseOrder);
            int status = write.finish();
            assertThat(node.requests).hasSize(1);
            assertThat(status).isEqualTo(502);
        }
    }

    /** Guards against a request being refused because its class was removed while its body came. */
    @Test
    void writeWhoseBodyCrossesAReloadIsServedWhenItsClassIsRemoved() throws Exception {
        try (HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "done"));
                Site site = new Site(List.of(node.hostPort()), OperatorFiles.NONE);
                HalfSentWrite write = new HalfSentWrite(site, SMALL, 0)) {
            reload(
                    site,
                    node,
                    text -> text.replaceFirst(",\\s*\\{\"name\":\"job-write\"[^}]*}", ""));
            assertThat(write.finish()).isEqualTo(200);
        }
    }

    /** Guards against a volume being held to the limit of another plan. */
    @Test
    void writesWhoseBodiesCrossAReloadKeepTheirPlanWhenPlansMove() throws Exception {
        try (HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "done"));
                Site site = new Site(List.of(node.hostPort()), OperatorFiles.NONE);
                HalfSentWrite first = new HalfSentWrite(site, LARGE, 1);
                HalfSentWrite second = new HalfSentWrite(site, LARGE, 2)) {
            reload(site, node, Site::plansInReverseOrder);
            assertThat(first.finish()).isEqualTo(200);
            assertThat(second.finish()).as("more than the other plan allows").isEqualTo(200);
        }
    }

    private static int ask(Site site, String classPath) throws Exception {
        return site.ask(Site.request("GET", classPath + VOLUME_AND_KEY, HEADERS, "")).status();
    }
}
