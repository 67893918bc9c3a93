package cypressglade.net;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Counters;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
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

/** Node connections by themselves, against a node that answers each byte with a byte. */
class NodePoolTest {
    private static final Duration LONG = Duration.ofSeconds(5);

    private final AtomicInteger bytes = new AtomicInteger();
    private volatile boolean wanted = true;
    private final NodeDirectory directory = new NodeDirectory();
    private final CountDownLatch nodeSawTheEnd = new CountDownLatch(1);
    private final StandIn node =
            new StandIn() {
                @Override
                protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
                    for (int next = in.read(); next >= 0; next = in.read()) {
                        bytes.incrementAndGet();
                        out.write(next);
                        out.flush();
                    }
                    nodeSawTheEnd.countDown();
                }
            };

    private NodeLink.AttemptResult exchange(
            NodePool pool, long number, Duration time, Consumer<Runnable> prepares)
            throws Exception {
        CompletableFuture<NodeLink.AttemptResult> ended = new CompletableFuture<>();
        NodePool.Exchange exchange =
                pool
                .new Exchange(
                        number, MonotonicClock.now().plus(time), () -> wanted, ended::complete) {
                    @Override
                    protected void prepare(Connection fresh, Runnable ready, Runnable unusable) {
                        prepares.accept(ready);
                    }

                    @Override
                    protected Optional<InetSocketAddress> address(NodeDirectory.ListedNode known) {
                        return Optional.of(known.address());
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
            assertThat(exchange(pool, 1, LONG, Runnable::run).status()).isEqualTo(Status.OK);
            assertThat(nodeSawTheEnd.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(exchange(pool, 2, LONG, Runnable::run).status())
                    .isEqualTo(Status.CONNECT_FAILED);
            assertThat(node.connections).hasValue(1);
        }
    }

    /** Guards against a node being taken for dead when it was the request whose time ran out. */
    @Test
    void slowConnectionSpeaksOfTheNodeOnlyWhereTheRequestHadTime() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            assertThat(exchange(pool, 1, Duration.ofMillis(20), ready -> {}).status())
                    .isEqualTo(Status.MOOT);
            assertThat(exchange(pool, 1, LONG, ready -> {}).status())
                    .isEqualTo(Status.CONNECT_FAILED);
        }
    }

    /**
     * Guards against a slow connection carrying work to a node that was told to drain meanwhile.
     */
    @Test
    void drainToldWhileAConnectionComesUpHoldsTheRequestBack() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            assertThat(
                            exchange(
                                            pool,
                                            1,
                                            LONG,
                                            ready -> {
                                                tell(State.DRAINING);
                                                ready.run();
                                            })
                                    .status())
                    .isEqualTo(Status.CONNECT_FAILED);
            assertThat(nodeSawTheEnd.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(bytes).hasValue(0);
        }
    }

    /**
     * Guards against a slow connection carrying a request whose client has left, or to where the
     * node was.
     */
    @ParameterizedTest
    @CsvSource({"true,MOOT", "false,CONNECT_FAILED"})
    void whatChangesWhileAConnectionComesUpHoldsTheRequestBack(boolean clientLeaves, Status status)
            throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            NodePool pool = pool(loop);
            InetSocketAddress elsewhere = new InetSocketAddress(node.address().getAddress(), 1);
            Status ended =
                    exchange(
                                    pool,
                                    1,
                                    LONG,
                                    ready -> {
                                        if (clientLeaves) {
                                            wanted = false;
                                        } else {
                                            tell(State.READY, elsewhere);
                                        }
                                        ready.run();
                                    })
                            .status();
            assertThat(ended).isEqualTo(status);
            assertThat(nodeSawTheEnd.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(bytes).hasValue(0);
        }
    }

    /** A request that nobody waits for opens no connection. */
    @Test
    void whatIsNotWantedIsNotDialled() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            wanted = false;
            assertThat(exchange(pool(loop), 1, LONG, Runnable::run).status())
                    .isEqualTo(Status.MOOT);
            assertThat(node.connections).hasValue(0);
        }
    }

    /**
     * Guards against a write on a connection to the process before, which may have died without a
     * word.
     */
    @Test
    void idleConnectionFromBeforeTheNodesStartIsNotUsed() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            tell(State.READY);
            NodePool pool =
                    new NodePool(
                            loop,
                            directory,
                            new Counters(),
                            Duration.ofMillis(250),
                            Duration.ofMinutes(1),
                            4);
            assertThat(exchange(pool, 1, LONG, Runnable::run).status()).isEqualTo(Status.OK);
            assertThat(exchange(pool, 1, LONG, Runnable::run).status()).isEqualTo(Status.OK);
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
            assertThat(exchange(pool, 1, LONG, Runnable::run).status()).isEqualTo(Status.OK);
            assertThat(node.connections).hasValue(2);
        }
    }

    /**
     * Guards against connections that outlive their node, as descriptors of ours and as room of the
     * node's.
     */
    @Test
    void idleConnectionGoesWithItsNode() throws Exception {
        try (node;
                EventLoop loop = new EventLoop()) {
            tell(State.READY);
            NodePool pool =
                    new NodePool(
                            loop,
                            directory,
                            new Counters(),
                            Duration.ofMillis(250),
                            Duration.ofMinutes(1),
                            4);
            assertThat(exchange(pool, 1, LONG, Runnable::run).status()).isEqualTo(Status.OK);
            tell(State.GONE);
            assertThat(nodeSawTheEnd.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    /**
     * Guards against waiting on a machine that is cut off: a full backlog swallows connections as
     * it does.
     */
    @Test
    void connectionThatNeverComesUpEndsByItsLimit() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (node;
                EventLoop loop = new EventLoop();
                ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) deaf.getLocalSocketAddress();
            try {
                while (fillers.size() < 20) {
                    fillers.add(new Socket());
                    fillers.get(fillers.size() - 1).connect(address, 100);
                }
                throw new AssertionError("the backlog has no end");
            } catch (SocketTimeoutException full) {
                NodePool pool = pool(loop);
                tell(State.READY, address);
                assertThat(exchange(pool, 1, LONG, Runnable::run).status())
                        .isEqualTo(Status.CONNECT_FAILED);
            }
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    private void tell(State state) {
        tell(state, node.address());
    }

    private void tell(State state, InetSocketAddress address) {
        directory.update(
                new NodeList(
                        1,
                        true,
                        List.of(
                                new NodeList.Entry(
                                        "s-0", address, 0, 0, 0, state, 1, Instant.EPOCH))));
    }

    private NodePool pool(EventLoop loop) {
        tell(State.READY);
        return new NodePool(
                loop, directory, new Counters(), Duration.ofMillis(250), Duration.ofMillis(200), 4);
    }
}
