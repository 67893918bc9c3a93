package cypressglade.http;

import cypressglade.config.Budget;
import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.Engine;
import cypressglade.core.IoRequest;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestLog;
import cypressglade.core.RequestLog.Event;
import cypressglade.core.RequestPool;
import cypressglade.core.RequestTask;
import cypressglade.core.Responder;
import cypressglade.core.Scheduler.Settings;
import cypressglade.net.EventLoop;
import cypressglade.net.ListeningSocket;
import cypressglade.storm.ConnectionLimiter;
import cypressglade.storm.ConnectionPacer;
import io.undertow.Handlers;
import io.undertow.UndertowOptions;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.DefaultIoCallback;
import io.undertow.io.IoCallback;
import io.undertow.io.Receiver;
import io.undertow.io.Sender;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.ImmediatePooledByteBuffer;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * The HTTP/1.1 listener for clients. Receives requests, submits each to the engine as a {@link
 * RequestTask}, and writes the response. Limits the number of connections and the bytes that
 * bodies, pipelined requests and responses occupy. A connection without an open request is closed
 * after a short time, whatever arrives on it: clients that send nothing, or never complete a
 * request, must not keep others out.
 *
 * <p>All state belongs to the I/O thread, and the public methods pass their work on to it; only
 * {@link #accept} must be called on it. A request's own task may run on another thread.
 */
public final class ClientListener implements AutoCloseable {
    /** Longest request body; a longer one is answered with 413. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int BUFFER_BYTES = 4 * 1024;

    /**
     * Buffers kept for reuse, 2 MB. Undertow frees the others late and in bulk: with none kept,
     * 2,000 responses a second had 12 MB waiting to be freed, and the direct memory ran out.
     */
    private static final int POOLED_BUFFERS = 512;

    /** Bytes of a response that are passed to one write. */
    private static final int WRITE_CHUNK_BYTES = 64 * 1024;

    /**
     * Time after which a connection without an open request is closed. The platform's protocol
     * allows the close after 2 s, and requires it within 3 s where the peer is no real client.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(2200);

    /** Time for a client to read its response; longer than any deadline. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(7);

    /** Time for a request body to arrive, counted from {@link ClientConnection#since}. */
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);
    private static final Duration CROWDED_SWEEP_INTERVAL = Duration.ofMillis(20);

    /**
     * Bytes that are kept of a client's next requests while one is open. Beyond that nothing is
     * read before their turn, and a disconnect behind them is not noticed until then.
     */
    private static final int MAX_PIPELINED_BYTES = 16 * 1024;

    /** Idle time after which a connection that had a request may be closed to make room. */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(1);

    /** Time after which a connection that never had a request may be closed to make room. */
    private static final Duration MIN_SILENT_TIME = Duration.ofMillis(100);

    /** Interval at which the lateness of the I/O thread is measured. */
    private static final Duration LATENESS_INTERVAL = Duration.ofMillis(20);

    /**
     * Mean lateness above which fewer connections are served. With 50 ms almost no request was
     * answered in time where two schedulers with 0.43 of a core each were sent 5,600 requests a
     * second.
     */
    private static final Duration MAX_LATENESS = Duration.ofMillis(20);

    /** Connections that are served however late the I/O thread runs. */
    private static final int MIN_CLIENTS = 32;

    /** Connections accepted beyond the limit, while those that make room for them close. */
    private static final int MAX_EXCESS_CLIENTS = 8;

    private final EventLoop loop;
    private final HttpOpenListener http;
    private final Engine engine;
    private final Counters counters;
    private final RequestPool requestPool;
    private final RequestLog requestLog;
    private final NodeLink<NodeRequest> link;
    private final BooleanSupplier isReady;
    private final Map<StreamConnection, ClientConnection> clients = new HashMap<>();
    private final TraceIds traceIds = new TraceIds();
    private ListeningSocket listening;
    private RequestParser parser;
    private Budget budget;
    private int receivingBytes; // reserved for bodies that arrive, and for pipelined requests
    private int openBodyBytes; // of requests that are open
    private int responseBytes; // of responses that are being written
    private final ConnectionLimiter connectionLimiter =
            new ConnectionLimiter(MIN_CLIENTS, MAX_LATENESS);
    private final Optional<ConnectionPacer> connectionPacer;
    private int acceptedSinceUpdate; // connections, since the pacer was last updated
    private int servedLimit = Integer.MAX_VALUE; // connections, by the lateness of this thread
    private int acceptedLimit = Integer.MAX_VALUE; // connections, as last set at the acceptor
    private Instant latestDeadline = Instant.MAX; // of requests that arrive from now on
    private boolean isDraining;
    private boolean hasStoppedAccepting;

    /** Clients' connections, with those in a lingering close. Written on the I/O thread only. */
    private volatile int connectionCount;

    /**
     * Creates a listener that is not open yet.
     *
     * @param requestPool holds the open requests and limits their number
     * @param link sends attempts to the storage nodes
     * @param isReady whether a health check is answered with 200 rather than 503; called on the I/O
     *     thread
     * @param connectionPacer limits the rate of accepts in waves of new connections, if present
     */
    public ClientListener(
            EventLoop loop,
            Settings settings,
            Engine engine,
            Counters counters,
            RequestPool requestPool,
            NodeLink<NodeRequest> link,
            BooleanSupplier isReady,
            Budget budget,
            Optional<ConnectionPacer> connectionPacer) {
        this.connectionPacer = connectionPacer;
        this.loop = loop;
        this.engine = engine;
        this.counters = counters;
        this.requestPool = requestPool;
        this.requestLog = engine.requestLog();
        this.link = link;
        this.isReady = isReady;
        this.parser = new RequestParser(settings);
        this.budget = budget;
        http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 0),
                        OptionMap.builder()
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        http.setRootHandler(Handlers.httpContinueRead(this::handle));
    }

    /**
     * Starts listening.
     *
     * @throws IOException where the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException {
        listening =
                loop.bindShared(
                        address, this::accept); // shared with the next process of an upgrade
        listening.setMaxConnections(budget.clientConnections() + MAX_EXCESS_CLIENTS);
        listening.resume();
        loop.execute(this::sweep);
        loop.execute(() -> updateLimits(MonotonicClock.now()));
    }

    /**
     * Measures how late this thread runs, limits the connections to what it can serve in time, and
     * schedules its next run.
     */
    private void updateLimits(Instant due) {
        Instant now = MonotonicClock.now();
        servedLimit =
                connectionLimiter.update(
                        Duration.between(due, now), clients.size(), budget.clientConnections());
        loop.setMeanLateness(connectionLimiter.meanLateness());
        int nextLimit = servedLimit;
        if (connectionPacer.isPresent()) {
            // The pacer delays new connections and closes none.
            int more = connectionPacer.get().update(acceptedSinceUpdate, now);
            nextLimit =
                    more == Integer.MAX_VALUE
                            ? servedLimit
                            : Math.min(servedLimit, clients.size() - MAX_EXCESS_CLIENTS + more);
            acceptedSinceUpdate = 0;
        }
        if (nextLimit != acceptedLimit && !hasStoppedAccepting) {
            acceptedLimit = nextLimit;
            listening.setMaxConnections(nextLimit + MAX_EXCESS_CLIENTS);
        }
        // Few clients never need a limit, but a wave may start at any number of them.
        Duration interval =
                clients.size() < MIN_CLIENTS && connectionPacer.isEmpty()
                        ? SWEEP_INTERVAL
                        : LATENESS_INTERVAL;
        Instant nextDue = now.plus(interval);
        loop.executeAfter(interval, () -> updateLimits(nextDue));
    }

    /** Connections that are served at once: the budget, or fewer while this thread runs late. */
    private int maxClients() {
        return Math.min(servedLimit, budget.clientConnections());
    }

    /**
     * Replaces the settings and the budget. Requests that are open keep those they started with.
     */
    public void applySettings(Settings settings, Budget newBudget) {
        loop.execute(
                () -> {
                    parser = new RequestParser(settings);
                    budget = newBudget;
                    acceptedLimit = Integer.MAX_VALUE; // the next update limits it again
                    servedLimit = Integer.MAX_VALUE;
                });
    }

    /**
     * Returns the bound address.
     *
     * @throws IllegalStateException where the listener was not started
     */
    public InetSocketAddress address() {
        if (listening == null) {
            throw new IllegalStateException("the listener was not started");
        }
        return listening.address();
    }

    /**
     * Sets a time by which requests that arrive from now on are answered at the latest. Connections
     * that had a request are no longer closed for being idle, until draining starts.
     */
    public void setAnswerDeadline(Instant time) {
        loop.execute(() -> latestDeadline = time);
    }

    /**
     * Closes idle connections that had a request, and from now on each connection after its next
     * response.
     */
    public void startDraining() {
        startDraining(client -> client.wasAnswered);
    }

    /**
     * Starts draining for the end of the program: also closes idle connections that never had a
     * request, and stops accepting.
     */
    public void startShutdown() {
        startDraining(client -> true);
        stopAccepting();
    }

    private void startDraining(Predicate<ClientConnection> closeable) {
        loop.execute(
                () -> {
                    isDraining = true;
                    List.copyOf(clients.values()).stream()
                            .filter(closeable)
                            .forEach(client -> closeIfIdle(client, "leaving"));
                });
    }

    /** Connections that are not closed, with those whose close has started. On any thread. */
    public int connectionCount() {
        return connectionCount;
    }

    /**
     * Stops accepting, while another process listens on the same port. Connections in the listen
     * backlog are accepted first, because closing a listener resets them. To be called before
     * draining starts: once each response closes its connection, clients connect anew by the
     * hundreds.
     */
    public void stopAccepting() {
        loop.execute(
                () -> {
                    if (!hasStoppedAccepting) {
                        hasStoppedAccepting = true;
                        listening.acceptWaitingAndClose();
                    }
                });
    }

    /** Undoes {@link #startDraining()}: connections stay open after a response again. */
    public void stopDraining() {
        loop.execute(() -> isDraining = false);
    }

    @Override
    public void close() {
        if (listening != null) {
            listening.close();
        }
        http.closeConnections();
    }

    /** Serves a new connection. Must be called on the I/O thread. */
    public void accept(StreamConnection connection) {
        acceptedSinceUpdate++;
        connectionCount++;
        clients.put(connection, new ClientConnection(connection));
        makeRoom();
        http.handleEvent(connection);
    }

    /**
     * Closes idle connections where there are many. Those that never had a request go first: a
     * client sends its request right after connecting, and in a crowd others wait behind the silent
     * ones in the listen backlog, by the hundreds. At the limit connections that had a request
     * follow, the longest idle first. One that was used a moment ago is spared, as its next request
     * may have arrived unread while this program is short of CPU time.
     */
    private void makeRoom() {
        if (!isCrowded()) {
            return;
        }
        removeClosed();
        Instant now = MonotonicClock.now();
        List.copyOf(clients.values()).stream()
                .filter(client -> client.isIdle() && !client.wasAnswered)
                .filter(client -> client.since.isBefore(now.minus(MIN_SILENT_TIME)))
                .forEach(
                        client ->
                                closeIfIdle(client, "crowded, and no request since it connected"));
        List.copyOf(clients.values()).stream()
                .filter(client -> client.isIdle() && client.wasAnswered)
                .filter(client -> client.since.isBefore(now.minus(MIN_IDLE_TIME)))
                .sorted(Comparator.comparing(client -> client.since))
                .limit(Math.max(0, clients.size() - maxUncrowdedClients() + MAX_EXCESS_CLIENTS))
                .forEach(client -> closeIfIdle(client, "crowded, and at rest"));
    }

    private boolean isCrowded() {
        // The platform's own clients stay below this number.
        return clients.size() >= maxUncrowdedClients() * 5 / 6;
    }

    /** Connections beyond which idle ones that had a request are closed. */
    private int maxUncrowdedClients() {
        return Math.min(servedLimit, budget.clientsWithoutCrowd());
    }

    /** Closes connections whose time is over, expires requests, and schedules its next run. */
    private void sweep() {
        removeClosed();
        makeRoom();
        traceIds.removeExpired();
        requestPool.expireOverdue(MonotonicClock.now());
        Instant idleSince = MonotonicClock.now().minus(IDLE_TIMEOUT);
        Instant writingSince = MonotonicClock.now().minus(WRITE_TIMEOUT);
        List.copyOf(clients.values()).stream()
                .filter(client -> client.isWriting)
                .filter(client -> client.since.isBefore(writingSince))
                .forEach(
                        client -> {
                            requestLog.record(
                                    RequestLog.NO_ID,
                                    Event.CUT_OFF,
                                    "its answer was not read in time");
                            close(client);
                        });
        List.copyOf(clients.values()).stream()
                .filter(client -> client.since.isBefore(idleSince))
                .filter(
                        client ->
                                isDraining
                                        || latestDeadline.equals(Instant.MAX)
                                        || !client.wasAnswered)
                .forEach(client -> closeIfIdle(client, "at rest for long"));
        List.copyOf(clients.values()).stream()
                .filter(
                        client ->
                                client.isReceivingHead
                                        && !client.hasOpenRequest
                                        && !client.isWriting)
                .filter(client -> client.since.isBefore(idleSince))
                .forEach(this::closeIncomplete);
        loop.executeAfter(isCrowded() ? CROWDED_SWEEP_INTERVAL : SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Closes a connection with an incomplete request head. Where unread bytes have arrived, it gets
     * one more sweep interval.
     */
    private void closeIncomplete(ClientConnection client) {
        Instant extendedLimit = MonotonicClock.now().minus(IDLE_TIMEOUT).minus(SWEEP_INTERVAL);
        if (client.since.isBefore(extendedLimit) || !client.hasUnread()) {
            requestLog.record(
                    RequestLog.NO_ID, Event.CLOSED, "half a request, and no more in time");
            closeGracefully(client);
        }
    }

    /**
     * Closes a connection that is idle. One whose next request has arrived unread is kept, and is
     * read next.
     */
    private void closeIfIdle(ClientConnection client, String why) {
        if (client.isIdle() && !client.hasUnread()) {
            requestLog.record(RequestLog.NO_ID, Event.CLOSED, why);
            closeGracefully(client);
        }
    }

    /**
     * Closes a connection by a lingering close. One without an answered request is closed at once,
     * as its client can lose no response, and a crowd of them leaves no time for more.
     */
    private void closeGracefully(ClientConnection client) {
        if (!client.wasAnswered) {
            close(client);
            return;
        }
        connectionCount++; // releaseConnection() subtracts it, and the socket is open until later
        releaseConnection(client);
        client.lingeringClose.start(loop, () -> connectionCount--);
    }

    private void close(ClientConnection client) {
        IoUtils.safeClose(client.connection);
        releaseConnection(client);
    }

    private void removeClosed() {
        List.copyOf(clients.values()).stream()
                .filter(client -> !client.connection.isOpen())
                .forEach(this::releaseConnection);
    }

    /**
     * Releases all that is accounted to a connection; only here is a connection removed. Has no
     * effect where that was done before.
     */
    private void releaseConnection(ClientConnection client) {
        releaseReceiving(client);
        setOpenBodyBytes(client, 0);
        releaseResponse(client);
        setPipelinedBytes(client, 0);
        if (clients.remove(client.connection) != null) {
            connectionCount--;
        }
    }

    private ClientConnection clientOf(HttpServerExchange exchange) {
        StreamConnection connection =
                ((HttpServerConnection) exchange.getConnection()).getChannel();
        return clients.computeIfAbsent(
                connection,
                unknown -> { // it was closed a moment ago
                    connectionCount++;
                    return new ClientConnection(unknown);
                });
    }

    /** Returns the trace id that the client sent, for the log. */
    private static String traceId(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(RequestParser.TRACE_ID);
        return id == null ? RequestLog.NO_ID : id;
    }

    private void handle(HttpServerExchange exchange) {
        Instant arrived = MonotonicClock.now();
        ClientConnection client = clientOf(exchange);
        client.isReceivingHead = false;
        if (client.wasAnswered) { // the first request's time counts from the connect
            client.since = arrived;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> route(exchange, arrived));
    }

    private void route(HttpServerExchange exchange, Instant arrived) {
        switch (exchange.getRequestURI()) {
            case "/healthz" -> answer(exchange, isReady.getAsBoolean() ? 200 : 503, new byte[0]);
            case "/recent" ->
                    answer(exchange, 200, requestLog.text().getBytes(StandardCharsets.UTF_8));
            case "/counters" ->
                    answer(exchange, 200, counters.text().getBytes(StandardCharsets.UTF_8));
            default -> receive(exchange, arrived);
        }
    }

    private void receive(HttpServerExchange exchange, Instant arrived) {
        IoRequest request;
        try {
            request =
                    parser.parse(
                                    exchange.getRequestMethod().toString(),
                                    exchange.getRequestURI(),
                                    exchange.getRequestHeaders(),
                                    arrived)
                            .withDeadlineAtMost(latestDeadline);
            if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
                throw new RequestParser.RejectedRequestException(413, "the body is over 64 KiB");
            }
            if (!traceIds.register(
                    exchange.getRequestHeaders().getFirst(RequestParser.TRACE_ID),
                    request.expiry())) {
                throw new RequestParser.RejectedRequestException(
                        409, "X-Trace-Id is another request's");
            }
        } catch (RequestParser.RejectedRequestException rejected) {
            reject(exchange, rejected.status(), rejected.getMessage());
            return;
        }
        BodyReceipt receipt = new BodyReceipt(exchange, request.expiry());
        if (receivingBytes > budget.receivingBytes()) {
            receipt.refuse();
            return;
        }
        // The receiver's limit leaves the connection open for the response 413, where the
        // exchange's own limit closes it.
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
        // Where the body follows a 100 Continue, this runs as a root handler. Undertow ends an
        // exchange that its root handler has not dispatched with an empty 200, which would pass for
        // a node's response: hence the dispatch.
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) ->
                                same.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> {
                                            if (receipt.end()) {
                                                startRequest(same, request, body);
                                            }
                                        }),
                        (same, failure) -> {
                            if (!receipt.end()) {
                                return;
                            }
                            if (failure instanceof Receiver.RequestToLargeException) {
                                reject(same, 413, "the body is over 64 KiB");
                            } else {
                                counters.add(Name.MALFORMED);
                                requestLog.record(
                                        traceId(same),
                                        Event.MALFORMED,
                                        "its body broke off: " + failure);
                                IoUtils.safeClose(same.getConnection());
                            }
                        });
    }

    /**
     * The receipt of a request's body, with the bytes that are reserved for it. A request whose
     * body is incomplete when the time is over is refused, as it must not occupy memory for ever.
     */
    private final class BodyReceipt {
        private final HttpServerExchange exchange;
        private final ClientConnection client;
        private final XnioExecutor.Key timeout;
        private boolean hasEnded;

        BodyReceipt(HttpServerExchange exchange, Instant expiry) {
            this.exchange = exchange;
            client = clientOf(exchange);
            boolean isComplete = exchange.isRequestComplete();
            if (!isComplete) {
                counters.add(Name.BODIES_AWAITED);
            }
            client.isReceivingBody = !isComplete;
            long contentLength = exchange.getRequestContentLength();
            client.receivingBytes =
                    2
                            * (int)
                                    (isComplete
                                            ? 0
                                            : contentLength >= 0 ? contentLength : MAX_BODY_BYTES);
            receivingBytes += client.receivingBytes;
            Instant limit = client.since.plus(RECEIVE_TIMEOUT);
            timeout =
                    isComplete
                            ? () -> true
                            : loop.executeAfter(
                                    MonotonicClock.until(limit.isBefore(expiry) ? limit : expiry),
                                    this::refuse);
        }

        /** Ends the receipt; returns false where it had ended before. */
        boolean end() {
            if (hasEnded) {
                return false;
            }
            hasEnded = true;
            timeout.remove();
            client.isReceivingBody = false;
            releaseReceiving(client);
            return true;
        }

        void refuse() {
            if (end()) {
                counters.add(Name.REFUSED_NO_ROOM);
                requestLog.record(
                        traceId(exchange),
                        Event.REFUSED,
                        "no room for its body, or it did not come in time");
                answer(exchange, 503, new byte[0]);
            }
        }
    }

    private void startRequest(HttpServerExchange exchange, IoRequest request, byte[] body) {
        // The client may have left while the body arrived, or while its previous request was open.
        if (hasDisconnected(exchange)) {
            handleDisconnect(exchange);
            return;
        }
        String target =
                exchange.getQueryString().isEmpty()
                        ? exchange.getRequestURI()
                        : exchange.getRequestURI() + "?" + exchange.getQueryString();
        HeaderMap headers = exchange.getRequestHeaders();
        Optional<String> key = Optional.ofNullable(headers.getFirst(RequestParser.IDEMPOTENCY_KEY));
        NodeRequest nodeRequest =
                new NodeRequest(
                        exchange.getRequestMethod().toString(),
                        target,
                        headers.getFirst(RequestParser.TRACE_ID),
                        key,
                        body);
        ExchangeResponder responder = new ExchangeResponder(exchange);
        RequestTask<NodeRequest> task =
                new RequestTask<>(engine, counters, request, nodeRequest, responder, link);
        ClientConnection client = clientOf(exchange);
        if (body.length > budget.bodyBytes() - openBodyBytes) {
            counters.add(Name.REFUSED_NO_ROOM);
            requestLog.record(
                    responder.requestId(),
                    Event.REFUSED,
                    "no room for the bodies of open requests");
            responder.refuse(Duration.ZERO);
        } else if (requestPool.start(task)) {
            client.hasOpenRequest = true;
            setOpenBodyBytes(client, body.length);
            watchForDisconnect(exchange, task);
        } else {
            requestLog.record(responder.requestId(), Event.REFUSED, "too many requests are open");
            responder.refuse(Duration.ZERO);
        }
    }

    /** Keeps reading while a request is open, so that a disconnect of its client is noticed. */
    private void watchForDisconnect(HttpServerExchange exchange, RequestTask<NodeRequest> task) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            if (hasDisconnected(exchange)) {
                                task.clientDisconnected();
                                handleDisconnect(exchange);
                            }
                        });
        connection.getOriginalSourceConduit().resumeReads();
    }

    private void handleDisconnect(HttpServerExchange exchange) {
        counters.add(Name.GONE);
        requestLog.record(traceId(exchange), Event.GONE, "its client left");
        IoUtils.safeClose(exchange.getConnection());
        releaseConnection(clientOf(exchange));
    }

    /**
     * Reads all input that has arrived, keeps it for the client's next requests, and returns
     * whether the client has disconnected.
     */
    private boolean hasDisconnected(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        ClientConnection client = clientOf(exchange);
        setPipelinedBytes(connection, client); // Undertow may have left some of what it read
        while (client.pipelinedBytes < MAX_PIPELINED_BYTES
                && receivingBytes <= budget.receivingBytes()) {
            PooledByteBuffer input = connection.getByteBufferPool().allocate();
            int count;
            try {
                count = connection.getOriginalSourceConduit().read(input.getBuffer());
            } catch (IOException reset) {
                count = -1;
            }
            if (count <= 0) {
                input.close();
                return count < 0;
            }
            storePipelined(connection, client, input);
        }
        // A client that sends as much as this is connected.
        connection.getOriginalSourceConduit().suspendReads();
        return false;
    }

    private void storePipelined(
            HttpServerConnection connection, ClientConnection client, PooledByteBuffer input) {
        input.getBuffer().flip();
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            connection.setExtraBytes(input);
        } else { // pushing back the new bytes would put them first
            ByteBuffer first = kept.getBuffer();
            ByteBuffer both =
                    ByteBuffer.allocate(first.remaining() + input.getBuffer().remaining());
            both.put(first).put(input.getBuffer()).flip();
            kept.close();
            input.close();
            connection.setExtraBytes(new ImmediatePooledByteBuffer(both));
        }
        setPipelinedBytes(connection, client);
    }

    private void setPipelinedBytes(HttpServerConnection connection, ClientConnection client) {
        PooledByteBuffer kept = connection.getExtraBytes();
        setPipelinedBytes(client, kept == null ? 0 : kept.getBuffer().remaining());
    }

    /** Sets the accounted bytes of pipelined requests; only here are they changed. */
    private void setPipelinedBytes(ClientConnection client, int bytes) {
        receivingBytes += bytes - client.pipelinedBytes;
        client.pipelinedBytes = bytes;
    }

    /** Sets the accounted bytes of the open request's body; only here are they changed. */
    private void setOpenBodyBytes(ClientConnection client, int bytes) {
        openBodyBytes += bytes - client.openBodyBytes;
        client.openBodyBytes = bytes;
    }

    /**
     * Releases the bytes that are reserved for a body that arrives; only here are they released.
     */
    private void releaseReceiving(ClientConnection client) {
        receivingBytes -= client.receivingBytes;
        client.receivingBytes = 0;
    }

    /** Answers a malformed request, and closes its connection after that. */
    private void reject(HttpServerExchange exchange, int status, String why) {
        counters.add(Name.MALFORMED);
        requestLog.record(traceId(exchange), Event.MALFORMED, why);
        exchange.setPersistent(false);
        answer(exchange, status, (why + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Releases the bytes of a response; only here are they released. */
    private void releaseResponse(ClientConnection client) {
        responseBytes -= client.responseBytes;
        client.responseBytes = 0;
    }

    /**
     * Answers an exchange and ends its request. Answers 502 in place of a body for which there is
     * no memory left.
     */
    private void answer(HttpServerExchange exchange, int status, byte[] body) {
        ClientConnection client = clientOf(exchange);
        if (!client.connection.isOpen()) { // the client left a moment ago
            releaseConnection(client);
            return;
        }
        // Clients that do not read their responses may occupy all of the memory for them.
        if (body.length > budget.answerBytes() - responseBytes) {
            requestLog.record(
                    traceId(exchange),
                    Event.FAILED,
                    "no room for its answer of " + body.length + " bytes");
            answer(exchange, 502, new byte[0]);
            return;
        }
        setOpenBodyBytes(client, 0);
        // A connection that was used for health checks only is closed as early as a silent one.
        client.wasAnswered |= client.hasOpenRequest;
        client.hasOpenRequest = false;
        client.since = MonotonicClock.now();
        if (!exchange.isRequestComplete()) {
            answerBeforeBody((HttpServerConnection) exchange.getConnection(), client, status);
            return;
        }
        exchange.setStatusCode(status);
        if (isDraining || clients.size() > maxClients() + MAX_EXCESS_CLIENTS) {
            exchange.setPersistent(false);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
        client.responseBytes = body.length;
        responseBytes += body.length;
        client.isWriting = true;
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    releaseResponse(client);
                    client.since = MonotonicClock.now();
                    client.isWriting = false;
                    // Pipelined bytes are the next request, or a part of it.
                    client.isReceivingHead = client.pipelinedBytes > 0;
                    setPipelinedBytes(client, 0);
                    next.proceed();
                });
        send(exchange, ByteBuffer.wrap(body));
    }

    /**
     * Sends a body in chunks. A single write of all that remains would copy all of it into a direct
     * buffer each time, however little the socket takes.
     */
    private static void send(HttpServerExchange exchange, ByteBuffer remaining) {
        int size = Math.min(remaining.remaining(), WRITE_CHUNK_BYTES);
        ByteBuffer chunk = remaining.slice(remaining.position(), size);
        remaining.position(remaining.position() + size);
        exchange.getResponseSender()
                .send(
                        chunk,
                        !remaining.hasRemaining()
                                ? IoCallback.END_EXCHANGE
                                : new DefaultIoCallback() {
                                    @Override
                                    public void onComplete(HttpServerExchange same, Sender sender) {
                                        send(same, remaining);
                                    }
                                });
    }

    /**
     * Answers a request whose body was not read to its end, and closes its connection. Undertow
     * would first read the rest, which may be 60 MB or never arrive.
     */
    private void answerBeforeBody(
            HttpServerConnection connection, ClientConnection client, int status) {
        client.wasAnswered = true;
        try {
            connection.getOriginalSinkConduit().write(encodeClosingResponse(status));
            closeGracefully(client);
        } catch (IOException broken) {
            close(client);
        }
    }

    private static ByteBuffer encodeClosingResponse(int status) {
        String head =
                "HTTP/1.1 "
                        + status
                        + " "
                        + StatusCodes.getReason(status)
                        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Answers one exchange, from any thread. Whether the client is connected may be asked on the
     * I/O thread only.
     */
    private final class ExchangeResponder implements Responder {
        private final HttpServerExchange exchange;

        ExchangeResponder(HttpServerExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public boolean isClientConnected() {
            return !hasDisconnected(exchange);
        }

        @Override
        public String requestId() {
            return ClientListener.traceId(exchange);
        }

        @Override
        public void serve(byte[] body) {
            loop.execute(() -> answer(exchange, 200, body));
        }

        @Override
        public void refuse(Duration retryAfter) {
            loop.execute(
                    () -> {
                        traceIds.release(requestId());
                        if (!retryAfter.isZero()) {
                            exchange.getResponseHeaders()
                                    .put(
                                            Headers.RETRY_AFTER,
                                            BigDecimal.valueOf(retryAfter.toMillis(), 3)
                                                    .toPlainString());
                        }
                        answer(exchange, 503, new byte[0]);
                    });
        }

        @Override
        public void fail() {
            loop.execute(() -> answer(exchange, 502, new byte[0]));
        }
    }
}
