package cypressglade.http;

import cypressglade.config.Budget;
import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.Engine;
import cypressglade.core.IoRequest;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestLog;
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
 * Where clients connect. All of it runs on the I/O thread but the request's own task. A connection
 * with nothing open has a short time only, whatever it sends or does not send: those that say
 * nothing, or never end what they say, must not keep the others out.
 */
public final class ClientListener implements AutoCloseable {
    private static final int MOST_BODY = 64 * 1024;
    private static final int MOST_HEAD = 16 * 1024;
    private static final int BUFFER = 4 * 1024;

    /**
     * Buffers kept for the next request, 2 MB. The framework frees what is not kept later and in
     * bulk: without any, a storm of 2,000 answers a second had 12 MB waiting to be freed and ran
     * out.
     */
    private static final int KEPT_BUFFERS = 512;

    private static final int PART = 64 * 1024;

    /**
     * A connection with no open request may be closed after 2 s; one of no client must be within 3
     * s.
     */
    private static final Duration PATIENCE = Duration.ofMillis(2200);

    /** For a client to read its answer; beyond any deadline. */
    private static final Duration READING = Duration.ofSeconds(7);

    private static final Duration RECEIVE_LIMIT = Duration.ofSeconds(2);
    private static final Duration SWEEP = Duration.ofMillis(200);
    private static final Duration SWEEP_CROWD = Duration.ofMillis(20);

    /**
     * What a client may send ahead of time; more is not read, nor a leave behind it seen, till its
     * turn.
     */
    private static final int MOST_PIPELINED = 16 * 1024;

    /**
     * When a connection may make way for others: one that was used, and one that never said
     * anything.
     */
    private static final Duration RESTED = Duration.ofSeconds(1);

    private static final Duration SILENT = Duration.ofMillis(100);

    /**
     * How often this thread looks at how late it runs, and from where that is late on average: at
     * 50 ms next to nothing was in time where two schedulers of 0.43 of a core were asked 5,600
     * times a second.
     */
    private static final Duration PACE = Duration.ofMillis(20);

    private static final Duration LATE = Duration.ofMillis(20);
    private static final int LEAST_CLIENTS = 32;

    /** Accepted beyond the bound, while those that make way for them close. */
    private static final int CROSSING = 8;

    private final EventLoop loop;
    private final HttpOpenListener http;
    private final Engine engine;
    private final Counters counters;
    private final RequestPool pool;
    private final RequestLog log;
    private final NodeLink<HttpWork> link;
    private final BooleanSupplier ready;
    private final Map<StreamConnection, ClientConnection> clients = new HashMap<>();
    private final TraceIds ids = new TraceIds();
    private ListeningSocket listening;
    private RequestParser parser;
    private Budget budget;
    private int receiving;
    private int holding; // bodies of requests that are open
    private int answering;
    private final ConnectionLimiter intake = new ConnectionLimiter(LEAST_CLIENTS, LATE);
    private final Optional<ConnectionPacer> waves;
    private int came; // connections, since the last look at how they come
    private int atOnce = Integer.MAX_VALUE;
    private int acceptedAtOnce = Integer.MAX_VALUE;
    private Instant last = Instant.MAX;
    private boolean leaving;
    private boolean portLeft;
    private volatile int
            connected; // clients and those that are being closed in order, for other threads

