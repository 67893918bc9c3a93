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
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A connection in the backlog is accepted by the machine: what is sent on it is owed an answer in
 * time.
 */
class AcceptFaultIT {
    private static final Duration FAULT = Duration.ofMillis(1500);
    private static final Duration IN_TIME = Duration.ofMillis(900);
    private static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";

    @TempDir Path folder;

    /**
     * Guards against a wait after a failed accept that grows with each failure and outlasts the
     * fault by seconds.
     */
    @Test
    void clientsAreTakenAgainAsSoonAsAcceptWorks() throws Exception {
        FaultLibrary faults = new FaultLibrary(Files.createDirectory(folder.resolve("faults")));
        try (HttpPeer node = new HttpPeer(HttpPeer.answer(200, "", "the data"))) {
            Place place =
                    Place.in(
                            folder,
                            Site.entry(0, node.hostPort(), "active", 0),
                            "127.0.0.1:1",
                            192);
            try (RealScheduler scheduler = RealScheduler.start(place, Optional.of(faults))) {
                assertThat(ask(scheduler).status()).isEqualTo(200);
                faults.on("accept");
                try (Socket early = scheduler.connect()) {
                    RealScheduler.pause(FAULT.toMillis());
                    faults.off("accept");
                    long begun = System.nanoTime();
                    assertThat(ask(scheduler).status()).isEqualTo(200);
                    Duration took = Duration.ofNanos(System.nanoTime() - begun);
                    assertThat(took)
                            .as("from the end of the fault to an answer")
                            .isLessThan(IN_TIME);
                    assertThat(early.isConnected()).isTrue();
                }
            }
        }
    }

    private static Message ask(RealScheduler scheduler) throws IOException {
        try (Socket client = scheduler.connect()) {
            client.getOutputStream()
                    .write(
                            Site.request(
                                            "GET",
                                            READ,
                                            Site.headers(
                                                    (int) IN_TIME.toMillis(),
                                                    "standard",
                                                    "units=2,shard=0,hosts=1"),
                                            "")
                                    .getBytes(StandardCharsets.US_ASCII));
            return Message.read(new DataInputStream(client.getInputStream()));
        }
    }
}
