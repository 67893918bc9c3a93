package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Counters;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
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
 * What a node's answer tells beside itself reaches the module, as the simulator's wire would tell
 * it.
 */
class NodeClientTest {
    private static final String TOLD =
            "Volume-Load: 240\r\nOther-Hosts: 6\r\n"
                    + "Endpoint-Load-Metrics: TEXT queue=3, latency_ms=52.5\r\n";

    private static NodeLink.AttemptResult exchange(HttpPeer.Script script) throws Exception {
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
            CompletableFuture<NodeLink.AttemptResult> ended = new CompletableFuture<>();
            client.send(
                    1,
                    new HttpWork(
                            "GET",
                            "/ledger-read/00000003b4d60021/7f3a9c21e0b4d655",
                            "t-1",
                            Optional.empty(),
                            new byte[0]),
                    MonotonicClock.now().plusSeconds(5),
                    () -> true,
                    ended::complete);
            return ended.get(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void aServedAnswerTellsUseUnitsByOthersAndLoad() throws Exception {
        NodeLink.AttemptResult ending = exchange(HttpPeer.answer(200, TOLD, "entry"));
        assertThat(ending.status()).isEqualTo(Status.OK);
        assertThat(new String(ending.answer(), java.nio.charset.StandardCharsets.US_ASCII))
                .isEqualTo("entry");
        assertThat(ending.metadata().usePercentPlusOne()).isEqualTo(241);
        assertThat(ending.metadata().unitsByOthers()).isEqualTo(6);
        assertThat(ending.metadata().load()).containsExactly(3f, 52.5f);
    }

    @Test
    void anAnswerTurnedAwayTellsTooButCarriesNoBody() throws Exception {
        NodeLink.AttemptResult ending =
                exchange(HttpPeer.answer(503, "X-Never-Ran: 1\r\n" + TOLD, "full"));
        assertThat(ending.status()).isEqualTo(Status.FULL);
        assertThat(ending.answer()).isEmpty();
        assertThat(ending.metadata().usePercentPlusOne()).isEqualTo(241);
    }

    @Test
    void anAnswerCutShortTellsNothing() throws Exception {
        NodeLink.AttemptResult ending =
                exchange(
                        (request, out) -> {
                            HttpPeer.write(
                                    out,
                                    "HTTP/1.1 200 OK\r\n"
                                            + TOLD
                                            + "Content-Length: 10\r\n\r\nhalf");
                            throw new IOException("cut");
                        });
        assertThat(ending.status()).isNotEqualTo(Status.OK);
        assertThat(ending.metadata().usePercentPlusOne()).isZero();
        assertThat(ending.metadata().load()).isEmpty();
    }

    /** An answer with no length is whole where its connection ends, and not where that is reset. */
    @ParameterizedTest
    @CsvSource({"false,OK", "true,RESET"})
    void onlyAnOrderlyEndEndsAnAnswerWithoutALength(boolean reset, Status status) throws Exception {
        NodeLink.AttemptResult ending =
                exchange(
                        (request, out) -> {
                            HttpPeer.write(
                                    out,
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                            + "half of the entry");
                            throw reset ? new StandIn.Reset() : new IOException("the end");
                        });
        assertThat(ending.status()).isEqualTo(status);
    }
}
