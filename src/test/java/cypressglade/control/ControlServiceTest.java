package cypressglade.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressglade.cli.OperatorFiles;
import cypressglade.core.Counters.Name;
import cypressglade.core.MonotonicClock;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.Site;
import cypressglade.standin.StorageNode;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The control socket of a complete scheduler with two storage nodes. */
class ControlServiceTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final CountDownLatch writeMayFinish = new CountDownLatch(1);
    private final HttpPeer node =
            new HttpPeer(
                    (request, out) -> {
                        if (request.first().startsWith("PUT")) {
                            writeMayFinish.await();
                        }
                        HttpPeer.answer(200, "", "the data").answer(request, out);
                    });
    private final StorageNode otherNode = new StorageNode(0, false);
    private final List<AutoCloseable> open = new ArrayList<>(List.of(node, otherNode));
    @TempDir private Path directory;
    private ControlConfig config;
    private Site site;

    @BeforeEach
    void start() throws Exception {
        Files.setPosixFilePermissions(directory, PosixFilePermissions.fromString("rwx------"));
        config = new ControlConfig(directory);
        site = site();
    }

    private Site site() throws Exception {
        Site fresh =
                new Site(
                        List.of(node.hostPort(), otherNode.hostPort()),
                        new OperatorFiles(Optional.empty(), Optional.empty(), Optional.of(config)));
        open.add(fresh);
        return fresh;
    }

    @AfterEach
    void close() throws Exception {
        writeMayFinish.countDown();
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    private JsonNode call(String what, Map<String, String> fields) throws IOException {
        try (ControlClient client = new ControlClient(config.socket())) {
            return JSON.readTree(client.call(what, fields));
        }
    }

    private JsonNode drain(String command) throws IOException {
        return call(
                "drain",
                Map.of(
                        "node", "s-0", "force", "true", "command", command, "who", "ann", "why",
                        "disk"));
    }

    private int ask(String method) throws IOException {
        return site.ask(
                        Site.request(
                                method,
                                "/job-"
                                        + (method.equals("GET") ? "read" : "write")
                                        + "/00000003b4d60021/7f3a9c21e0b4d655",
                                Site.headers(900, "standard", "units=2,shard=0,hosts=1"),
                                method.equals("GET") ? "" : "x"))
                .status();
    }

    private JsonNode events() throws IOException {
        return call("events", Map.of()).path("events");
    }

    @Test
    void viewShowsNodesQueuesAndRejections() throws Exception {
        assertThat(ask("GET")).isEqualTo(200);
        JsonNode view = call("view", Map.of());
        assertThat(view.path("nodes").findValuesAsText("id")).containsExactly("s-0", "s-1");
        assertThat(view.path("nodes").path(0).path("state").asText()).isEqualTo("ready");
        assertThat(view.path("nodes").path(0).path("answers").asInt()).isEqualTo(1);
        assertThat(view.path("queues").findValuesAsText("class"))
                .containsExactly("job-read", "job-write");
        assertThat(view.path("counters").path("answered_served").asInt()).isEqualTo(1);
        assertThat(view.path("given_up").path("no_node").asInt()).isZero();
        assertThat(call("settings", Map.of()).path("settings").findValuesAsText("setting"))
                .contains("discovery", "class job-read", "plan basic");
    }

    /**
     * A running write ends at its node, no new request starts there, and the write is not sent to
     * another node.
     */
    @Test
    void drainLetsRunningWritesEndAndStartsNoNewRequests() throws Exception {
        CompletableFuture<Integer> write =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return ask("PUT");
                            } catch (IOException failed) {
                                throw new IllegalStateException(failed);
                            }
                        });
        Site.await(() -> node.requests.size() == 1);
        assertThat(drain("one").path("acted").asBoolean()).isTrue();
        assertThat(ask("GET")).isEqualTo(503);
        assertThat(call("view", Map.of()).path("nodes").findValuesAsText("state"))
                .contains("drained by hand");
        assertThat(events().findValuesAsText("event")).doesNotContain("drain.done");
        writeMayFinish.countDown();
        assertThat(write.get()).isEqualTo(200);
        Site.await(
                () -> {
                    try {
                        return events().findValuesAsText("event").contains("drain.done");
                    } catch (IOException failed) {
                        throw new IllegalStateException(failed);
                    }
                });
        assertThat(call("view", Map.of()).path("nodes").findValuesAsText("state"))
                .contains("drained by hand");
        assertThat(node.requests).hasSize(1);
        assertThat(otherNode.arrivals).isEmpty();
    }

    /**
     * A drain acts once when it is ordered by several consoles at once, replayed, and ordered again
     * after a restart.
     */
    @Test
    void drainActsOnceAndOutlastsARestartAndDiscoveryUpdates() throws Exception {
        List<CompletableFuture<Boolean>> outcomes = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String command = "c" + i % 4;
            outcomes.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return drain(command).path("acted").asBoolean();
                                } catch (IOException failed) {
                                    throw new IllegalStateException(failed);
                                }
                            }));
        }
        assertThat(outcomes.stream().filter(CompletableFuture::join).count()).isEqualTo(1);
        site.tell(42, 0, node.hostPort(), "active");
        assertThat(ask("GET")).isEqualTo(503);
        open.remove(site);
        site.close();
        site = site();
        assertThat(drain("again").path("acted").asBoolean()).isFalse();
        assertThat(ask("GET")).isEqualTo(503);
        JsonNode restored = call("view", Map.of()).path("drains").path(0);
        assertThat(restored.path("who").asText() + restored.path("why").asText())
                .isEqualTo("anndisk");
        assertThat(call("undrain", Map.of("node", "s-0")).path("acted").asBoolean()).isTrue();
        assertThat(ask("GET")).isEqualTo(200);
    }

    @Test
    void drainThatCannotBeStoredIsInForceAndReportedAsNotDurable() throws Exception {
        Files.createDirectory(directory.resolve("drains.snap.tmp"));
        JsonNode answer = drain("one");
        assertThat(answer.path("acted").asBoolean()).isTrue();
        assertThat(answer.path("durable").asBoolean()).isFalse();
        assertThat(ask("GET")).isEqualTo(503);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "drain|{\"node\":\"x\"}|no node is called",
                "drain|{\"node\":\"s-\"}|fits several",
                "drain|{\"node\":\"s-1\"}|alone holds shard 1",
                "fly|{}|is not known here"
            })
    void refusedOrdersCarryAnErrorAndARemedy(String row) throws Exception {
        String[] parts = row.split("\\|");
        JsonNode answer =
                call(
                        parts[0],
                        JSON.readValue(parts[1], Map.class).isEmpty()
                                ? Map.of()
                                : Map.of("node", JSON.readTree(parts[1]).path("node").asText()));
        assertThat(answer.path("ok").asBoolean()).isFalse();
        assertThat(answer.path("error").asText()).contains(parts[2]);
        assertThat(answer.path("remedy").asText()).isNotEmpty();
        assertThat(ask("GET")).isEqualTo(200);
    }

    private SocketChannel raw(String bytes) throws IOException {
        SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(config.socket()));
        open.add(channel);
        ByteBuffer out = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8));
        try {
            while (out.hasRemaining()) {
                channel.write(out);
            }
        } catch (IOException closed) {
            // the server closed the connection; its answer can still be read
        }
        return channel;
    }

    private static String readToEnd(SocketChannel channel) throws IOException {
        StringBuilder text = new StringBuilder();
        ByteBuffer in = ByteBuffer.allocate(8192);
        try {
            while (channel.read(in.clear()) >= 0) {
                text.append(StandardCharsets.UTF_8.decode(in.flip()));
            }
        } catch (IOException reset) {
            return text.toString();
        }
        return text.toString();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "no json\n",
                "[]\n",
                "{\"v\":2,\"do\":\"view\"}\n",
                "{\"v\":1}\n",
                "{\"v\":1,\"do\":{\"x\":1}}\n",
                "{\"v\":1,\"do\":\"view\"} {}\n",
                "\u0000\u0001\n"
            })
    void malformedLinesCloseOnlyTheirOwnConnection(String line) throws Exception {
        assertThat(readToEnd(raw(line))).contains("\"ok\":false").contains("\"remedy\"");
        assertThat(call("view", Map.of()).path("ok").asBoolean()).isTrue();
    }

    @Test
    void linesOverTheBoundAreRefused() throws Exception {
        assertThat(readToEnd(raw("x".repeat(200_000)))).contains("is over");
        assertThat(call("view", Map.of()).path("ok").asBoolean()).isTrue();
    }

    /**
     * Clients that stop reading must neither make the server buffer without bound nor delay other
     * clients and requests.
     */
    @Test
    void clientsThatStopReadingDoNotDelayOthers() throws Exception {
        raw("{\"v\":1,\"do\":\"watch\"}\n");
        raw("{\"v\":1,\"do\":\"view\"}\n".repeat(3000));
        try (ControlClient reads = new ControlClient(config.socket())) {
            JsonNode first = JSON.readTree(reads.call("watch", Map.of()));
            JsonNode second = JSON.readTree(reads.readLine());
            assertThat(first.path("nodes").size() + second.path("nodes").size()).isEqualTo(4);
            assertThat(ask("GET")).isEqualTo(200);
        }
        assertThat(site.serve.counters().get(Name.MODULE_FAULTS)).isZero();
    }

    @Test
    void ninthClientIsRefused() throws Exception {
        for (int i = 0; i < 8; i++) {
            ControlClient client = new ControlClient(config.socket());
            open.add(client);
            client.call("events", Map.of());
        }
        assertThat(readToEnd(raw(""))).contains("8 clients already");
    }

    @Test
    void liveSocketIsKeptStaleSocketReplacedAndOpenDirectoryRefused() throws Exception {
        assertThat(Files.getPosixFilePermissions(config.socket())).hasSize(2);
        assertThatThrownBy(this::site)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("a scheduler that runs");
        open.remove(site);
        site.close();
        assertThat(config.socket()).doesNotExist();
        ServerSocketChannel dead =
                ServerSocketChannel.open(java.net.StandardProtocolFamily.UNIX)
                        .bind(UnixDomainSocketAddress.of(config.socket()));
        dead.close(); // the socket file stays, as after a kill
        assertThat(config.socket()).exists();
        site = site();
        assertThat(call("view", Map.of()).path("ok").asBoolean()).isTrue();
        open.remove(site);
        site.close();
        Files.setPosixFilePermissions(directory, PosixFilePermissions.fromString("rwxr-x---"));
        assertThatThrownBy(this::site)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("chmod 700");
    }

    /** A client must not keep its connection with an incomplete line; the test sets the clock. */
    @Test
    void incompleteLineEndsTheConnectionAfterABoundedTime() throws Exception {
        ControlConfig own =
                new ControlConfig(
                        Files.createDirectory(
                                directory.resolve("own"),
                                PosixFilePermissions.asFileAttribute(
                                        PosixFilePermissions.fromString("rwx------"))));
        Instant[] now = {MonotonicClock.now()};
        try (ControlServer server =
                new ControlServer(
                        own.socket(),
                        new ControlServer.Handler() {
                            @Override
                            public void handleRequest(
                                    ControlRequest call, Consumer<byte[]> answer) {}

                            @Override
                            public void tick() {
                                now[0] = now[0].plusSeconds(1);
                            }

                            @Override
                            public void writeStatusFrame(Consumer<byte[]> line) {}
                        },
                        () -> now[0])) {
            server.start();
            config = own;
            assertThat(readToEnd(raw("{\"v\":1,"))).isEmpty();
        }
    }
}
