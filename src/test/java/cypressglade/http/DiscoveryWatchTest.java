package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.config.NodeListParser;
import cypressglade.core.Counters;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.http.DiscoveryWatch.Limits;
import cypressglade.net.EventLoop;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.StandIn;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Every way in which a list comes, or fails to come, from a discovery that is scripted on a real
 * socket.
 */
class DiscoveryWatchTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String DRAINS =
            "{\n  \"version\": 7,\n  \"full\": false,\n  \"servers\": [\n    {\n"
                    + "      \"id\": \"s-{]\\\"0\",\n      \"addr\": \"127.0.0.1:1\",\n"
                    + "      \"cell\": 0,\n"
                    + "      \"state\": \"leaving\",\n      \"weight\": 1.0\n    }\n  ]\n}\n";

    private final LinkedBlockingQueue<NodeList> told = new LinkedBlockingQueue<>();
    private final Counters counters = new Counters();

    private DiscoveryWatch watch(EventLoop loop, InetSocketAddress address) {
        DiscoveryWatch watch =
                new DiscoveryWatch(
                        loop,
                        address,
                        new NodeListParser(List.of("a"), List.of("m")),
                        new NodeDirectory(),
                        told::add,
                        counters,
                        false);
        watch.start();
        return watch;
    }

    private static void chunk(DataOutputStream out, String text) throws IOException {
        HttpPeer.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void assertDrainIsTold() throws InterruptedException {
        NodeList list = told.poll(6, TimeUnit.SECONDS);
        assertThat(list).as("told in time").isNotNull();
        assertThat(list.version()).isEqualTo(7);
        assertThat(list.entries()).extracting(NodeList.Entry::id).containsExactly("s-{]\"0");
    }

    /**
     * The arithmetic of the design: from the last sign of life, or from when discovery can be
     * reached, to the list, with as many calls that fail in their worst way as may be; against what
     * counts as told.
     */
    @ParameterizedTest
    @CsvSource({
        "silent,false,1,6000",
        "silent,true,1,6000",
        "reachable,false,2,6000",
        "reachable,true,1,6000",
        "hang-up,false,2,4000",
        "hang-up,true,1,4000"
    })
    void whatCountsAsToldIsHereByThen(String from, boolean asked, int failed, long toldAfterMs) {
        Limits limits = asked ? Limits.ASKED : Limits.PUSHED;
        Duration most = from.equals("silent") ? limits.found() : Duration.ZERO;
        Duration call =
                from.equals("reachable") // the last of many that were not answered
                        ? limits.connect().plus(limits.mostAnswer()).plus(limits.again())
                        : limits.failed();
        most = most.plus(call.multipliedBy(failed));
        // a connection, a call and its answer, where all is well
        Duration answer = Duration.ofMillis(50);
        assertThat(most.plus(answer)).isLessThan(Duration.ofMillis(toldAfterMs));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void aListOverManyLinesAndInPiecesIsTakenAsOne(int size) throws Exception {
        try (EventLoop loop = new EventLoop();
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    HttpPeer.write(out, HEAD);
                                    for (int at = 0; at < DRAINS.length(); at += size) {
                                        int end = Math.min(DRAINS.length(), at + size);
                                        chunk(out, DRAINS.substring(at, end));
                                    }
                                    new CountDownLatch(1).await();
                                })) {
            watch(loop, agent.address());
            assertDrainIsTold();
            assertThat(counters.get(Counters.Name.WATCH_BROKEN)).isZero();
        }
    }

    /**
     * The first call is accepted and then: nothing, half an answer, half a list, a reset, an end, a
     * refusal.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                HEAD,
                HEAD + "10\r\n{\"version\":7,\"se\r\n",
                "reset",
                "end",
                "HTTP/1.1 503 X\r\n" + "Content-Length: 0\r\n\r\n",
                HEAD + "2\r\nno\r\n",
                HEAD + "12\r\n{\"version\":\"7\n\"}\n\r\n"
            })
    void aCallThatFailsIsMadeAgainInTime(String first) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (EventLoop loop = new EventLoop();
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    if (calls.incrementAndGet() == 1) {
                                        if (first.equals("reset")) {
                                            throw new StandIn.Reset();
                                        } else if (first.equals("end")) {
                                            throw new IOException("the end");
                                        }
                                        HttpPeer.write(out, first);
                                    } else {
                                        HttpPeer.write(out, HEAD);
                                        chunk(out, DRAINS);
                                    }
                                    new CountDownLatch(1).await();
                                })) {
            watch(loop, agent.address());
            assertDrainIsTold();
            assertThat(calls).hasValue(2);
        }
    }

    /**
     * A discovery whose connections never come up is left for the one that a new configuration
     * names.
     */
    @Test
    void aConnectionThatNeverComesUpHoldsNothingUp() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (EventLoop loop = new EventLoop();
                ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    HttpPeer.write(out, HEAD);
                                    chunk(out, DRAINS);
                                    new CountDownLatch(1).await();
                                })) {
            InetSocketAddress address = (InetSocketAddress) deaf.getLocalSocketAddress();
            while (fillers.size()
                    < 3) { // a full backlog swallows connections, as a machine that is cut off does
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(address, 100);
                } catch (java.net.SocketTimeoutException full) {
                    break;
                }
            }
            DiscoveryWatch watch = watch(loop, address);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (counters.get(Counters.Name.WATCH_BROKEN) < 2 && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertThat(counters.get(Counters.Name.WATCH_BROKEN)).isGreaterThanOrEqualTo(2);
            watch.reconfigure(agent.address(), new NodeListParser(List.of("a"), List.of("m")));
            assertDrainIsTold();
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /**
     * Half a list that goes on coming byte by byte is no sign of life: its change may never be
     * whole.
     */
    @Test
    void halfAnObjectKeepsNoWatchAlive() throws Exception {
        String oneAndAHalf = "{\"version\":1,\"full\":false,\"servers\":[]}\n{\"version\":7,";
        AtomicInteger calls = new AtomicInteger();
        CountDownLatch again = new CountDownLatch(1);
        try (EventLoop loop = new EventLoop();
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    HttpPeer.write(out, HEAD);
                                    if (calls.incrementAndGet() == 1) {
                                        chunk(out, oneAndAHalf);
                                        while (!again.await(200, TimeUnit.MILLISECONDS)) {
                                            chunk(out, "\n");
                                        }
                                    } else {
                                        again.countDown();
                                        chunk(out, DRAINS);
                                        new CountDownLatch(1).await();
                                    }
                                })) {
            watch(loop, agent.address());
            assertThat(told.poll(5, TimeUnit.SECONDS).version()).isEqualTo(1);
            assertDrainIsTold();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"]", "x", "{\"a\":\"\n"})
    void whatIsNoStreamOfObjectsIsToldAtItsFirstWrongByte(String text) {
        JsonFraming framing =
                new JsonFraming(
                        new JsonFraming.Handler() {
                            @Override
                            public void object(byte[] whole) {}

                            @Override
                            public void lineRead() {}
                        });
        assertThatThrownBy(
                        () ->
                                framing.feed(
                                        java.nio.ByteBuffer.wrap(
                                                text.getBytes(StandardCharsets.US_ASCII))))
                .isInstanceOf(IOException.class);
    }
}
