package cypressglade.http;

import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.Engine;
import cypressglade.core.IoRequest;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestLog;
import cypressglade.core.RequestPool;
import cypressglade.core.RequestTask;
import cypressglade.core.Scheduler.Settings;
import cypressglade.net.ByteBudget;
import cypressglade.net.EventLoop;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Handles the requests of all clients: answers those about the program itself, rejects malformed
 * ones, and starts the others as {@link RequestTask}s. Used on the I/O thread only.
 */
final class RequestHandler implements ClientConnection.Handler {
    /** Longest request body; a longer one is answered with 413. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Time for a request body to arrive, counted from {@link ClientConnection#since}. */
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(2);

    /** An answer that comes this long after its request's time is late for its client too. */
    private static final Duration LATE = Duration.ofMillis(100);

    private static final int SMALL_ANSWER_BYTES = 4 * 1024;
    private static final byte[] EMPTY = {};

    private final EventLoop loop;
    private final Engine engine;
    private final Counters counters;
    private final RequestPool requestPool;
    private final RequestLog requestLog;
    private final NodeLink<NodeRequest> link;
    private final BooleanSupplier isReady;
    private final ByteBudget inputBudget;
    private final Connections connections;
    private TraceIds traceIds;
    private final CachedText countersText;
    private final CachedText recentText;
    private RequestParser parser;
    private Instant latestDeadline = Instant.MAX; // of requests that arrive from now on

    /** What becomes of clients' connections is decided by who accepts them. */
    interface Connections {
        /** Whether a connection is closed after its next response. */
        boolean closesAfterAnswer();

        /** Closes a connection whose last response is written. */
        void closeFinished(ClientConnection client);

        /** Closes a connection so that its client sees a failure. */
        void abort(ClientConnection client);

        /** Forgets a connection that its client has closed. */
        void forget(ClientConnection client);

        /** Closes connections until what all of them hold is within the bounds, if may be. */
        void makeRoom();

        /** Whether all connections may hold this many bytes more of answers. */
        boolean hasAnswerRoom(int bytes);
    }

    RequestHandler(
            EventLoop loop,
            Settings settings,
            Engine engine,
            Counters counters,
            RequestPool requestPool,
            NodeLink<NodeRequest> link,
            BooleanSupplier isReady,
            ByteBudget inputBudget,
            Connections connections) {
        this.loop = loop;
        this.engine = engine;
        this.counters = counters;
        this.requestPool = requestPool;
        this.requestLog = engine.requestLog();
        this.link = link;
        this.isReady = isReady;
        this.inputBudget = inputBudget;
        this.connections = connections;
        parser = new RequestParser(settings);
        traceIds = new TraceIds(parser.maxDeadline(), Optional::empty);
        countersText = new CachedText(counters::text);
        recentText = new CachedText(requestLog::text);
    }

    /** Replaces the settings. Requests that are open keep those they started with. */
    void applySettings(Settings settings) {
        parser = new RequestParser(settings);
        traceIds.setLongestDeadline(parser.maxDeadline());
    }

    /** Sets a time by which requests that arrive from now on are answered at the latest. */
    void setAnswerDeadline(Instant time) {
        latestDeadline = time;
    }

    /** Whether a time was set by which all requests are answered. */
    boolean hasAnswerDeadline() {
        return !latestDeadline.equals(Instant.MAX);
    }

    /** Shares the ids of requests with other processes from now on. */
    void shareIds(Supplier<Optional<ByteBuffer>> memory) {
        traceIds = new TraceIds(parser.maxDeadline(), memory);
    }

    /** Tries again what the disk has refused. To be called periodically. */
    void retryShare() {
        traceIds.share();
    }

    void execute(Runnable task) {
        loop.execute(task);
    }

    boolean closesAfterAnswer() {
        return connections.closesAfterAnswer();
    }

    /** Notes an answer that comes so late that its request may count as lost. */
    void noteAnswer(ClientRequest request) {
        Duration late = Duration.between(request.ioRequest().expiry(), MonotonicClock.now());
        if (late.compareTo(LATE) > 0) {
            counters.add(Name.ANSWERED_LATE);
            requestLog.record(
                    request.requestId(),
                    RequestLog.Event.LATE,
                    "answered " + late.toMillis() + " ms after its time");
        }
    }

