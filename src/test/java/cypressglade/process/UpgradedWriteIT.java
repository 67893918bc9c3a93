package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.CutClient;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A write runs once for its marked retry, whichever process of its scheduler has the first try and
 * which one gets the second: over upgrades, called-off ones, and kills.
 */
class UpgradedWriteIT {
    private static final String HEADERS = Site.headers(1500, "standard", "units=2,shard=0,hosts=1");
    private static final String BODY = "pickup 17";
    private static final String OTHER = SmallSite.WRITE.replace("d655", "d656");
    private static final int FAILED = 502;
    private static final long WORK_MS = 400;

    @TempDir Path folder;
    private final AtomicInteger runs = new AtomicInteger();
    private final HttpPeer node = new HttpPeer(this::work);
    private String options;

    private void work(Message request, DataOutputStream out) throws Exception {
        if (request.first().startsWith("PUT")) {
            runs.incrementAndGet();
            RealScheduler.pause(WORK_MS);
        }
        HttpPeer.answer(200, "", "done").answer(request, out);
    }

    @BeforeEach
    void turnStormsOn() throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("storms.json"),
                        Files.readString(Path.of("deploy/storms.json"))
                                .replace("\"enabled\": false", "\"enabled\": true"));
        options = "--storms " + file;
    }

    private SmallSite site() throws Exception {
        return new SmallSite(folder, node, Optional.empty(), UnaryOperator.identity(), options);
    }

    private RealScheduler next(SmallSite site) throws Exception {
        return RealScheduler.start(site.place, Optional.empty(), options);
    }

    private static CutClient connect(SmallSite site) throws Exception {
        return new CutClient(site.scheduler.address(), SmallSite.WRITE, HEADERS, BODY, 0);
    }

    private CutClient cutOff(SmallSite site) throws Exception {
        CutClient client = connect(site);
        client.sendRest();
        Site.await(() -> runs.get() == 1);
        return client;
    }

    private void assertNotSentAgain(CutClient client) throws Exception {
        assertThat(client.comeAgain()).isEqualTo(FAILED);
        RealScheduler.pause(WORK_MS);
        assertThat(runs).hasValue(1);
    }

    /** Guards against a new process that does not know what the old one has sent. */
    @Test
    void writeThatIsOutFromTheOldProcessIsNotSentByTheNewOne() throws Exception {
        try (SmallSite site = site();
                CutClient client = connect(site);
                RealScheduler second = next(site)) {
            site.scheduler.signal("TERM");
            while (site.scheduler.call("readyz").startsWith("200")) {
                RealScheduler.pause(5);
            }
            client.sendRest();
            Site.await(() -> runs.get() == 1);
            assertNotSentAgain(client);
            assertThat(site.scheduler.exit()).isNotNegative();
            assertThat(second.alive()).isTrue();
            assertNotSentAgain(client);
        }
    }

    /** Guards against the old process's stop being taken for that of the one that is killed. */
    @Test
    void writeThatIsOutAtAKillAfterAnUpgradeIsNotSentAgain() throws Exception {
        try (SmallSite site = site()) {
            RealScheduler second = next(site);
            site.scheduler.signal("TERM");
            assertThat(site.scheduler.exit()).isNotNegative();
            try (CutClient client = cutOff(site)) {
                second.close();
                try (RealScheduler third = next(site)) {
                    assertNotSentAgain(client);
                    assertThat(third.alive()).isTrue();
                }
            }
        }
    }

    /** Guards against the stop of an upgrade that was called off, in the same way. */
    @Test
    void writeThatIsOutAtAKillAfterACalledOffUpgradeIsNotSentAgain() throws Exception {
        try (SmallSite site = site()) {
            RealScheduler calledOff = next(site);
            calledOff.signal("TERM");
            assertThat(calledOff.exit()).isNotNegative();
            try (CutClient client = cutOff(site)) {
                site.scheduler.close();
                try (RealScheduler third = next(site)) {
                    assertNotSentAgain(client);
                    assertThat(third.alive()).isTrue();
                }
            }
        }
    }

    /** Guards against retries that are failed for longer than an upgrade takes. */
    @Test
    void retriesOfOtherWritesAreServedOnceTheOldProcessHasStopped() throws Exception {
        try (SmallSite site = site();
                RealScheduler second = next(site)) {
            site.scheduler.signal("TERM");
            assertThat(site.scheduler.exit()).isNotNegative();
            String retry = Site.request("PUT", OTHER, HEADERS + "X-Second-Try: 1\r\n", BODY);
            assertThat(second.alive()).isTrue();
            assertThat(ask(site, retry)).isEqualTo(200);
        }
    }

    private static int ask(SmallSite site, String request) throws Exception {
        try (Socket client = new Socket("127.0.0.1", site.place.port())) {
            SmallSite.send(client, request);
            return Message.read(new DataInputStream(client.getInputStream())).status();
        }
    }
}
