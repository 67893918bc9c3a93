package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.process.RealScheduler.Place;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The wall clock is stepped by an hour under a process that runs. */
class ClockStepIT {
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    private static final String HEADERS = Site.headers(900, "standard", "units=1,shard=0,hosts=1");
    private static final int REQUESTS = 20;
    private static final int[] STEPS_AT = {5, 15};

    @TempDir Path folder;
    private final HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "the data"));
    private FaultLibrary faults;
    private Place place;

    @BeforeEach
    void prepare() throws Exception {
        faults = new FaultLibrary(Files.createDirectory(folder.resolve("faults")));
        place = Place.in(folder, Site.entry(0, node.hostPort(), "active", 0), "127.0.0.1:1", 192);
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"back", "ahead"})
    void requestsAreAnsweredThroughAStepAndItsReturn(String step) throws Exception {
        try (RealScheduler scheduler = RealScheduler.start(place, Optional.of(faults));
                Socket client = scheduler.connect()) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            for (int i = 0; i < REQUESTS; i++) {
                if (i == STEPS_AT[0]) {
                    faults.on(step);
                } else if (i == STEPS_AT[1]) {
                    faults.off(step);
                }
                client.getOutputStream()
                        .write(
                                Site.request("GET", READ, HEADERS, "")
                                        .getBytes(StandardCharsets.US_ASCII));
                int status = Message.read(in).status();
                String why = status == 200 ? "" : scheduler.get("/recent") + scheduler.output();
                assertThat(status).as("request %d, %s", i, why).isEqualTo(200);
            }
        }
    }

    /** Guards against bans that are ahead of a clock that was stepped back, and taken for none. */
    @Test
    void aBanHoldsInTheNextProcessThoughTheClockWasSteppedBack() throws Exception {
        try (RealScheduler scheduler = RealScheduler.start(place, Optional.of(faults))) {
            assertThat(scheduler.call("exclude s-0")).startsWith("200 ");
        }
        faults.on("back");
        try (RealScheduler next = RealScheduler.start(place, Optional.of(faults))) {
            assertThat(next.call("include s-0")).isEqualTo("200 included s-0");
        }
    }
}