    /**
     * Makes room for an answer; returns whether it may be written. A small one always may, as most
     * sockets take it at once.
     */
    boolean makeAnswerRoom(ClientRequest request, int bytes) {
        if (bytes <= SMALL_ANSWER_BYTES || connections.hasAnswerRoom(bytes)) {
            return true;
        }
        connections.makeRoom();
        if (connections.hasAnswerRoom(bytes)) {
            return true;
        }
        requestLog.record(
                request.requestId(),
                RequestLog.Event.FAILED,
                "no room for its answer of " + bytes + " bytes");
        return false;
    }

    /** Lets the id of a request that was sent to no node be used again. */
    void forgetId(ClientRequest request) {
        traceIds.release(request.requestId());
    }

    @Override
    public void handleHead(ClientConnection client, RequestHead head) {
        Instant arrived = MonotonicClock.now();
        client.noteHead(arrived);
        switch (head.path()) {
            case "/healthz" ->
                    answerOwn(
                            client,
                            head,
                            isReady.getAsBoolean() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE,
                            EMPTY);
            case "/recent" -> answerOwn(client, head, HttpStatus.OK, recentText.bytes());
            case "/counters" -> answerOwn(client, head, HttpStatus.OK, countersText.bytes());
            default -> receive(client, head, arrived);
        }
    }

    /** Answers a request about the program itself; a body that comes with it is not read. */
    private void answerOwn(
            ClientConnection client, RequestHead head, HttpStatus status, byte[] body) {
        boolean hasBody =
                head.count(RequestHead.TRANSFER_ENCODING) > 0
                        || head.count(RequestHead.CONTENT_LENGTH) > 0
                                && !"0".equals(head.first(RequestHead.CONTENT_LENGTH));
        client.respond(status, "", body, hasBody || closesAfterAnswer());
    }

    private void receive(ClientConnection client, RequestHead head, Instant arrived) {
        IoRequest request;
        BodyDecoder body;
        try {
            request =
                    parser.parse(head, arrived)
                            .withDeadlineAtMost(latestDeadline)
                            .withReceivedAt(client.firstByteAt());
            body = bodyDecoder(head);
            if (!traceIds.register(head.first(RequestHead.TRACE_ID))) {
                throw new RejectedRequestException(
                        HttpStatus.CONFLICT, "X-Trace-Id is another request's");
            }
        } catch (RejectedRequestException rejected) {
            reject(client, traceId(head), rejected);
            return;
        }
        client.expectBody(new ClientRequest(this, client, head, request), body);
    }

    private static BodyDecoder bodyDecoder(RequestHead head) throws RejectedRequestException {
        if (head.isChunked()) {
            return BodyDecoder.chunked(MAX_BODY_BYTES);
        }
        String announced = head.first(RequestHead.CONTENT_LENGTH);
        long length = announced == null ? 0 : Long.parseLong(announced);
        if (length > MAX_BODY_BYTES) {
            throw new RejectedRequestException(
                    HttpStatus.CONTENT_TOO_LARGE, "the body is over 64 KiB");
        }
        return BodyDecoder.ofLength((int) length);
    }

    private static String traceId(RequestHead head) {
        String id = head.first(RequestHead.TRACE_ID);
        return id == null ? RequestLog.NO_ID : id;
    }

    @Override
    public void handleAwaitedBody(ClientConnection client) {
        ClientRequest request = client.request().orElseThrow();
        counters.add(Name.BODIES_AWAITED);
        if (request.head().expectsContinue()) {
            client.sendContinue();
        }
        Instant limit = client.since().plus(RECEIVE_TIMEOUT);
        Instant expiry = request.ioRequest().expiry();
        request.setBodyTimeout(
                loop.executeAfter(
                        MonotonicClock.until(limit.isBefore(expiry) ? limit : expiry),
                        () -> {
                            if (request.isOpen()) {
                                refuseUnfinished(client, "its body did not come in time");
                            }
                        }));
    }

    /** Refuses a request that has not arrived whole, and closes its connection after that. */
    void refuseUnfinished(ClientConnection client, String why) {
        counters.add(Name.REFUSED_NO_ROOM);
        client.request().ifPresent(this::endReceipt);
        requestLog.record(
                client.request().map(ClientRequest::requestId).orElse(RequestLog.NO_ID),
                RequestLog.Event.REFUSED,
                why);
        client.respond(HttpStatus.SERVICE_UNAVAILABLE, "", EMPTY, true);
    }

    private void endReceipt(ClientRequest request) {
        request.removeBodyTimeout();
        forgetId(request);
    }

