package cypressglade.http;

import cypressglade.config.ConfigException;
import cypressglade.config.NodeListParser;
import cypressglade.core.Counters;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;

/**
 * Watches the node list of the discovery service by an HTTP stream, and passes on each list. After
 * any failure it connects again and continues from the last known version. Each step of a watch has
 * a time limit, so that a change that a dead watch misses arrives before the platform expects this
 * program to know it; {@link Limits} has the values.
 */
public final class DiscoveryWatch {
    private static final System.Logger LOG = System.getLogger(DiscoveryWatch.class.getName());

    private final EventLoop loop;
    private InetSocketAddress address;
    private NodeListParser listParser;
    private final NodeDirectory directory;
    private final Consumer<NodeList> listConsumer;
    private final Counters counters;
    private final Limits limits;
    private final CountDownLatch firstList = new CountDownLatch(1);
    private Watch current;
    private String lastLoggedReason = "";
    private boolean fullListNeeded;
    private int unansweredCalls;

    /**
     * The time limits of a watch's steps.
     *
     * @param connectTimeout until the connection is open
     * @param responseTimeout until the first object of the response, for the first call after one
     *     that was answered
     * @param maxResponseTimeout the upper bound of the response timeout, which doubles with each
     *     unanswered call: a discovery service that handles calls one after the other would
     *     otherwise be kept busy with abandoned calls for ever
     * @param silenceTimeout between two lists or keep-alive messages; one is sent every 2 s
     * @param reconnectDelay from a failure to the next connection
     */
    record Limits(
            Duration connectTimeout,
            Duration responseTimeout,
            Duration maxResponseTimeout,
            Duration silenceTimeout,
            Duration reconnectDelay) {
        private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
        private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
        private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

        /**
         * For an agent on this machine, to which lists are pushed. It answers at once, but after an
         * outage of discovery it may answer only a new call.
         */
        static final Limits LOCAL_AGENT =
                new Limits(
                        CONNECT_TIMEOUT,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        SILENCE_TIMEOUT,
                        RECONNECT_DELAY);

        /** For a central discovery service that all instances call. */
        static final Limits CENTRAL_SERVICE =
                new Limits(
                        CONNECT_TIMEOUT,
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(4),
                        SILENCE_TIMEOUT,
                        RECONNECT_DELAY);

        /** The longest time from the last message of a watch that falls silent to the next call. */
        Duration maxDetectionTime() {
            return silenceTimeout.plus(reconnectDelay);
        }

        /** The longest time from the start of a call that fails to the next call. */
        Duration maxFailedCallTime() {
            return connectTimeout.plus(responseTimeout).plus(reconnectDelay);
        }

        private Duration responseTimeoutAfter(int unansweredCalls) {
            Duration doubled = responseTimeout.multipliedBy(1L << Math.min(unansweredCalls, 3));
            return doubled.compareTo(maxResponseTimeout) < 0 ? doubled : maxResponseTimeout;
        }
    }

