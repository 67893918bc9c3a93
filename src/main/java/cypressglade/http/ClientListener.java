package cypressglade.http;

import cypressglade.config.Budget;
import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestLog;
import cypressglade.core.RequestPool;
import cypressglade.core.Scheduler.Settings;
import cypressglade.net.ByteBudget;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import cypressglade.net.LingeringClose;
import cypressglade.net.ListeningSocket;
import cypressglade.net.TurnQueue;
import cypressglade.storm.ConnectionLimiter;
import cypressglade.storm.ConnectionPacer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * The HTTP/1.1 listener for clients. Accepts connections, whose requests a {@link RequestHandler}
 * handles, and closes them. Limits their number and the bytes that they hold together. A connection
 * without an open request is closed after a short time, whatever arrives on it: clients that send
 * nothing, or never complete a request, must not keep others out.
 *
 * <p>All state belongs to the I/O thread, and the public methods pass their work on to it; only
 * {@link #accept} must be called on it. A request's own task may run on another thread.
 */
public final class ClientListener implements AutoCloseable {
    /**
     * Time after which a connection without an open request is closed. The platform's protocol
     * allows the close after 2 s, and requires it within 3 s where the peer is no real client.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(2200);

    /** Time in which a client reads nothing of its response; longer than any deadline. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(7);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);
    private static final Duration CROWDED_SWEEP_INTERVAL = Duration.ofMillis(20);

    /** Idle time after which a connection that had a request may be closed to make room. */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(1);

    /** Time after which a connection that never had a request may be closed to make room. */
    private static final Duration MIN_SILENT_TIME = Duration.ofMillis(100);

    /** Time after which a response that is not read may be cut off to make room. */
    private static final Duration MIN_UNREAD_TIME = Duration.ofSeconds(1);

    /** Interval at which the lateness of the I/O thread is measured. */
    private static final Duration LATENESS_INTERVAL = Duration.ofMillis(20);

    /** Mean lateness above which fewer connections are served. */
    private static final Duration MAX_LATENESS = Duration.ofMillis(20);

    /** Connections that are served however late the I/O thread runs. */
    private static final int MIN_CLIENTS = 32;

    /** Connections accepted beyond the limit, while those that make room for them close. */
    private static final int MAX_EXCESS_CLIENTS = 8;

    private final EventLoop loop;
    private final RequestPool requestPool;
    private final RequestLog requestLog;
    private final RequestHandler handler;
    private final TurnQueue turns;
    private final ByteBudget inputBudget;
    private final ByteBudget outputBudget;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final Counters counters;
    private final ConnectionLimiter connectionLimiter =
            new ConnectionLimiter(MIN_CLIENTS, MAX_LATENESS);
    private final Optional<ConnectionPacer> connectionPacer;
    private ListeningSocket listening;
    private Budget budget;
    private int acceptedSinceUpdate; // connections, since the pacer was last updated
    private int servedLimit = Integer.MAX_VALUE; // connections, by the lateness of this thread
    private int acceptedLimit = Integer.MAX_VALUE; // connections, as last set at the acceptor
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
        this.counters = counters;
        this.requestPool = requestPool;
        this.requestLog = engine.requestLog();
        this.budget = budget;
        turns = new TurnQueue(loop);
        inputBudget = new ByteBudget(budget.inputBytes());
        outputBudget = new ByteBudget(budget.answerBytes());
        handler =
                new RequestHandler(
                        loop,
                        settings,
                        engine,
                        counters,
                        requestPool,
                        link,
                        isReady,
                        inputBudget,
                        new ConnectionCloser());
    }

    /** The bytes that all clients' input may occupy, for fronts of other protocols too. */
    public ByteBudget inputBudget() {
        return inputBudget;
    }

    /** The turns of all clients, for fronts of other protocols too. */
    public TurnQueue turns() {
        return turns;
    }

    /** Bytes of memory in which the ids of requests are shared with other processes. */
    public static int sharedIdBytes() {
        return IdTable.BYTES;
    }

    /**
     * Shares the ids of requests with the other processes of this scheduler, so that a copy that
     * comes to another one is not sent. To be called before {@link #start}.
     *
     * @param memory of {@link #sharedIdBytes} bytes, zero at first; empty where it cannot be had
     *     now, to be tried again later
     */
    public void shareIds(Supplier<Optional<ByteBuffer>> memory) {
        handler.shareIds(memory);
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
                    handler.applySettings(settings);
                    budget = newBudget;
                    inputBudget.setLimit(newBudget.inputBytes());
                    outputBudget.setLimit(newBudget.answerBytes());
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
        loop.execute(() -> handler.setAnswerDeadline(time));
    }

    /**
     * Closes idle connections that had a request, and from now on each connection after its next
     * response.
     */
    public void startDraining() {
        startDraining(ClientConnection::wasAnswered);
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
                    List.copyOf(clients).stream()
                            .filter(closeable)
                            .forEach(client -> queueCloseIfIdle(client, "leaving"));
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
        loop.execute(() -> List.copyOf(clients).forEach(this::close));
    }

    /** Serves a new connection. Must be called on the I/O thread. */
    public void accept(Connection connection) {
        acceptedSinceUpdate++;
        connectionCount++;
        ClientConnection client =
                new ClientConnection(connection, handler, turns, inputBudget, outputBudget);
        clients.add(client);
        makeRoomForClients();
        client.start();
    }

    /**
     * Closes idle connections where there are many. Those that never had a request go first: a
     * client sends its request right after connecting, and in a crowd others wait behind the silent
     * ones in the listen backlog, by the hundreds. At the limit connections that had a request
     * follow, the longest idle first. One that was used a moment ago is spared, as its next request
     * may have arrived unread while this program is short of CPU time.
     */
    private void makeRoomForClients() {
        if (!isCrowded()) {
            return;
        }
        Instant now = MonotonicClock.now();
        List.copyOf(clients).stream()
                .filter(client -> client.isIdle() && !client.wasAnswered())
                .filter(client -> client.since().isBefore(now.minus(MIN_SILENT_TIME)))
                .forEach(client -> closeIfIdle(client, "crowded, and silent since it came"));
        List.copyOf(clients).stream()
                .filter(client -> client.isIdle() && client.wasAnswered())
                .filter(client -> client.since().isBefore(now.minus(MIN_IDLE_TIME)))
                .sorted(Comparator.comparing(ClientConnection::since))
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
        makeRoomForClients();
        handler.retryShare();
        makeRoomForOutput();
        requestPool.expireOverdue(MonotonicClock.now());
        Instant idleSince = MonotonicClock.now().minus(IDLE_TIMEOUT);
        Instant writingSince = MonotonicClock.now().minus(WRITE_TIMEOUT);
        List.copyOf(clients).stream()
                .filter(client -> client.unsentBytes() > 0)
                .filter(client -> lastWritten(client).isBefore(writingSince))
                .forEach(client -> cutOff(client, "its answer was not read in time"));
        List.copyOf(clients).stream()
                .filter(client -> client.since().isBefore(idleSince))
                .filter(
                        client ->
                                isDraining || !handler.hasAnswerDeadline() || !client.wasAnswered())
                .forEach(client -> queueCloseIfIdle(client, "at rest for long"));
        List.copyOf(clients).stream()
                .filter(client -> client.phase() == ClientConnection.Phase.HEAD)
                .filter(client -> client.since().isBefore(idleSince))
                .forEach(client -> turns.add(() -> closeIncomplete(client)));
        loop.executeAfter(isCrowded() ? CROWDED_SWEEP_INTERVAL : SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Answers an incomplete request head, and closes its connection. Where more of it has arrived
     * unread, or may have, it gets one more sweep interval. Input that completes no request buys no
     * further time, however much of it there is.
     */
    private void closeIncomplete(ClientConnection client) {
        if (client.phase() != ClientConnection.Phase.HEAD) {
            return;
        }
        Instant extendedLimit = MonotonicClock.now().minus(IDLE_TIMEOUT).minus(SWEEP_INTERVAL);
        Instant lastActivity = client.connection().lastActivity();
        boolean mayHaveMore = client.checkPresence() == ClientConnection.Presence.UNKNOWN;
        boolean hasArrived = client.connection().lastActivity().isAfter(lastActivity);
        if (client.phase() == ClientConnection.Phase.HEAD
                && (client.since().isBefore(extendedLimit) || !hasArrived && !mayHaveMore)) {
            requestLog.record(
                    RequestLog.NO_ID,
                    RequestLog.Event.CLOSED,
                    "half a request, and no more in time");
            client.respond(HttpStatus.REQUEST_TIMEOUT, "", new byte[0], true);
        }
    }

    /** Closes a connection in its turn, if it is idle then. */
    private void queueCloseIfIdle(ClientConnection client, String why) {
        turns.add(
                () -> {
                    if (!closeIfIdle(client, why)) {
                        queueCloseIfIdle(client, why);
                    }
                });
    }

    /**
     * Closes a connection that is idle. One whose next request has arrived unread is kept, and that
     * request is read now.
     *
     * @return false where it is idle as far as it was read, but the budget for reading was spent
     */
    private boolean closeIfIdle(ClientConnection client, String why) {
        if (!client.isIdle()) {
            return true;
        }
        boolean mayHaveMore = client.checkPresence() == ClientConnection.Presence.UNKNOWN;
        if (client.isIdle() && !mayHaveMore) {
            requestLog.record(RequestLog.NO_ID, RequestLog.Event.CLOSED, why);
            closeIdle(client);
        }
        return !client.isIdle();
    }

    /**
     * Closes an idle connection by a lingering close. One without an answered request is closed at
     * once, as its client can lose no response, and a crowd of them leaves no time for more.
     */
    private void closeIdle(ClientConnection client) {
        if (client.wasAnswered()) {
            closeGracefully(client);
        } else {
            close(client);
        }
    }

    private void closeGracefully(ClientConnection client) {
        connectionCount++; // forget() subtracts it, and the socket is open until later
        forget(client);
        LingeringClose.start(loop, client.connection(), () -> connectionCount--);
    }

    private void close(ClientConnection client) {
        client.connection().close();
        forget(client);
    }

    private void cutOff(ClientConnection client, String why) {
        requestLog.record(client.requestId(), RequestLog.Event.CUT_OFF, why);
        client.connection().abort();
        forget(client);
    }

    /**
     * Releases all that is accounted to a connection; only here is a connection removed. Has no
     * effect where that was done before.
     */
    private void forget(ClientConnection client) {
        client.release();
        if (clients.remove(client)) {
            connectionCount--;
        }
    }

    /**
     * Refuses what is arriving, the longest unfinished first: whole requests take milliseconds to
     * arrive, so these belong to clients that stopped or write slowly.
     */
    private void makeRoomForInput() {
        while (inputBudget.isExceeded()) {
            Optional<ClientConnection> oldest =
                    clients.stream()
                            .filter(ClientConnection::isReceiving)
                            .min(Comparator.comparing(ClientConnection::since));
            if (oldest.isEmpty()) {
                return;
            }
            counters.add(Counters.Name.CLOSED_FOR_ROOM);
            handler.refuseUnfinished(
                    oldest.get(), "no room for what arrives, and it was the longest unfinished");
        }
    }

    /** Cuts off answers that have not been read for a while, the longest unread first. */
    private void makeRoomForOutput() {
        Instant unreadSince = MonotonicClock.now().minus(MIN_UNREAD_TIME);
        while (outputBudget.isExceeded()) {
            Optional<ClientConnection> slowest =
                    clients.stream()
                            .filter(client -> client.unsentBytes() > 0)
                            .min(Comparator.comparing(ClientListener::lastWritten))
                            .filter(client -> lastWritten(client).isBefore(unreadSince));
            if (slowest.isEmpty()) {
                return;
            }
            counters.add(Counters.Name.CLOSED_FOR_ROOM);
            cutOff(slowest.get(), "no room for answers, and it was the longest unread");
        }
    }

    private static Instant lastWritten(ClientConnection client) {
        return client.connection().lastWritten();
    }

    /** What the requests' handler decides on connections. */
    private final class ConnectionCloser implements RequestHandler.Connections {
        private boolean isMakingRoom;

        @Override
        public boolean closesAfterAnswer() {
            return isDraining || clients.size() > maxClients() + MAX_EXCESS_CLIENTS;
        }

        @Override
        public void closeFinished(ClientConnection client) {
            closeGracefully(client);
        }

        @Override
        public void abort(ClientConnection client) {
            client.connection().abort();
            ClientListener.this.forget(client);
        }

        @Override
        public void forget(ClientConnection client) {
            ClientListener.this.forget(client);
        }

        @Override
        public boolean hasAnswerRoom(int bytes) {
            return outputBudget.hasRoomFor(bytes);
        }

        @Override
        public void makeRoom() {
            if (!isMakingRoom) { // answers that are written meanwhile change what is held
                isMakingRoom = true;
                makeRoomForInput();
                makeRoomForOutput();
                isMakingRoom = false;
            }
        }
    }
}
