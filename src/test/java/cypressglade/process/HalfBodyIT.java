package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.process.RealScheduler.Place;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A request whose head is here and whose body is on its way is owed an answer, also where
 * connections are closed.
 */
class HalfBodyIT {
    private static final String WRITE = "/job-write/00000003b4d60021/7f3a9c21e0b4d655";

    /** The front sees the health turn and stops sending; then idle connections are closed. */
    private static final long UNTIL_CLOSED_MS = 400;

    private static final String BODY = "z".repeat(2000);

    @TempDir Path folder;

    /** Guards against taking a connection whose request has come half for one at rest. */
    @Test
    void aRequestWhoseBodyIsAwaitedOutlivesTheCloseOfIdleConnections() throws Exception {
        try (HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "written"))) {
            Place place =
                    Place.in(
                            folder,
                            Site.entry(0, node.hostPort(), "active", 0),
                            "127.0.0.1:1",
                            192);
            try (RealScheduler scheduler = RealScheduler.start(place, Optional.empty());
                    Socket client = scheduler.connect()) {
                DataInputStream in = new DataInputStream(client.getInputStream());
                send(client, request());
                assertThat(Message.read(in).status()).isEqualTo(200);
                String second = request();
                send(client, second.substring(0, second.length() - BODY.length()));
                RealScheduler.pause(UNTIL_CLOSED_MS / 4);
                assertThat(scheduler.call("evacuate")).startsWith("200 ");
                RealScheduler.pause(UNTIL_CLOSED_MS);
                send(client, BODY);
                assertThat(Message.read(in).status()).isEqualTo(200);
            }
        }
    }

    private static String request() {
        return Site.request(
                "PUT", WRITE, Site.headers(900, "standard", "units=2,shard=0,hosts=1"), BODY);
    }

    private static void send(Socket client, String text) throws java.io.IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