    public ClientListener(
            EventLoop loop,
            Settings settings,
            Engine engine,
            Counters counters,
            RequestPool pool,
            NodeLink<HttpWork> link,
            BooleanSupplier ready,
            Budget budget,
            Optional<ConnectionPacer> waves) {
        this.waves = waves;
        this.loop = loop;
        this.engine = engine;
        this.counters = counters;
        this.pool = pool;
        this.log = engine.requestLog();
        this.link = link;
        this.ready = ready;
        this.parser = new RequestParser(settings);
        this.budget = budget;
        http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(true, BUFFER, KEPT_BUFFERS, 0),
                        OptionMap.builder()
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.MAX_HEADER_SIZE, MOST_HEAD)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        http.setRootHandler(Handlers.httpContinueRead(this::handle));
    }

    /** Opens the doors. */
    public void start(InetSocketAddress address) throws IOException {
        listening =
                loop.bindShared(address, this::accept); // an upgrade's next process listens beside
        listening.setMaxConnections(budget.clientConnections() + CROSSING);
        listening.resume();
        loop.execute(this::sweep);
        loop.execute(() -> pace(MonotonicClock.now()));
    }

    /** Looks at how late this thread runs, and accepts no more than it can work on in time. */
    private void pace(Instant due) {
        Instant now = MonotonicClock.now();
        atOnce =
                intake.update(
                        Duration.between(due, now), clients.size(), budget.clientConnections());
        loop.setMeanLateness(intake.meanLateness());
        int accepted = atOnce;
        if (waves.isPresent()) { // it paces those who come, and turns away none who are here
            int more = waves.get().update(came, now);
            accepted =
                    more == Integer.MAX_VALUE
                            ? atOnce
                            : Math.min(atOnce, clients.size() - CROSSING + more);
            came = 0;
        }
        if (accepted != acceptedAtOnce && !portLeft) {
            acceptedAtOnce = accepted;
            listening.setMaxConnections(accepted + CROSSING);
        }
        // Few are never too many; but a wave may begin with any number.
        Duration wait = clients.size() < LEAST_CLIENTS && waves.isEmpty() ? SWEEP : PACE;
        Instant then = now.plus(wait);
        loop.executeAfter(wait, () -> pace(then));
    }

    /** Clients that are worked on at once: by the budget, and fewer where this thread runs late. */
    private int mostClients() {
        return Math.min(atOnce, budget.clientConnections());
    }

    /** Takes new settings and a new budget; requests that are open go on. */
    public void use(Settings settings, Budget next) {
        loop.execute(
                () -> {
                    parser = new RequestParser(settings);
                    budget = next;
                    acceptedAtOnce = Integer.MAX_VALUE; // the next look bounds it anew
                    atOnce = Integer.MAX_VALUE;
                });
    }

    /**
     * Where clients connect.
     *
     * @throws IllegalStateException where the doors are not open
     */
    public InetSocketAddress address() {
        if (listening == null) {
            throw new IllegalStateException("the doors are not open");
        }
        return listening.address();
    }

    /**
     * What is taken from now on is answered by a time at the latest, and idle connections stay till
     * then.
     */
    public void answerBy(Instant time) {
        loop.execute(() -> last = time);
    }

    /** From now on each answer ends its connection, and idle ones are closed. */
    public void leave() {
        leave(client -> client.answered);
    }

    /** The same at the program's end, for all clients and for those who would still come. */
    public void end() {
        leave(client -> true);
        leavePort();
    }

    private void leave(Predicate<ClientConnection> whom) {
        loop.execute(
                () -> {
                    leaving = true;
                    List.copyOf(clients.values()).stream()
                            .filter(whom)
                            .forEach(client -> closeIfAtRest(client, "leaving"));
                });
    }

    /** Connections of clients that are not closed yet, though it may have begun. */
    public int connected() {
        return connected;
    }

    /**
     * Takes no new connection any more, as another process listens on the same port. Who waits to
     * be accepted is taken first: a listener that closes resets those. At the program's end it
     * would be too late, as new ones come by the hundreds once each answer ends its connection.
     */
    public void leavePort() {
        loop.execute(
                () -> {
                    if (!portLeft) {
                        portLeft = true;
                        listening.acceptWaitingAndClose();
                    }
                });
    }

    /** Undoes {@link #leave}: answers keep their connections again, and idle ones stay. */
    public void stay() {
        loop.execute(() -> leaving = false);
    }

    @Override
    public void close() {
        if (listening != null) {
            listening.close();
        }
        http.closeConnections();
    }

    /** Takes a new connection, on the I/O thread. */
    public void accept(StreamConnection connection) {
        came++;
        connected++;
        clients.put(connection, new ClientConnection(connection));
        makeRoom();
        http.handleEvent(connection);
    }

    /**
     * Where many are here, those who said nothing since they came make way at once: a client asks
     * right after it connects, and others wait behind them in the backlog, by the hundreds in a
     * crowd. At the bound those at rest follow, longest first; one that was used just now is
     * spared, as its next request may be on it and not read yet while this program is short of
     * time.
     */
    private void makeRoom() {
        if (!crowded()) {
            return;
        }
        forgetClosed();
        Instant now = MonotonicClock.now();
        List.copyOf(clients.values()).stream()
                .filter(client -> client.idle() && !client.answered)
                .filter(client -> client.since.isBefore(now.minus(SILENT)))
                .forEach(client -> closeIfAtRest(client, "crowded, and silent since it came"));
        List.copyOf(clients.values()).stream()
                .filter(client -> client.idle() && client.answered)
                .filter(client -> client.since.isBefore(now.minus(RESTED)))
                .sorted(Comparator.comparing(client -> client.since))
                .limit(Math.max(0, clients.size() - mostWithoutCrowd() + CROSSING))
                .forEach(client -> closeIfAtRest(client, "crowded, and at rest"));
    }

    private boolean crowded() {
        return clients.size() >= mostWithoutCrowd() * 5 / 6; // the platform's own stay below that
    }

    /** Clients beyond which those at rest make way. */
    private int mostWithoutCrowd() {
        return Math.min(atOnce, budget.clientsWithoutCrowd());
    }

    private void sweep() {
        forgetClosed();
        makeRoom();
        ids.sweep();
        pool.expireOverdue(MonotonicClock.now());
        Instant oldest = MonotonicClock.now().minus(PATIENCE);
        Instant unread = MonotonicClock.now().minus(READING);
        List.copyOf(clients.values()).stream()
                .filter(client -> client.writing)
                .filter(client -> client.since.isBefore(unread))
                .forEach(
                        client -> {
                            log.record(
                                    RequestLog.NO_ID,
                                    RequestLog.Event.CUT_OFF,
                                    "its answer was not read in time");
                            close(client);
                        });
        List.copyOf(clients.values()).stream()
                .filter(client -> client.since.isBefore(oldest))
                .filter(client -> leaving || last.equals(Instant.MAX) || !client.answered)
                .forEach(client -> closeIfAtRest(client, "at rest for long"));
        List.copyOf(clients.values()).stream()
                .filter(client -> client.coming && !client.open && !client.writing)
                .filter(client -> client.since.isBefore(oldest))
                .forEach(this::closeHalf);
        loop.executeAfter(crowded() ? SWEEP_CROWD : SWEEP, this::sweep);
    }

    /**
     * Closes a connection on which half a request is; one whose rest has come just now has one more
     * look.
     */
    private void closeHalf(ClientConnection client) {
        Instant longest = MonotonicClock.now().minus(PATIENCE).minus(SWEEP);
        if (client.since.isBefore(longest) || !client.hasUnread()) {
            log.record(
                    RequestLog.NO_ID,
                    RequestLog.Event.CLOSED,
                    "half a request, and no more in time");
            closeInOrder(client);
        }
    }

    /**
     * Closes a connection on which nothing is owed; one whose next request is here already is read
     * instead.
     */
    private void closeIfAtRest(ClientConnection client, String why) {
        if (client.idle() && !client.hasUnread()) {
            log.record(RequestLog.NO_ID, RequestLog.Event.CLOSED, why);
            closeInOrder(client);
        }
    }

    /**
     * Ends a connection with nothing owed on it, by a lingering close. Whoever was never answered
     * can lose nothing by a plain one, and in a crowd there is no time for more.
     */
    private void closeInOrder(ClientConnection client) {
        if (!client.answered) {
            close(client);
            return;
        }
        connected++; // left() takes it away, and the connection stays a little
        left(client);
        client.lingering.start(loop, () -> connected--);
    }

    private void close(ClientConnection client) {
        IoUtils.safeClose(client.connection);
        left(client);
    }

    private void forgetClosed() {
        List.copyOf(clients.values()).stream()
                .filter(client -> !client.connection.isOpen())
                .forEach(this::left);
    }

    /** The one place where what a connection holds here is given back. */
    private void left(ClientConnection client) {
        received(client);
        hold(client, 0);
        answered(client);
        countPipelined(client, 0);
        if (clients.remove(client.connection) != null) {
            connected--;
        }
    }

    private ClientConnection client(HttpServerExchange exchange) {
        StreamConnection connection =
                ((HttpServerConnection) exchange.getConnection()).getChannel();
        return clients.computeIfAbsent(
                connection,
                unknown -> { // closed just now
                    connected++;
                    return new ClientConnection(unknown);
                });
    }

    private static String id(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(RequestParser.TRACE_ID);
        return id == null ? RequestLog.NO_ID : id;
    }

    private void handle(HttpServerExchange exchange) {
        Instant arrived = MonotonicClock.now();
        ClientConnection client = client(exchange);
        client.coming = false;
        if (client.answered) { // the time of the first request is counted from the connect
            client.since = arrived;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> route(exchange, arrived));
    }

    private void route(HttpServerExchange exchange, Instant arrived) {
        switch (exchange.getRequestURI()) {
            case "/healthz" -> answer(exchange, ready.getAsBoolean() ? 200 : 503, new byte[0]);
            case "/recent" -> answer(exchange, 200, log.text().getBytes(StandardCharsets.UTF_8));
            case "/counters" ->
                    answer(exchange, 200, counters.text().getBytes(StandardCharsets.UTF_8));
            default -> take(exchange, arrived);
        }
    }

    private void take(HttpServerExchange exchange, Instant arrived) {
        IoRequest request;
        try {
            request =
                    parser.parse(
                                    exchange.getRequestMethod().toString(),
                                    exchange.getRequestURI(),
                                    exchange.getRequestHeaders(),
                                    arrived)
                            .withDeadlineAtMost(last);
            if (exchange.getRequestContentLength() > MOST_BODY) {
                throw new RequestParser.Rejected(413, "the body is over 64 KiB");
            }
            if (!ids.take(
                    exchange.getRequestHeaders().getFirst(RequestParser.TRACE_ID),
                    request.expiry())) {
                throw new RequestParser.Rejected(409, "X-Trace-Id is another request's");
            }
        } catch (RequestParser.Rejected rejected) {
            reject(exchange, rejected.status(), rejected.getMessage());
            return;
        }
        Receipt receipt = new Receipt(exchange, request.expiry());
        if (receiving > budget.receivingBytes()) {
            receipt.turnAway();
            return;
        }
        // The receiver's bound leaves the connection open for the 413, where the exchange's own
        // closes it.
        exchange.getRequestReceiver().setMaxBufferSize(MOST_BODY);
        // Where the body comes after a 100 Continue, this runs as a root handler: an exchange that
        // is not dispatched by its end is ended by the framework with an empty 200, which no node
        // made.
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) ->
                                same.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> {
                                            if (receipt.end()) {
                                                begin(same, request, body);
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
                                log.record(
                                        id(same),
                                        RequestLog.Event.MALFORMED,
                                        "its body broke off: " + failure);
                                IoUtils.safeClose(same.getConnection());
                            }
                        });
    }

    /**
     * A body that is coming in. What is not whole when its client is about to stop waiting is
     * turned away: its room must not be held for ever.
     */
    private final class Receipt {
        private final HttpServerExchange exchange;
        private final ClientConnection client;
        private final XnioExecutor.Key limit;
        private boolean over;

        Receipt(HttpServerExchange exchange, Instant until) {
            this.exchange = exchange;
            client = client(exchange);
            boolean whole = exchange.isRequestComplete();
            if (!whole) {
                counters.add(Name.BODIES_AWAITED);
            }
            client.bodyAwaited = !whole;
            long told = exchange.getRequestContentLength();
            client.receiving = 2 * (int) (whole ? 0 : told >= 0 ? told : MOST_BODY);
            receiving += client.receiving;
            Instant most = client.since.plus(RECEIVE_LIMIT);
            limit =
                    whole
                            ? () -> true
                            : loop.executeAfter(
                                    MonotonicClock.until(most.isBefore(until) ? most : until),
                                    this::turnAway);
        }

        /** Ends it; false where it has ended before. */
        boolean end() {
            if (over) {
                return false;
            }
            over = true;
            limit.remove();
            client.bodyAwaited = false;
            received(client);
            return true;
        }

        void turnAway() {
            if (end()) {
                counters.add(Name.REFUSED_NO_ROOM);
                log.record(
                        id(exchange),
                        RequestLog.Event.REFUSED,
                        "no room for its body, or it did not come in time");
                answer(exchange, 503, new byte[0]);
            }
        }
    }

    private void begin(HttpServerExchange exchange, IoRequest request, byte[] body) {
        if (hasLeft(exchange)) { // while its body came, or while an earlier request of its was open
            gone(exchange);
            return;
        }
        String target =
                exchange.getQueryString().isEmpty()
                        ? exchange.getRequestURI()
                        : exchange.getRequestURI() + "?" + exchange.getQueryString();
        HeaderMap headers = exchange.getRequestHeaders();
        Optional<String> key = Optional.ofNullable(headers.getFirst(RequestParser.KEY));
        HttpWork work =
                new HttpWork(
                        exchange.getRequestMethod().toString(),
                        target,
                        headers.getFirst(RequestParser.TRACE_ID),
                        key,
                        body);
        Answer answer = new Answer(exchange);
        RequestTask<HttpWork> life =
                new RequestTask<>(engine, counters, request, work, answer, link);
        ClientConnection client = client(exchange);
        if (body.length > budget.bodyBytes() - holding) {
            counters.add(Name.REFUSED_NO_ROOM);
            log.record(
                    answer.requestId(),
                    RequestLog.Event.REFUSED,
                    "no room for the bodies of open requests");
            answer.refuse(Duration.ZERO);
        } else if (pool.start(life)) {
            client.open = true;
            hold(client, body.length);
            watchForEnd(exchange, life);
        } else {
            log.record(answer.requestId(), RequestLog.Event.REFUSED, "too many requests are open");
            answer.refuse(Duration.ZERO);
        }
    }

    /** Reads on while the request is open, so that a client that goes away is noticed. */
    private void watchForEnd(HttpServerExchange exchange, RequestTask<HttpWork> life) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            if (hasLeft(exchange)) {
                                life.clientDisconnected();
                                gone(exchange);
                            }
                        });
        connection.getOriginalSourceConduit().resumeReads();
    }

    private void gone(HttpServerExchange exchange) {
        counters.add(Name.GONE);
        log.record(id(exchange), RequestLog.Event.GONE, "its client left");
        IoUtils.safeClose(exchange.getConnection());
        left(client(exchange));
    }

    /**
     * Reads all that is here, keeps it for the next requests, and tells whether the client has
     * left.
     */
    private boolean hasLeft(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        ClientConnection client = client(exchange);
        countPipelined(connection, client); // the framework may have left some of what it read
        while (client.pipelined < MOST_PIPELINED && receiving <= budget.receivingBytes()) {
            PooledByteBuffer fresh = connection.getByteBufferPool().allocate();
            int got;
            try {
                got = connection.getOriginalSourceConduit().read(fresh.getBuffer());
            } catch (IOException reset) {
                got = -1;
            }
            if (got <= 0) {
                fresh.close();
                return got < 0;
            }
            keepPipelined(connection, client, fresh);
        }
        connection
                .getOriginalSourceConduit()
                .suspendReads(); // a client that sends so much is still there
        return false;
    }

    private void keepPipelined(
            HttpServerConnection connection, ClientConnection client, PooledByteBuffer fresh) {
        fresh.getBuffer().flip();
        PooledByteBuffer held = connection.getExtraBytes();
        if (held == null) {
            connection.setExtraBytes(fresh);
        } else { // an unget would put the new bytes in front
            ByteBuffer first = held.getBuffer();
            ByteBuffer both =
                    ByteBuffer.allocate(first.remaining() + fresh.getBuffer().remaining());
            both.put(first).put(fresh.getBuffer()).flip();
            held.close();
            fresh.close();
            connection.setExtraBytes(new ImmediatePooledByteBuffer(both));
        }
        countPipelined(connection, client);
    }

    private void countPipelined(HttpServerConnection connection, ClientConnection client) {
        PooledByteBuffer held = connection.getExtraBytes();
        countPipelined(client, held == null ? 0 : held.getBuffer().remaining());
    }

    /** The one place where the room of what was sent ahead of time is taken and given back. */
    private void countPipelined(ClientConnection client, int bytes) {
        receiving += bytes - client.pipelined;
        client.pipelined = bytes;
    }

    /** The one place where the room of an open request's body is taken and given back. */
    private void hold(ClientConnection client, int bytes) {
        holding += bytes - client.holding;
        client.holding = bytes;
    }

    /** The one place where the room of a body is given back. */
    private void received(ClientConnection client) {
        receiving -= client.receiving;
        client.receiving = 0;
    }

    private void reject(HttpServerExchange exchange, int status, String why) {
        counters.add(Name.MALFORMED);
        log.record(id(exchange), RequestLog.Event.MALFORMED, why);
        exchange.setPersistent(false);
        answer(exchange, status, (why + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The one place where the room of an answer is given back. */
    private void answered(ClientConnection client) {
        answering -= client.answering;
        client.answering = 0;
    }

    private void answer(HttpServerExchange exchange, int status, byte[] body) {
        ClientConnection client = client(exchange);
        if (!client.connection.isOpen()) { // the client left just now
            left(client);
            return;
        }
        if (body.length
                > budget.answerBytes() - answering) { // clients that do not read hold too much
            log.record(
                    id(exchange),
                    RequestLog.Event.FAILED,
                    "no room for its answer of " + body.length + " bytes");
            answer(exchange, 502, new byte[0]);
            return;
        }
        hold(client, 0);
        client.answered |=
                client.open; // whoever only looks at the health makes way as the silent do
        client.open = false;
        client.since = MonotonicClock.now();
        if (!exchange.isRequestComplete()) {
            answerUnread((HttpServerConnection) exchange.getConnection(), client, status);
            return;
        }
        exchange.setStatusCode(status);
        if (leaving || clients.size() > mostClients() + CROSSING) {
            exchange.setPersistent(false);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
        client.answering = body.length;
        answering += body.length;
        client.writing = true;
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    answered(client);
                    client.since = MonotonicClock.now();
                    client.writing = false;
                    client.coming = client.pipelined > 0; // the next request, or a part of it
                    countPipelined(client, 0);
                    next.proceed();
                });
        send(exchange, ByteBuffer.wrap(body));
    }

    /**
     * Sends a body part by part. Guards against a write of all that is left, which copies it whole
     * into a buffer outside the heap each time, whatever the socket takes.
     */
    private static void send(HttpServerExchange exchange, ByteBuffer left) {
        int size = Math.min(left.remaining(), PART);
        ByteBuffer part = left.slice(left.position(), size);
        left.position(left.position() + size);
        exchange.getResponseSender()
                .send(
                        part,
                        !left.hasRemaining()
                                ? IoCallback.END_EXCHANGE
                                : new DefaultIoCallback() {
                                    @Override
                                    public void onComplete(HttpServerExchange same, Sender sender) {
                                        send(same, left);
                                    }
                                });
    }

    /**
     * Answers a request whose body is not all read, and ends its connection. Guards against reading
     * 60 MB, or waiting for what never comes, before the answer can be whole.
     */
    private void answerUnread(
            HttpServerConnection connection, ClientConnection client, int status) {
        client.answered = true;
        try {
            connection.getOriginalSinkConduit().write(closingAnswer(status));
            closeInOrder(client);
        } catch (IOException gone) {
            close(client);
        }
    }

    private static ByteBuffer closingAnswer(int status) {
        String head =
                "HTTP/1.1 "
                        + status
                        + " "
                        + StatusCodes.getReason(status)
                        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII));
    }

    /** The answer to one exchange. */
    private final class Answer implements Responder {
        private final HttpServerExchange exchange;

        Answer(HttpServerExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public boolean isClientConnected() {
            return !hasLeft(exchange);
        }

        @Override
        public String requestId() {
            return ClientListener.id(exchange);
        }

        @Override
        public void serve(byte[] answer) {
            loop.execute(() -> answer(exchange, 200, answer));
        }

        @Override
        public void refuse(Duration retryAfter) {
            loop.execute(
                    () -> {
                        ids.release(requestId());
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
