package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
import cypressglade.config.Config;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Reload of the settings: open requests keep the settings that they started with. */
class SettingsReloadTest {
    private static final String VOLUME_AND_KEY = "/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=2,shard=0,hosts=1");

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

    private static int ask(Site site, String classPath) throws Exception {
        return site.ask(Site.request("GET", classPath + VOLUME_AND_KEY, HEADERS, "")).status();
    }
}