    /**
     * Creates a watch that begins with {@link #start}.
     *
     * @param directory gives the version to continue from
     * @param listConsumer gets each list, on the I/O thread
     * @param centralService whether {@code address} is a central service, and not an agent on this
     *     machine
     */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            NodeListParser listParser,
            NodeDirectory directory,
            Consumer<NodeList> listConsumer,
            Counters counters,
            boolean centralService) {
        this.loop = loop;
        this.address = address;
        this.listParser = listParser;
        this.directory = directory;
        this.listConsumer = listConsumer;
        this.counters = counters;
        this.limits = centralService ? Limits.CENTRAL_SERVICE : Limits.LOCAL_AGENT;
    }

    /** Starts the watch; may be called from any thread. */
    public void start() {
        loop.execute(this::open);
    }

    /**
     * Waits for the first list, which may be empty. Must not be called on the I/O thread.
     *
     * @return whether a list arrived in time; false, for example, while discovery is down
     */
    public boolean awaitFirstList(Duration timeout) throws InterruptedException {
        return firstList.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Switches to a new address at once, from any thread: the old service ends its watches soon,
     * and the platform expects this program to know what the new one lists. Its versions need not
     * continue those of the old one, so the full list is requested.
     */
    public void reconfigure(InetSocketAddress nextAddress, NodeListParser nextListParser) {
        loop.execute(
                () -> {
                    listParser = nextListParser;
                    if (!nextAddress.equals(address)) {
                        address = nextAddress;
                        fullListNeeded = true;
                        unansweredCalls = 0;
                        if (current != null) {
                            current.abandon();
                        }
                        open();
                    }
                });
    }

    private void open() {
        if (current == null) { // otherwise a new address has already started a watch
            current = new Watch();
            current.open();
        }
    }

    /** One watch, on one connection. */
    private final class Watch implements Connection.Listener, JsonFraming.Handler {
        private final ResponseParser parser = new ResponseParser(this::readBody, Long.MAX_VALUE);
        private final JsonFraming framing = new JsonFraming(this);
        private EventLoop.PendingConnection pendingConnection;
        private Connection connection;
        private XnioExecutor.Key timer = () -> false;
        private boolean isListReceived;
        private int steps; // timers started so far

        private void open() {
            startTimer(limits.connectTimeout(), "connect timed out");
            pendingConnection =
                    loop.connect(address, this::handleConnected, () -> restart("connect failed"));
        }

        /**
         * Replaces the timer: the watch restarts for this reason unless its next step ends in time.
         */
        private void startTimer(Duration timeout, String reason) {
            timer.remove();
            steps++;
            int step = steps;
            timer = loop.executeAfter(timeout, () -> restartUnlessRead(step, reason));
        }

        /** Restarts the watch, unless what it waits for has arrived while this thread was busy. */
        private void restartUnlessRead(int step, String reason) {
            if (connection != null && current == this) {
                connection.readNow();
            }
            if (steps == step) {
                restart(reason);
            }
        }

        private void handleConnected(Connection up) {
            pendingConnection = null;
            if (current != this) {
                up.close();
                return;
            }
            connection = up;
            connection.readInto(this);
            startTimer(limits.responseTimeoutAfter(unansweredCalls), "no response in time");
            unansweredCalls++;
            connection.send(
                    ResponseParser.ascii(
                            "GET /v1/servers?stream=1&index="
                                    + (fullListNeeded ? 0 : directory.version())
                                    + " HTTP/1.1\r\nHost: discovery\r\n\r\n"));
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            try {
                if (parser.feed(in)) {
                    restart("stream ended");
                }
            } catch (IOException malformed) {
                restart(malformed.getMessage());
            }
        }

        @Override
        public void ended() {
            restart("stream ended");
        }

        @Override
        public void failed() {
            restart("connection failed");
        }

        private void readBody(ByteBuffer part) throws IOException {
            if (parser.status() != 200) {
                throw new IOException("status " + parser.status());
            }
            framing.feed(part);
        }

        @Override
        public void object(byte[] text) throws IOException {
            NodeList list;
            try {
                list = listParser.parse(text, 0, text.length);
            } catch (ConfigException bad) {
                throw new IOException(bad.getMessage(), bad);
            }
            listConsumer.accept(list);
            fullListNeeded = false;
            unansweredCalls = 0;
            lastLoggedReason = "";
            isListReceived = true;
            firstList.countDown();
            startTimer(limits.silenceTimeout(), "no keep-alive message in time");
        }

        /**
         * A line between objects is a keep-alive message. Bytes of an incomplete object are not, as
         * the rest of it may never arrive.
         */
        @Override
        public void lineRead() {
            if (isListReceived) {
                startTimer(limits.silenceTimeout(), "no keep-alive message in time");
            }
        }

        private void abandon() {
            current = null;
            timer.remove();
            if (connection != null) {
                connection.close();
            } else if (pendingConnection != null) {
                pendingConnection.cancel();
            }
        }

        private void restart(String reason) {
            if (current == this) {
                abandon();
                counters.add(Counters.Name.WATCH_BROKEN);
                if (!reason.equals(lastLoggedReason)) { // logs an outage once, not at each attempt
                    lastLoggedReason = reason;
                    LOG.log(System.Logger.Level.INFO, "discovery watch restarts: {0}", reason);
                }
                loop.executeAfter(limits.reconnectDelay(), DiscoveryWatch.this::open);
            }
        }
    }
}
