package cypressglade.net;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Counters;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.NodeList;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import cypressglade.standin.StandIn;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The node pool on its own, against a node that answers each byte with a byte. */
class NodePoolTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    private final AtomicInteger bytesAtNode = new AtomicInteger();
    private volatile boolean wanted = true;
    private final NodeDirectory directory = new NodeDirectory();
    private final CountDownLatch nodeSawEndOfStream = new CountDownLatch(1);
    private final StandIn node =
            new StandIn() {
                @Override
                protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
                    for (int next = in.read(); next >= 0; next = in.read()) {
                        bytesAtNode.incrementAndGet();
                        out.write(next);
                        out.flush();
                    }
                    nodeSawEndOfStream.countDown();
                }
            };

    private AttemptResult exchange(
            NodePool pool, long number, Duration time, Consumer<Runnable> preparation)
            throws Exception {
        CompletableFuture<AttemptResult> ended = new CompletableFuture<>();
        NodePool.Exchange exchange =
                pool
                .new Exchange(
                        number, MonotonicClock.now().plus(time), () -> wanted, ended::complete) {
                    @Override
                    protected void prepare(Connection fresh, Runnable ready, Runnable unusable) {
                        preparation.accept(ready);
                    }

                    @Override
                    protected Optional<InetSocketAddress> address(
                            NodeDirectory.ListedNode listedNode) {
                        return Optional.of(listedNode.address());
                    }

                    @Override
                    protected List<ByteBuffer> message(Duration left) {
                        return List.of(ByteBuffer.wrap(new byte[] {7}));
                    }

                    @Override
                    protected Optional<Status> read(ByteBuffer in) {
                        in.position(in.limit());
                        return Optional.of(Status.OK);
                    }

                    @Override
                    protected boolean isReusable() {
                        return true;
                    }

                    @Override
                    protected byte[] answer() {
                        return new byte[0];
                    }
                };
        exchange.start();
        return ended.get(5, TimeUnit.SECONDS);
    }

    @Test
    void idleConnectionIsClosedWellBeforeTheNodesLimitAndUnknownNodesGetNothing() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            assertThat(exchange(pool, 1, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.OK);
            assertThat(nodeSawEndOfStream.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(exchange(pool, 2, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.CONNECT_FAILED);
            assertThat(node.connections).hasValue(1);
        }
    }

    /** Guards against a node being taken for dead when only the request's own deadline passed. */
    @Test
    void slowConnectionIsTheNodesFaultOnlyIfTheRequestHadTimeLeft() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            assertThat(exchange(pool, 1, Duration.ofMillis(20), ready -> {}).status())
                    .isEqualTo(Status.MOOT);
            assertThat(exchange(pool, 1, LONG_TIMEOUT, ready -> {}).status())
                    .isEqualTo(Status.CONNECT_FAILED);
        }
    }

    /** Guards against a request on a slow connection to a node that started to drain meanwhile. */
    @Test
    void drainDuringConnectPreventsTheRequest() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            assertThat(
                            exchange(
                                            pool,
                                            1,
                                            LONG_TIMEOUT,
                                            ready -> {
                                                listNode(State.DRAINING);
                                                ready.run();
                                            })
                                    .status())
                    .isEqualTo(Status.CONNECT_FAILED);
            assertThat(nodeSawEndOfStream.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(bytesAtNode).hasValue(0);
        }
    }

    /**
     * Guards against a request on a slow connection after its client has left, or to the node's
     * former address.
     */
    @ParameterizedTest
    @CsvSource({"true,MOOT", "false,CONNECT_FAILED"})
    void clientLeavingOrAddressChangeDuringConnectPreventsTheRequest(
            boolean clientLeaves, Status status) throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            InetSocketAddress elsewhere = new InetSocketAddress(node.address().getAddress(), 1);
            Status ended =
                    exchange(
                                    pool,
                                    1,
                                    LONG_TIMEOUT,
                                    ready -> {
                                        if (clientLeaves) {
                                            wanted = false;
                                        } else {
                                            listNode(State.READY, elsewhere);
                                        }
                                        ready.run();
                                    })
                            .status();
            assertThat(ended).isEqualTo(status);
            assertThat(nodeSawEndOfStream.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(bytesAtNode).hasValue(0);
        }
    }

    @Test
    void unwantedRequestOpensNoConnection() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            wanted = false;
            assertThat(exchange(pool(loop), 1, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.MOOT);
            assertThat(node.connections).hasValue(0);
        }
    }

    /**
     * Guards against a write on a connection to the node's previous process, which may have died
     * without closing it.
     */
    @Test
    void idleConnectionFromBeforeTheNodesStartIsNotReused() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            listNode(State.READY);
            NodePool pool =
                    new NodePool(
                            loop,
                            directory,
                            new Counters(),
                            Duration.ofMillis(250),
                            Duration.ofMinutes(1),
                            4);
            assertThat(exchange(pool, 1, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.OK);
            assertThat(exchange(pool, 1, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.OK);
            assertThat(node.connections).hasValue(1);
            directory.update(
                    new NodeList(
                            2,
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
                                            MonotonicClock.now()))));
            assertThat(exchange(pool, 1, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.OK);
            assertThat(node.connections).hasValue(2);
        }
    }

    /**
     * Guards against connections that outlive their node and occupy file descriptors here and
     * connection slots at the node.
     */
    @Test
    void idleConnectionIsClosedWhenItsNodeIsGone() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            listNode(State.READY);
            NodePool pool =
                    new NodePool(
                            loop,
                            directory,
                            new Counters(),
                            Duration.ofMillis(250),
                            Duration.ofMinutes(1),
                            4);
            assertThat(exchange(pool, 1, LONG_TIMEOUT, Runnable::run).status())
                    .isEqualTo(Status.OK);
            listNode(State.GONE);
            assertThat(nodeSawEndOfStream.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    /**
     * Guards against waiting for an unreachable machine. A full accept backlog drops connections as
     * such a machine does.
     */
    @Test
    void connectTimeoutEndsAnAttemptToAnUnresponsiveAddress() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (node;
                EventLoop loop = new EventLoop();
                ServerSocket unresponsive =
                        new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) unresponsive.getLocalSocketAddress();
            try {
                while (fillers.size() < 20) {
                    fillers.add(new Socket());
                    fillers.get(fillers.size() - 1).connect(address, 100);
                }
                throw new AssertionError("the backlog has no end");
            } catch (SocketTimeoutException full) {
                NodePool pool = pool(loop);
                listNode(State.READY, address);
                assertThat(exchange(pool, 1, LONG_TIMEOUT, Runnable::run).status())
                        .isEqualTo(Status.CONNECT_FAILED);
            }
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    private void listNode(State state) {
        listNode(state, node.address());
    }

    private void listNode(State state, InetSocketAddress address) {
        directory.update(
                new NodeList(
                        1,
                        true,
                        List.of(
                                new NodeList.Entry(
                                        "s-0", address, 0, 0, 0, state, 1, Instant.EPOCH))));
    }

    private NodePool pool(EventLoop loop) {
        listNode(State.READY);
        return new NodePool(
                loop, directory, new Counters(), Duration.ofMillis(250), Duration.ofMillis(200), 4);
    }
}
