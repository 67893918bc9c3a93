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
 * Checks how lists arrive, or fail to arrive, from a scripted discovery service on a real socket.
 */
class DiscoveryWatchTest {
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LIST_WITH_DRAIN =
            "{\n  \"version\": 7,\n  \"full\": false,\n  \"servers\": [\n    {\n"
                    + "      \"id\": \"s-{]\\\"0\",\n      \"addr\": \"127.0.0.1:1\",\n"
                    + "      \"cell\": 0,\n"
                    + "      \"state\": \"leaving\",\n      \"weight\": 1.0\n    }\n  ]\n}\n";

    private final LinkedBlockingQueue<NodeList> lists = new LinkedBlockingQueue<>();
    private final Counters counters = new Counters();

    private DiscoveryWatch watch(EventLoop loop, InetSocketAddress address) {
        DiscoveryWatch watch =
                new DiscoveryWatch(
                        loop,
                        address,
                        new NodeListParser(List.of("a"), List.of("m")),
                        new NodeDirectory(),
                        lists::add,
                        counters,
                        false);
        watch.start();
        return watch;
    }

    private static void chunk(DataOutputStream out, String text) throws IOException {
        HttpPeer.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void assertDrainArrives() throws InterruptedException {
        NodeList list = lists.poll(6, TimeUnit.SECONDS);
        assertThat(list).as("received in time").isNotNull();
        assertThat(list.version()).isEqualTo(7);
        assertThat(list.entries()).extracting(NodeList.Entry::id).containsExactly("s-{]\"0");
    }

    /**
     * Adds up the time limits: from the last message of a watch, or from when discovery can be
     * reached again, through the given number of calls that fail as late as possible, to the list.
     * The sum must stay below the time after which the platform expects this program to know a
     * change.
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
    void changeArrivesWithinThePlatformsLimitAfterFailedCalls(
            String start, boolean centralService, int failedCalls, long limitMillis) {
        Limits limits = centralService ? Limits.CENTRAL_SERVICE : Limits.LOCAL_AGENT;
        Duration longest = start.equals("silent") ? limits.maxDetectionTime() : Duration.ZERO;
        Duration call =
                start.equals("reachable") // the last of many unanswered calls
                        ? limits.connectTimeout()
                                .plus(limits.maxResponseTimeout())
                                .plus(limits.reconnectDelay())
                        : limits.maxFailedCallTime();
        longest = longest.plus(call.multipliedBy(failedCalls));
        // a connection, a call and its response without failures
        Duration answer = Duration.ofMillis(50);
        assertThat(longest.plus(answer)).isLessThan(Duration.ofMillis(limitMillis));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void listSplitOverLinesAndChunksIsReadAsOne(int size) throws Exception {
        try (EventLoop loop = new EventLoop();
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    HttpPeer.write(out, RESPONSE_HEAD);
                                    for (int at = 0; at < LIST_WITH_DRAIN.length(); at += size) {
                                        int end = Math.min(LIST_WITH_DRAIN.length(), at + size);
                                        chunk(out, LIST_WITH_DRAIN.substring(at, end));
                                    }
                                    new CountDownLatch(1).await();
                                })) {
            watch(loop, agent.address());
            assertDrainArrives();
            assertThat(counters.get(Counters.Name.WATCH_BROKEN)).isZero();
        }
    }

    /**
     * The first call is accepted, and then comes: nothing, half a response, half a list, a reset,
     * an end of stream, an error status, or malformed data.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                RESPONSE_HEAD,
                RESPONSE_HEAD + "10\r\n{\"version\":7,\"se\r\n",
                "reset",
                "end",
                "HTTP/1.1 503 X\r\n" + "Content-Length: 0\r\n\r\n",
                RESPONSE_HEAD + "2\r\nno\r\n",
                RESPONSE_HEAD + "12\r\n{\"version\":\"7\n\"}\n\r\n"
            })
    void failedCallIsRetriedInTime(String first) throws Exception {
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
                                        HttpPeer.write(out, RESPONSE_HEAD);
                                        chunk(out, LIST_WITH_DRAIN);
                                    }
                                    new CountDownLatch(1).await();
                                })) {
            watch(loop, agent.address());
            assertDrainArrives();
            assertThat(calls).hasValue(2);
        }
    }

    /**
     * A connection to discovery that is never accepted must not delay the switch to the address of
     * a new configuration.
     */
    @Test
    void reconfigureLeavesAnAddressThatNeverAcceptsConnections() throws Exception {
        List<Socket> fillers = new ArrayList<>();
        try (EventLoop loop = new EventLoop();
                ServerSocket unresponsive =
                        new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    HttpPeer.write(out, RESPONSE_HEAD);
                                    chunk(out, LIST_WITH_DRAIN);
                                    new CountDownLatch(1).await();
                                })) {
            InetSocketAddress address = (InetSocketAddress) unresponsive.getLocalSocketAddress();
            // A full accept backlog drops connections, as an unreachable machine does.
            while (fillers.size() < 3) {
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
            assertDrainArrives();
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /**
     * An incomplete list that arrives byte by byte is no keep-alive, as it may never be complete.
     */
    @Test
    void incompleteObjectIsNoKeepAlive() throws Exception {
        String oneAndAHalf = "{\"version\":1,\"full\":false,\"servers\":[]}\n{\"version\":7,";
        AtomicInteger calls = new AtomicInteger();
        CountDownLatch again = new CountDownLatch(1);
        try (EventLoop loop = new EventLoop();
                HttpPeer agent =
                        new HttpPeer(
                                (request, out) -> {
                                    HttpPeer.write(out, RESPONSE_HEAD);
                                    if (calls.incrementAndGet() == 1) {
                                        chunk(out, oneAndAHalf);
                                        while (!again.await(200, TimeUnit.MILLISECONDS)) {
                                            chunk(out, "\n");
                                        }
                                    } else {
                                        again.countDown();
                                        chunk(out, LIST_WITH_DRAIN);
                                        new CountDownLatch(1).await();
                                    }
                                })) {
            watch(loop, agent.address());
            assertThat(lists.poll(5, TimeUnit.SECONDS).version()).isEqualTo(1);
            assertDrainArrives();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"]", "x", "{\"a\":\"\n"})
    void malformedStreamIsRejectedAtItsFirstWrongByte(String text) {
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
