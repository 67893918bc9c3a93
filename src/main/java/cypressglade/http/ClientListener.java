package cypressglade.http;

import cypressglade.core.Caller;
import cypressglade.core.Counters;
import cypressglade.core.Counters.Name;
import cypressglade.core.Engine;
import cypressglade.core.IoRequest;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestLife;
import cypressglade.core.RequestPool;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Time;
import cypressglade.net.Loop;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Where clients connect. All of it runs on the I/O thread but the request's own task. */
public final class ClientListener implements AutoCloseable {
    private static final int MOST_BODY = 64 * 1024;
    private static final int MOST_RECEIVING = 4 << 20;
    private static final Duration PARSE_LIMIT = Duration.ofSeconds(10);
    private static final int MOST_HEAD = 16 * 1024;
    private static final int BUFFER = 16 * 1024;
    private static final int BACKLOG = 512;

    private final Loop loop;
    private final Undertow server;
    private final RequestParser parser;
    private final Engine engine;
    private final Counters counters;
    private final RequestPool pool;
    private final NodeLink<HttpWork> link;
    private final BooleanSupplier ready;
    private final Map<ServerConnection, State> clients = new HashMap<>();
    private int receiving;
    private final int mostKept;
    private volatile boolean leaving;

    /** A client connection: whether a request is on it, and what room its body takes while it comes. */
    private static final class State {
        private boolean busy;
        private int receiving;
    }

