package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Counters;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.NodeList;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import cypressglade.net.EventLoop;
import cypressglade.net.NodePool;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The load figures in a node's answer reach the scheduling policy as the simulator's protocol has
 * them.
 */
class NodeClientTest {
    private static final String LOAD_HEADERS =
            "Volume-Load: 240\r\nOther-Hosts: 6\r\n"
                    + "Endpoint-Load-Metrics: TEXT queue=3, latency_ms=52.5\r\n";

    private static AttemptResult exchange(HttpPeer.Script script) throws Exception {
        NodeDirectory directory = new NodeDirectory();
        try (HttpPeer node = new HttpPeer(script);
                EventLoop loop = new EventLoop()) {
            directory.update(
                    new NodeList(
                            1,
                            true,
                            List.of(
                                    new NodeList.Entry(
                                            "s-0",
                                            node.address(),
                                            0,
                                            0,
                                            0,
                                            State.READY,
                                            1,
                                            Instant.EPOCH))));
            NodePool pool =
                    new NodePool(
                            loop,
                            directory,
                            new Counters(),
                            Duration.ofMillis(250),
                            Duration.ofSeconds(5),
                            4);
            NodeClient client = new NodeClient(pool, 1 << 20, List.of("queue", "latency_ms"));
            CompletableFuture<AttemptResult> result = new CompletableFuture<>();
            client.send(
                    1,
                    new NodeRequest(
                            "GET",
                            "/ledger-read/00000003b4d60021/7f3a9c21e0b4d655",
                            "t-1",
                            Optional.empty(),
                            new byte[0]),
                    MonotonicClock.now().plusSeconds(5),
                    () -> true,
                    result::complete);
            return result.get(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void servedAnswerReportsUseUnitsByOthersAndLoad() throws Exception {
        AttemptResult result = exchange(HttpPeer.answer(200, LOAD_HEADERS, "entry"));
        assertThat(result.status()).isEqualTo(Status.OK);
        assertThat(new String(result.answer(), java.nio.charset.StandardCharsets.US_ASCII))
                .isEqualTo("entry");
        assertThat(result.metadata().usePercentPlusOne()).isEqualTo(241);
        assertThat(result.metadata().unitsByOthers()).isEqualTo(6);
        assertThat(result.metadata().load().values()).containsExactly(3f, 52.5f);
    }

    @Test
    void rejectionReportsLoadButHasNoBody() throws Exception {
        AttemptResult result =
                exchange(HttpPeer.answer(503, "X-Never-Ran: 1\r\n" + LOAD_HEADERS, "full"));
        assertThat(result.status()).isEqualTo(Status.FULL);
        assertThat(result.answer()).isEmpty();
        assertThat(result.metadata().usePercentPlusOne()).isEqualTo(241);
    }

    @Test
    void truncatedAnswerReportsNothing() throws Exception {
        AttemptResult result =
                exchange(
                        (request, out) -> {
                            HttpPeer.write(
                                    out,
                                    "HTTP/1.1 200 OK\r\n"
                                            + LOAD_HEADERS
                                            + "Content-Length: 10\r\n\r\nhalf");
                            throw new IOException("cut");
                        });
        assertThat(result.status()).isNotEqualTo(Status.OK);
        assertThat(result.metadata().usePercentPlusOne()).isZero();
        assertThat(result.metadata().load().values()).isEmpty();
    }

    /** An answer without a length is complete at the end of the stream, but not after a reset. */
    @ParameterizedTest
    @CsvSource({"false,OK", "true,RESET"})
    void onlyEndOfStreamCompletesAnAnswerWithoutALength(boolean reset, Status status)
            throws Exception {
        AttemptResult result =
                exchange(
                        (request, out) -> {
                            HttpPeer.write(
                                    out,
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                            + "half of the entry");
                            throw reset ? new StandIn.Reset() : new IOException("the end");
                        });
        assertThat(result.status()).isEqualTo(status);
    }
}
