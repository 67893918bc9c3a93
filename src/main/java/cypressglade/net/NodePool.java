package cypressglade.net;

import cypressglade.core.AnswerStream;
import cypressglade.core.Counters;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.NodeLink.AttemptObserver;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.NodeLink.ResponseMetadata;
import cypressglade.core.Scheduler.Status;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.xnio.XnioExecutor;

/**
 * A pool of connections to the storage nodes that carries one request at a time on each connection.
 * Its state belongs to the I/O thread. The pool never retries; the result of an attempt says
 * exactly whether the last byte of its request was written.
 */
public final class NodePool {
    /** How long a health probe of a node may take, from the connection to the whole answer. */
    public static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);

    private static final Duration MAX_IDLE_TIMEOUT = Duration.ofSeconds(12);
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /**
     * How long a node may write nothing of an answer that is passed on; nobody waits for what comes
     * after.
     */
    private static final Duration MAX_STREAM_SILENCE = Duration.ofSeconds(3);

    /** Time after which an answer that its client does not take may be given up for others. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(1);

    /** An answer of which a part came within this time is taken to go on at the deadline. */
    private static final Duration RECENT = Duration.ofSeconds(1);

    /** A longer wait for a connection would count the send too late against a volume's limit. */
    private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofMillis(150);

    private final EventLoop loop;
    private final NodeDirectory directory;
    private final Counters counters;
    private Duration maxConnectTime;
    private Duration idleTimeout;
    private int maxConnections;
    private final Map<String, ArrayDeque<IdleConnection>> idle = new HashMap<>();
    private final Set<Exchange.Stream> streams = new HashSet<>();
    private int openConnections;

    /**
     * Creates a pool without connections.
     *
     * @param loop runs all of the pool's work
     * @param directory gives addresses, states and start times of the nodes
     * @param connectTimeout how long a connection may take to open; at most 150 ms are used
     * @param nodeIdleTimeout after which time nodes close an idle connection; the pool closes it
     *     after half of that, and after 12 s at the latest
     * @param maxConnections the maximum of open connections to all nodes together
     */
    public NodePool(
            EventLoop loop,
            NodeDirectory directory,
            Counters counters,
            Duration connectTimeout,
            Duration nodeIdleTimeout,
            int maxConnections) {
        this.loop = loop;
        this.directory = directory;
        this.counters = counters;
        reconfigure(connectTimeout, nodeIdleTimeout, maxConnections);
        loop.executeAfter(SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Changes the limits, from any thread. Connections that exceed them are closed as they become
     * idle.
     */
    public void reconfigure(Duration connectTimeout, Duration nodeIdleTimeout, int max) {
        loop.execute(
                () -> {
                    maxConnectTime = shorter(connectTimeout, MAX_CONNECT_TIMEOUT);
                    idleTimeout = shorter(nodeIdleTimeout.dividedBy(2), MAX_IDLE_TIMEOUT);
                    maxConnections = max;
                });
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /**
     * A connection between two requests. Any input closes it, as a node sends nothing without a
     * request.
     */
    private final class IdleConnection implements Connection.Listener {
        private final Connection connection;
        private final String poolKey;
        private final long node;
        private final Instant idleSince;

        IdleConnection(Connection connection, String poolKey, long node) {
            this.connection = connection;
            this.poolKey = poolKey;
            this.node = node;
            // A connection that was taken from the pool but not used counts as idle all along.
            idleSince = connection.lastActivity();
        }

        @Override
        public void received(ByteBuffer in) {
            counters.add(Counters.Name.STRAY_BYTES);
            discard();
        }

        @Override
        public void ended() {
            discard();
        }

        void discard() {
            idle.get(poolKey).remove(this);
            close(connection);
        }
    }

    /**
     * Takes a usable idle connection out of the pool. Closes those that the node may have closed by
     * now, and those to the process before the node's last start, which may have died without
     * closing them.
     */
    private Optional<Connection> takeIdle(String poolKey, Instant nodeStarted) {
        ArrayDeque<IdleConnection> pooled = idle.getOrDefault(poolKey, new ArrayDeque<>());
        Instant oldest = MonotonicClock.now().minus(idleTimeout);
        while (!pooled.isEmpty()) {
            IdleConnection last = pooled.pollLast();
            if (last.idleSince.isBefore(oldest) || last.idleSince.isBefore(nodeStarted)) {
                close(last.connection);
            } else if (last.connection.hasNoInput()) {
                return Optional.of(last.connection);
            } else {
                // Bytes after the last answer that have arrived but are not read yet would be taken
                // for the next answer.
                counters.add(Counters.Name.STRAY_BYTES);
                close(last.connection);
            }
        }
        return Optional.empty();
    }

    private void addIdle(Connection connection, String poolKey, long node) {
        IdleConnection pooled = new IdleConnection(connection, poolKey, node);
        idle.computeIfAbsent(poolKey, key -> new ArrayDeque<>()).addLast(pooled);
        connection.readInto(pooled);
    }

    /** The only place that closes a connection and counts it out. */
    private void close(Connection connection) {
        openConnections--;
        connection.close();
    }

    private void sweep() {
        Instant oldest = MonotonicClock.now().minus(idleTimeout);
        for (ArrayDeque<IdleConnection> pooled : idle.values()) {
            // A node that drains or is gone gets no more requests, so its connections are closed
            // too.
            List.copyOf(pooled).stream()
                    .filter(
                            one ->
                                    one.idleSince.isBefore(oldest)
                                            || directory.findReady(one.node).isEmpty())
                    .forEach(IdleConnection::discard);
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        loop.executeAfter(SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Makes room for a new connection, if the pool is full: by closing the one that was idle
     * longest, or that of the answer which its client has not taken for longest.
     *
     * @return whether there is room; false where every connection carries a request
     */
    private boolean makeRoom() {
        if (openConnections >= maxConnections) {
            idle.values().stream()
                    .map(ArrayDeque::peekFirst)
                    .filter(Objects::nonNull)
                    .min(Comparator.comparing(pooled -> pooled.idleSince))
                    .ifPresent(IdleConnection::discard);
        }
        if (openConnections >= maxConnections) {
            Instant longAgo = MonotonicClock.now().minus(MIN_PAUSE);
            streams.stream()
                    .filter(stream -> stream.isPaused && stream.pausedAt.isBefore(longAgo))
                    .min(Comparator.comparing(stream -> stream.pausedAt))
                    .ifPresent(Exchange.Stream::giveUp);
        }
        return openConnections < maxConnections;
    }

    /**
     * One request and its answer on a connection. It ends exactly once. Subclasses implement the
     * protocol; all methods but {@link #start} run on the I/O thread.
     */
    public abstract class Exchange implements Connection.Listener {
        private final long node;
        private final Instant deadline;
        private final BooleanSupplier wanted;
        private final AttemptObserver observer;
        private String poolKey;
        private EventLoop.PendingConnection pendingConnection;
        private Connection connection;
        private XnioExecutor.Key timer;
        private Instant startedAt = MonotonicClock.now();
        private boolean requestStarted;
        private Instant lastReadAt = startedAt;
        private XnioExecutor.Key silenceTimer;
        private boolean isSilent;
        private Optional<Stream> stream = Optional.empty();
        private boolean finished;

        /**
         * Creates an exchange that begins with {@link #start}.
         *
         * @param node the node's number in the directory
         * @param deadline the deadline of the attempt, by the monotonic clock
         * @param wanted whether the answer is still needed; asked before connecting and before the
         *     request is written
         * @param observer is told what becomes of the exchange, on the I/O thread
         */
        protected Exchange(
                long node, Instant deadline, BooleanSupplier wanted, AttemptObserver observer) {
            this.node = node;
            this.deadline = deadline;
            this.wanted = wanted;
            this.observer = observer;
        }

        /**
         * The node's address for this protocol, given its entry in the directory; empty if it has
         * none.
         */
        protected abstract Optional<InetSocketAddress> address(NodeDirectory.ListedNode listedNode);

        /**
         * Tells apart connections to one address that are not interchangeable; "" where all are.
         */
        protected String purpose() {
            return "";
        }

        /**
         * Prepares a new connection for its first request, for example by a handshake, and then
         * runs one of the two callbacks.
         */
        protected void prepare(Connection fresh, Runnable ready, Runnable unusable) {
            ready.run();
        }

        /**
         * The request as buffers that are written in order, without a copy.
         *
         * @param left the time until the deadline
         */
        protected abstract List<ByteBuffer> message(Duration left);

        /**
         * Reads a part of the answer.
         *
         * @return the attempt's status once the answer is complete; empty before
         * @throws IOException where the answer violates the protocol
         */
        protected abstract Optional<Status> read(ByteBuffer in) throws IOException;

        /**
         * The time without input after which an answer that has begun is reported as silent; the
         * exchange goes on all the same. Empty where it is not reported.
         */
        protected Optional<Duration> silenceTime() {
            return Optional.empty();
        }

        /** Bytes of one read of an answer that is not passed on yet. */
        protected int readLimit() {
            return EventLoop.INPUT_BUFFER_BYTES;
        }

        /** Whether what has arrived of an answer must not be held back any longer. */
        protected boolean mustPassOn() {
            return false;
        }

        /** Whether an answer that is incomplete at the deadline may be passed on from then on. */
        protected boolean mayPassOn() {
            return false;
        }

        /** The length of the answer's body in bytes, if it is known. */
        protected OptionalLong answerLength() {
            return OptionalLong.empty();
        }

        /** Passes on the next bytes of an answer that is being passed on. */
        protected final void passOn(ByteBuffer part) {
            stream.orElseThrow().receiver.received(part);
        }

        /** Whether the answer is being passed on while it arrives. */
        protected final boolean isPassedOn() {
            return stream.isPresent();
        }

        /**
         * The attempt's status if the end of the stream completes the answer; empty if it does not.
         */
        protected Optional<Status> readEndOfStream() {
            return Optional.empty();
        }

        /** Whether the connection may carry another request after a complete answer. */
        protected abstract boolean isReusable();

        /** The body of the answer as far as it was read. */
        protected abstract byte[] answer();

        /** Releases what the exchange holds, after its end. */
        protected void release() {}

        /**
         * The load figures reported with the answer; {@link ResponseMetadata#NOTHING} where the
         * answer is incomplete.
         */
        protected ResponseMetadata responseMetadata() {
            return ResponseMetadata.NOTHING;
        }

        /**
         * Starts the exchange, from any thread, without blocking; the returned attempt can be
         * cancelled.
         */
        public Attempt start() {
            loop.execute(this::open);
            return () -> loop.execute(this::cancel);
        }

        /** Ends the attempt early. An answer that is passed on is cancelled by its stream only. */
        private void cancel() {
            if (stream.isEmpty()) {
                end(Status.CANCELLED);
            }
        }

        private void open() {
            startedAt = MonotonicClock.now();
            Optional<NodeDirectory.ListedNode> listedNode = directory.findReady(node);
            Optional<InetSocketAddress> address = listedNode.flatMap(this::address);
            poolKey = address.map(this::poolKey).orElse("");
            Optional<Status> reasonNotToSend = reasonNotToSend();
            if (reasonNotToSend.isPresent()) {
                endUnsent(reasonNotToSend.get());
                return;
            }
            Optional<Connection> pooled =
                    takeIdle(poolKey, listedNode.orElseThrow().monotonicStart());
            if (pooled.isPresent()) {
                connection = pooled.get();
                sendRequest();
                return;
            }
            if (!makeRoom()) { // bounds file descriptors; no fault of the node
                endUnsent(Status.MOOT);
                return;
            }
            openConnections++;
            counters.add(Counters.Name.CONNECTIONS_OPENED);
            Duration left = MonotonicClock.until(deadline);
            boolean deadlineFirst = left.compareTo(maxConnectTime) < 0;
            setTimer(
                    deadlineFirst ? left : maxConnectTime,
                    deadlineFirst ? Status.MOOT : Status.CONNECT_FAILED);
            pendingConnection =
                    loop.connect(address.get(), this::handleConnected, this::handleConnectFailure);
        }

        private void handleConnected(Connection up) {
            if (finished) {
                close(up);
                return;
            }
            connection = up;
            prepare(connection, this::sendRequest, () -> end(Status.CONNECT_FAILED));
        }

        private void handleConnectFailure() {
            openConnections--;
            pendingConnection = null;
            end(Status.CONNECT_FAILED);
        }

        private String poolKey(InetSocketAddress address) {
            return address + purpose();
        }

        /**
         * Decides whether the request may be sent to its node now; gives the status to end with if
         * not. While a slow connection is opened, the node may start to drain or move to another
         * address, the deadline may pass, or the client may leave. The last two are no fault of the
         * node.
         */
        private Optional<Status> reasonNotToSend() {
            if (MonotonicClock.until(deadline).isZero() || !wanted.getAsBoolean()) {
                return Optional.of(Status.MOOT);
            }
            return directory
                            .findReady(node)
                            .flatMap(this::address)
                            .map(this::poolKey)
                            .filter(poolKey::equals)
                            .isPresent()
                    ? Optional.empty()
                    : Optional.of(Status.CONNECT_FAILED);
        }

        private void sendRequest() {
            if (finished) {
                return;
            }
            Optional<Status> reasonNotToSend = reasonNotToSend();
            if (reasonNotToSend.isPresent()) {
                addIdle(connection, poolKey, node);
                connection = null;
                endUnsent(reasonNotToSend.get());
                return;
            }
            Duration left = MonotonicClock.until(deadline);
            requestStarted = true;
            setTimer(left, Status.TIMEOUT);
            connection.setReadLimit(readLimit());
            connection.readInto(this);
            connection.send(message(left));
        }

        private void endUnsent(Status status) {
            counters.add(Counters.Name.HELD_BACK_AT_NODE);
            end(status);
        }

        /**
         * Handles input. An unreadable answer is a failed attempt that may have run. It shows that
         * the node is alive, so it counts as an error and not as a reset; the connection is closed.
         */
        @Override
        public final void received(ByteBuffer in) {
            Optional<Status> status;
            lastReadAt = MonotonicClock.now();
            setSilent(false);
            try {
                status = read(in);
            } catch (IOException unreadable) {
                endUnreadable();
                return;
            }
            if (finished) { // by who receives the answer
                return;
            }
            if (status.isEmpty()) {
                handlePart();
            } else if (status.get() == Status.OK && connection.unsentBytes() > 0) {
                endUnreadable(); // not an answer to this request, which is not fully written
            } else {
                if (!in.hasRemaining() && isReusable() && connection.unsentBytes() == 0) {
                    addIdle(connection, poolKey, node);
                    connection = null;
                }
                end(status.get());
            }
        }

        private void handlePart() {
            if (stream.isEmpty() && connection.unsentBytes() == 0 && mustPassOn()) {
                beginStream();
            } else if (stream.isEmpty()) {
                silenceTime().ifPresent(this::watchSilence);
            }
        }

        private void endUnreadable() {
            counters.add(Counters.Name.SPOILT);
            end(statusIfWritten(Status.ERROR));
        }

        /**
         * Detects an answer that stops halfway on a connection that stays open. Uses one timer per
         * exchange, which is cancelled at its end: with a timer for each read, the pending timers
         * kept the bodies of recently ended exchanges in the heap.
         */
        private void watchSilence(Duration silenceTime) {
            if (silenceTimer == null) {
                silenceTimer =
                        loop.executeAfter(
                                silenceTime.minus(silentFor()), () -> checkSilence(silenceTime));
            }
        }

        private void checkSilence(Duration silenceTime) {
            silenceTimer = null;
            connection.readNow(); // input that arrived while this thread was busy
            if (finished || stream.isPresent()) {
                return;
            }
            if (silentFor().compareTo(silenceTime) < 0) {
                watchSilence(silenceTime);
            } else {
                counters.add(Counters.Name.SPOILT);
                setSilent(true);
            }
        }

        private Duration silentFor() {
            return Duration.between(lastReadAt, MonotonicClock.now());
        }

        private void setSilent(boolean silent) {
            if (isSilent != silent) {
                isSilent = silent;
                observer.silenceChanged(silent);
            }
        }

        /** Hands over what has arrived of the answer, and from here on passes on what comes. */
        private void beginStream() {
            removeTimers();
            isSilent = false; // its observer knows the attempt as ended from here on
            connection.pauseReading();
            Stream rest = new Stream();
            stream = Optional.of(rest);
            streams.add(rest);
            counters.add(Counters.Name.STREAMED);
            rest.watchSilence();
            observer.ended(result(Status.OK).withRest(rest));
            release();
        }

        private AttemptResult result(Status status) {
            return AttemptResult.fromResponse(status, answer(), responseMetadata(), latency());
        }

        private Duration latency() {
            Duration duration =
                    Duration.between(startedAt, MonotonicClock.now()).minus(loop.meanLateness());
            return duration.isNegative() ? Duration.ZERO : duration;
        }

        private void removeTimers() {
            if (timer != null) {
                timer.remove();
            }
            if (silenceTimer != null) {
                silenceTimer.remove();
                silenceTimer = null;
            }
        }

        /** The answer from where it began to be passed on; ends with its exchange. */
        private final class Stream implements AnswerStream {
            private Receiver receiver;
            private boolean isPaused = true;
            private Instant pausedAt = MonotonicClock.now();

            @Override
            public OptionalLong length() {
                return answerLength();
            }

            @Override
            public void start(Receiver client) {
                if (finished) {
                    client.failed();
                    return;
                }
                receiver = client;
                resume(EventLoop.INPUT_BUFFER_BYTES);
            }

            @Override
            public void pause() {
                isPaused = true;
                pausedAt = MonotonicClock.now();
                if (!finished) {
                    connection.pauseReading();
                }
            }

            @Override
            public void resume(int maxBytes) {
                if (!finished) {
                    isPaused = false;
                    lastReadAt = MonotonicClock.now();
                    connection.setReadLimit(maxBytes);
                    connection.readInto(Exchange.this);
                }
            }

            @Override
            public void cancel() {
                loop.execute(
                        () -> {
                            receiver = null;
                            end(Status.CANCELLED);
                        });
            }

            private void giveUp() {
                end(Status.CANCELLED);
            }

            private void watchSilence() {
                lastReadAt = MonotonicClock.now();
                silenceTimer = loop.executeAfter(MAX_STREAM_SILENCE, this::checkSilence);
            }

            /** Ends a stream that its node does not write, or that nobody has started. */
            private void checkSilence() {
                if (!isPaused) {
                    connection.readNow(); // input that arrived while this thread was busy
                }
                if (finished) {
                    return;
                }
                Duration silent = Duration.between(lastReadAt, MonotonicClock.now());
                boolean isAwaited = receiver == null || !isPaused;
                if (isAwaited && silent.compareTo(MAX_STREAM_SILENCE) >= 0) {
                    end(Status.RESET);
                } else {
                    silenceTimer = loop.executeAfter(MAX_STREAM_SILENCE, this::checkSilence);
                }
            }

            private void finish(Status status) {
                if (receiver == null) {
                    return;
                }
                if (status == Status.OK) {
                    receiver.ended();
                } else {
                    receiver.failed();
                }
            }
        }

        @Override
        public final void ended() {
            end(readEndOfStream().orElseGet(() -> statusIfWritten(Status.RESET)));
        }

        /**
         * A failed connection never completes an answer, so a cut answer without a length is not
         * served.
         */
        @Override
        public final void failed() {
            end(statusIfWritten(Status.RESET));
        }

        /** A request whose last byte was not written has never run; after that it may have. */
        private Status statusIfWritten(Status status) {
            return requestStarted && !finished && connection.unsentBytes() > 0
                    ? Status.CONNECT_FAILED
                    : status;
        }

        private void setTimer(Duration left, Status status) {
            if (timer != null) {
                timer.remove();
            }
            timer =
                    loop.executeAfter(
                            left,
                            () -> {
                                if (requestStarted && !finished) {
                                    connection.readNow(); // the answer may have arrived unread
                                }
                                endAtDeadline(status);
                            });
        }

        private void endAtDeadline(Status status) {
            boolean isArriving =
                    Duration.between(lastReadAt, MonotonicClock.now()).compareTo(RECENT) < 0;
            if (finished || stream.isPresent()) {
                return;
            }
            if (requestStarted && isArriving && connection.unsentBytes() == 0 && mayPassOn()) {
                beginStream();
            } else {
                end(statusIfWritten(status));
            }
        }

        /**
         * Ends the exchange, once. Its connection, unless it went back to the pool, is closed
         * before the result is passed on.
         */
        private void end(Status status) {
            if (finished) {
                return;
            }
            finished = true;
            removeTimers();
            if (connection != null) {
                close(connection);
            } else if (pendingConnection != null) {
                pendingConnection.cancel();
            }
            if (stream.isPresent()) {
                streams.remove(stream.get());
                release();
                stream.get().finish(status);
                return;
            }
            AttemptResult result = result(status);
            release();
            observer.ended(result);
        }
    }
}