    public ClientListener(Loop loop, InetSocketAddress address, Settings settings, Engine engine,
            Counters counters, RequestPool pool, NodeLink<HttpWork> link, BooleanSupplier ready,
            int mostConnections) {
        this.loop = loop;
        this.parser = new RequestParser(settings);
        this.engine = engine;
        this.counters = counters;
        this.pool = pool;
        this.link = link;
        this.ready = ready;
        this.mostKept = mostConnections - mostConnections / 8;
        this.server = Undertow.builder().setWorker(loop.worker()).setBufferSize(BUFFER).setDirectBuffers(true)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MOST_HEAD)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) PARSE_LIMIT.toMillis())
                .setSocketOption(org.xnio.Options.BACKLOG, BACKLOG)
                .setSocketOption(org.xnio.Options.TCP_NODELAY, true)
                .setSocketOption(org.xnio.Options.CONNECTION_HIGH_WATER, mostConnections)
                .setSocketOption(org.xnio.Options.CONNECTION_LOW_WATER, mostConnections)
                .addHttpListener(address.getPort(), address.getAddress().getHostAddress(),
                        Handlers.httpContinueRead(this::handle))
                .build();
    }

    public void start() {
        server.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    /** From now on each answer ends its connection, and idle ones are closed. */
    public void leave() {
        leaving = true;
        loop.execute(() -> {
            List.copyOf(clients.keySet()).stream().filter(connection -> !clients.get(connection).busy)
                    .forEach(IoUtils::safeClose);
        });
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        Instant arrived = Time.now();
        ServerConnection connection = exchange.getConnection();
        State state = clients.computeIfAbsent(connection, first -> {
            first.addCloseListener(closed -> loop.execute(() -> received(clients.remove(closed))));
            return new State();
        });
        state.busy = true;
        exchange.addExchangeCompleteListener((done, next) -> {
            state.busy = false;
            next.proceed();
        });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> route(exchange, arrived));
    }

    private void route(HttpServerExchange exchange, Instant arrived) {
        switch (exchange.getRequestURI()) {
            case "/healthz" -> answer(exchange, ready.getAsBoolean() ? 200 : 503, new byte[0]);
            case "/counters" -> answer(exchange, 200, counters.text().getBytes(StandardCharsets.UTF_8));
            default -> take(exchange, arrived);
        }
    }

    private void take(HttpServerExchange exchange, Instant arrived) {
        IoRequest request;
        try {
            request = parser.parse(exchange.getRequestMethod().toString(), exchange.getRequestURI(),
                    exchange.getRequestHeaders(), arrived);
            if (exchange.getRequestContentLength() > MOST_BODY) {
                throw new RequestParser.Rejected(413, "the body is over 64 KiB");
            }
        } catch (RequestParser.Rejected rejected) {
            reject(exchange, rejected.status(), rejected.getMessage());
            return;
        }
        Receipt receipt = new Receipt(exchange, request.expiry());
        if (receiving > MOST_RECEIVING) {
            receipt.turnAway();
            return;
        }
        // The receiver's bound leaves the connection open for the 413, where the exchange's own closes it.
        exchange.getRequestReceiver().setMaxBufferSize(MOST_BODY);
        exchange.getRequestReceiver().receiveFullBytes((same, body) -> {
            if (receipt.end()) {
                begin(same, request, body);
            }
        }, (same, failure) -> {
            if (!receipt.end()) {
                return;
            }
            if (failure instanceof Receiver.RequestToLargeException) {
                reject(same, 413, "the body is over 64 KiB");
            } else {
                counters.add(Name.MALFORMED);
                IoUtils.safeClose(same.getConnection());
            }
        });
    }

    /**
     * A body that is coming in. What is not whole when its client is about to stop waiting is turned away:
     * its room must not be held for ever.
     */
    private final class Receipt {
        private final HttpServerExchange exchange;
        private final State state;
        private final XnioExecutor.Key limit;
        private boolean over;

        Receipt(HttpServerExchange exchange, Instant until) {
            this.exchange = exchange;
            state = clients.get(exchange.getConnection());
            boolean whole = exchange.isRequestComplete();
            long told = exchange.getRequestContentLength();
            state.receiving = 2 * (int) (whole ? 0 : told >= 0 ? told : MOST_BODY);
            receiving += state.receiving;
            limit = whole ? () -> true : loop.after(Time.until(until), this::turnAway);
        }

        /** Ends it; false where it has ended before. */
        boolean end() {
            if (over) {
                return false;
            }
            over = true;
            limit.remove();
            received(state);
            return true;
        }

        void turnAway() {
            if (end()) {
                counters.add(Name.REFUSED_NO_ROOM);
                exchange.setPersistent(false);
                answer(exchange, 503, new byte[0]);
            }
        }
    }

    private void begin(HttpServerExchange exchange, IoRequest request, byte[] body) {
        String target = exchange.getQueryString().isEmpty() ? exchange.getRequestURI()
                : exchange.getRequestURI() + "?" + exchange.getQueryString();
        HttpWork work = new HttpWork(exchange.getRequestMethod().toString(), target,
                exchange.getRequestHeaders().getFirst(RequestParser.TRACE_ID), body);
        Client client = new Client(exchange);
        RequestLife<HttpWork> life = new RequestLife<>(engine, counters, request, work, client, link);
        if (pool.start(life)) {
            watchForEnd(exchange, life);
        } else {
            client.refused(Duration.ZERO);
        }
    }

    /** Reads on while the request is open, so that a client that goes away is noticed. */
    private void watchForEnd(HttpServerExchange exchange, RequestLife<HttpWork> life) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
        channel.setReadListener(source -> {
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            int got;
            try {
                got = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            } catch (IOException broken) {
                got = -1;
            }
            if (got > 0) { // the next request, ahead of time: kept for when this one is answered
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                connection.getOriginalSourceConduit().suspendReads();
                return;
            }
            pooled.close();
            if (got < 0) {
                connection.getOriginalSourceConduit().suspendReads();
                counters.add(Name.GONE);
                life.clientGone();
                IoUtils.safeClose(connection);
            }
        });
        connection.getOriginalSourceConduit().resumeReads();
    }

    /** The one place where the room of a body is given back. */
    private void received(State state) {
        receiving -= state.receiving;
        state.receiving = 0;
    }

    private void reject(HttpServerExchange exchange, int status, String why) {
        counters.add(Name.MALFORMED);
        exchange.setPersistent(false);
        answer(exchange, status, (why + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void answer(HttpServerExchange exchange, int status, byte[] body) {
        exchange.setStatusCode(status);
        if (leaving || clients.size() > mostKept) { // idle ones must not keep new clients out
            exchange.setPersistent(false);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /** The client of one exchange. */
    private final class Client implements Caller {
        private final HttpServerExchange exchange;

        Client(HttpServerExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void served(byte[] answer) {
            loop.execute(() -> answer(exchange, 200, answer));
        }

        @Override
        public void refused(Duration retryAfter) {
            loop.execute(() -> {
                if (!retryAfter.isZero()) {
                    exchange.getResponseHeaders().put(Headers.RETRY_AFTER,
                            BigDecimal.valueOf(retryAfter.toMillis(), 3).toPlainString());
                }
                answer(exchange, 503, new byte[0]);
            });
        }

        @Override
        public void failed() {
            loop.execute(() -> answer(exchange, 502, new byte[0]));
        }
    }
}
