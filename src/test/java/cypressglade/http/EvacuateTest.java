package cypressglade.http;

import static cypressglade.standin.HttpPeer.answer;
import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
import cypressglade.config.ConfigException;
import cypressglade.standin.DoorCall;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Evacuation by an operator's command: the health check fails, and each open connection is closed
 * after its next response.
 */
class EvacuateTest {
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=2,shard=0,hosts=1");

    private final HttpPeer node = new HttpPeer(answer(200, "", "the data"));
    private Site site;

    @BeforeEach
    void start() throws Exception {
        site =
                new Site(
                        Site.entry(0, node.hostPort(), "active", 0),
                        OperatorFiles.NONE,
                        config -> {
                            try {
                                return config.operatorFrom("127.0.0.1:0");
                            } catch (ConfigException bad) {
                                throw new IllegalStateException(bad);
                            }
                        });
    }

    @AfterEach
    void stop() throws IOException {
        site.close();
        node.close();
    }

    private String call(String line) throws IOException {
        return DoorCall.call(site.serve.operatorAddress().orElseThrow(), line);
    }

    private int health() {
        try {
            return site.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").status();
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }

    @Test
    void evacuationFailsTheHealthCheckAndClosesConnectionsAfterTheirResponse() throws Exception {
        try (Socket used = site.connect();
                Socket idle = site.connect()) {
            DataInputStream in = new DataInputStream(used.getInputStream());
            used.getOutputStream()
                    .write(
                            Site.request("GET", READ, HEADERS, "")
                                    .getBytes(StandardCharsets.US_ASCII));
            assertThat(Message.read(in).status()).isEqualTo(200);
            idle.getOutputStream()
                    .write(
                            Site.request("GET", READ, HEADERS, "")
                                    .getBytes(StandardCharsets.US_ASCII));
            assertThat(Message.read(new DataInputStream(idle.getInputStream())).status())
                    .isEqualTo(200);

            assertThat(call("evacuate")).startsWith("200 ");
            assertThat(health()).isEqualTo(503);
            used.getOutputStream()
                    .write(
                            Site.request("GET", READ, HEADERS, "")
                                    .getBytes(StandardCharsets.US_ASCII));
            Message served = Message.read(in);
            assertThat(served.status()).as("an open connection is still served").isEqualTo(200);
            assertThat(in.read()).as("and then closed").isEqualTo(-1);
            assertThat(idle.getInputStream().read())
                    .as("an idle connection is closed")
                    .isEqualTo(-1);
            assertThat(call("readyz")).as("the process still serves clients").startsWith("200 ");
        }
        assertThat(call("activate")).startsWith("200 ");
        Site.await(() -> health() == 200);
    }
}