    @Override
    public void handleBody(ClientConnection client, byte[] body) {
        ClientRequest request = client.request().orElseThrow();
        request.removeBodyTimeout();
        client.open();
        if (request.ioRequest().isRetry()) {
            // What has arrived before it on other connections is read first: its first try may be
            // there, and the connections that are ready at once are read in any order.
            loop.execute(() -> start(client, request, body));
        } else {
            start(client, request, body);
        }
    }

    private void start(ClientConnection client, ClientRequest request, byte[] body) {
        // The client may have left while the body arrived, or while its previous request was open.
        if (!request.isOpen() || !checkClient(client, request)) {
            return;
        }
        RequestHead head = request.head();
        NodeRequest nodeRequest =
                new NodeRequest(
                        head.method(),
                        head.target(),
                        request.requestId(),
                        Optional.ofNullable(head.first(RequestHead.IDEMPOTENCY_KEY)),
                        body);
        RequestTask<NodeRequest> task =
                new RequestTask<>(
                        engine, counters, request.ioRequest(), nodeRequest, request, link);
        if (body.length > 0 && inputBudget.isExceeded()) {
            counters.add(Name.REFUSED_NO_ROOM);
            refuse(request, "no room for the bodies of open requests");
        } else if (requestPool.start(task)) {
            request.setTask(task);
        } else {
            refuse(request, "too many requests are open");
        }
    }

    private void refuse(ClientRequest request, String why) {
        requestLog.record(request.requestId(), RequestLog.Event.REFUSED, why);
        request.refuse(Duration.ZERO);
    }

    /**
     * Whether the client of an open request is there. Where so much of its input is unread that its
     * leave would not show, its request is answered at once, as no attempt may begin for a client
     * that has left.
     */
    boolean checkClient(ClientConnection client, ClientRequest request) {
        return switch (client.checkPresence()) {
            case CONNECTED -> true;
            case LEFT -> false;
            case UNKNOWN -> {
                endUnknown(client, request);
                yield false;
            }
        };
    }

    private void endUnknown(ClientConnection client, ClientRequest request) {
        counters.add(Name.CLIENT_UNKNOWN);
        request.endTask();
        requestLog.record(
                request.requestId(),
                request.mayHaveBeenSent() ? RequestLog.Event.FAILED : RequestLog.Event.REFUSED,
                "more input behind it than is read, so its client may have left");
        if (request.mayHaveBeenSent()) {
            client.respond(HttpStatus.BAD_GATEWAY, "", EMPTY, closesAfterAnswer());
        } else {
            forgetId(request);
            client.respond(HttpStatus.SERVICE_UNAVAILABLE, "", EMPTY, closesAfterAnswer());
        }
    }

    @Override
    public void handleMalformed(ClientConnection client, RejectedRequestException rejected) {
        client.request().ifPresent(this::endReceipt);
        reject(
                client,
                client.request().map(ClientRequest::requestId).orElse(RequestLog.NO_ID),
                rejected);
    }

    /** Answers a malformed request, and closes its connection after that. */
    private void reject(
            ClientConnection client, String requestId, RejectedRequestException rejected) {
        counters.add(Name.MALFORMED);
        requestLog.record(requestId, RequestLog.Event.MALFORMED, rejected.getMessage());
        byte[] body = (rejected.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
        client.respond(rejected.status(), "", body, true);
    }

    @Override
    public void handleLeave(ClientConnection client, ClientConnection.Phase left) {
        Optional<ClientRequest> request = client.request();
        String id = client.requestId();
        if (left == ClientConnection.Phase.BODY) {
            request.ifPresent(this::endReceipt);
            counters.add(Name.MALFORMED);
            requestLog.record(id, RequestLog.Event.MALFORMED, "its body broke off");
        } else if (left == ClientConnection.Phase.OPEN) {
            request.ifPresent(ClientRequest::endTask);
            counters.add(Name.GONE);
            requestLog.record(id, RequestLog.Event.GONE, "its client left");
        } else if (left == ClientConnection.Phase.WRITING) {
            requestLog.record(id, RequestLog.Event.GONE, "its client left during its answer");
        }
        connections.forget(client);
    }

    @Override
    public void handleBrokenAnswer(ClientConnection client) {
        counters.add(Name.STREAMS_BROKEN);
        requestLog.record(
                client.requestId(),
                RequestLog.Event.FAILED,
                "its node's answer broke off while it was passed on");
        connections.abort(client);
    }

    @Override
    public void handleGrowth() {
        connections.makeRoom();
    }

    @Override
    public void handleAnswered(ClientConnection client) {
        if (client.isFinished()) {
            connections.closeFinished(client);
        }
    }
}
