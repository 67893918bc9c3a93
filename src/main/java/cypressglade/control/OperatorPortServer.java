package cypressglade.control;

import cypressglade.operate.OperatorProtocol;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Listens on the operator port (TCP) with a thread of its own, because a command may write to the
 * disk before it is answered, which must not block the I/O thread or the engine. Each connection
 * carries one command line and one answer line, then is closed. Connections from addresses other
 * than loopback are closed unread.
 *
 * <p>A connection that sends nothing or an incomplete line is closed after 5 s. Beyond {@value
 * #MAX_CONNECTIONS} connections the oldest is closed, so that slow clients cannot keep others out.
 */
public final class OperatorPortServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(OperatorPortServer.class.getName());
    private static final int MAX_CONNECTIONS = 16;
    private static final Duration MAX_CONNECTION_AGE = Duration.ofSeconds(5);
    private static final long TICK_MILLIS = 250;
    private static final String LINE_TOO_LONG_ANSWER =
            "400 a call is one line of at most " + OperatorProtocol.MAX_LINE_BYTES + " bytes";

    private final OperatorProtocol protocol;
    private final Runnable tick;
    private final Supplier<Instant> clock;
    private final ServerSocketChannel listener;
    private final Selector selector;
    private final Map<SocketChannel, Connection> connections = new HashMap<>();
    private final Thread thread = new Thread(this::run, "door");
    private volatile boolean closing;

    /** One connection: the part of its line received so far, and the answer once there is one. */
    private static final class Connection {
        private final Instant acceptedAt;
        private final ByteBuffer line = ByteBuffer.allocate(OperatorProtocol.MAX_LINE_BYTES);
        private ByteBuffer answer;

        private Connection(Instant acceptedAt) {
            this.acceptedAt = acceptedAt;
        }
    }

    /**
     * Binds the operator port.
     *
     * @param address where to listen; port 0 for any free port
     * @param protocol executes the commands, on this server's thread
     * @param tick run on this server's thread after each wait of at most {@value #TICK_MILLIS} ms;
     *     must not block for long
     * @param clock the time by which connections age
     * @throws IOException if the address is in use or unavailable; the message names it
     */
    public OperatorPortServer(
            InetSocketAddress address,
            OperatorProtocol protocol,
            Runnable tick,
            Supplier<Instant> clock)
            throws IOException {
        this.protocol = protocol;
        this.tick = tick;
        this.clock = clock;
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(address, MAX_CONNECTIONS);
            listener.configureBlocking(false);
            selector = Selector.open();
            listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException bindFailure) {
            listener.close();
            throw new IOException(
                    "operator port "
                            + address
                            + ": "
                            + bindFailure.getMessage()
                            + "; name a free address in \"operator\" or $ROUTER_OPERATOR",
                    bindFailure);
        }
        thread.setDaemon(true);
    }

    /** Starts the server's thread. */
    public void start() {
        thread.start();
    }

    /**
     * The bound address.
     *
     * @throws IllegalStateException if the server is closed
     */
    public InetSocketAddress address() {
        try {
            return (InetSocketAddress) listener.getLocalAddress();
        } catch (IOException closed) {
            throw new IllegalStateException("the operator port is closed", closed);
        }
    }

    private void run() {
        while (!closing) {
            try {
                selector.select(TICK_MILLIS);
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                    selector.selectedKeys().remove(key);
                    if (!key.isValid()) {
                        continue;
                    }
                    if (key.isAcceptable()) {
                        accept();
                    } else {
                        serve((SocketChannel) key.channel(), key);
                    }
                }
                tick.run();
                Instant oldest = clock.get().minus(MAX_CONNECTION_AGE);
                List.copyOf(connections.entrySet()).stream()
                        .filter(entry -> entry.getValue().acceptedAt.isBefore(oldest))
                        .forEach(entry -> drop(entry.getKey()));
            } catch (IOException | RuntimeException failed) {
                if (!closing) {
                    LOG.log(Level.WARNING, "operator port: a command failed", failed);
                }
            }
        }
    }

    private void accept() throws IOException {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return;
            }
            if (!((InetSocketAddress) channel.getRemoteAddress())
                    .getAddress()
                    .isLoopbackAddress()) {
                LOG.log(
                        Level.WARNING,
                        "operator port: closed a connection from "
                                + channel.getRemoteAddress()
                                + "; only loopback connections are accepted");
                channel.close();
                continue;
            }
            if (connections.size() >= MAX_CONNECTIONS) {
                connections.entrySet().stream()
                        .min(Comparator.comparing(entry -> entry.getValue().acceptedAt))
                        .ifPresent(entry -> drop(entry.getKey()));
            }
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ);
            connections.put(channel, new Connection(clock.get()));
        }
    }

    private void serve(SocketChannel channel, SelectionKey key) throws IOException {
        Connection connection = connections.get(channel);
        if (connection == null) {
            channel.close();
            return;
        }
        if (connection.answer == null) {
            int read;
            try {
                read = channel.read(connection.line);
            } catch (IOException reset) {
                drop(channel);
                return;
            }
            int end = findLineEnd(connection.line);
            boolean ended = read < 0;
            if (end < 0 && !ended && connection.line.hasRemaining()) {
                return;
            }
            if (end < 0 && ended && connection.line.position() == 0) {
                drop(channel);
                return;
            }
            String answer =
                    end < 0 && !ended
                            ? LINE_TOO_LONG_ANSWER
                            : protocol.answer(
                                    new String(
                                                    connection.line.array(),
                                                    0,
                                                    end < 0 ? connection.line.position() : end,
                                                    StandardCharsets.UTF_8)
                                            .replace("\r", ""));
            connection.answer = ByteBuffer.wrap((answer + "\n").getBytes(StandardCharsets.UTF_8));
            key.interestOps(SelectionKey.OP_WRITE);
        }
        try {
            channel.write(connection.answer);
        } catch (IOException reset) {
            drop(channel);
            return;
        }
        if (!connection.answer.hasRemaining()) {
            drop(channel);
        }
    }

    private static int findLineEnd(ByteBuffer line) {
        for (int at = 0; at < line.position(); at++) {
            if (line.get(at) == '\n') {
                return at;
            }
        }
        return -1;
    }

    /** Closes a connection; the only place that does so. */
    private void drop(SocketChannel channel) {
        connections.remove(channel);
        try {
            channel.close();
        } catch (IOException gone) {
            LOG.log(Level.DEBUG, "operator port: closing a connection failed", gone);
        }
    }

    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        try {
            thread.join(TICK_MILLIS * 4);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        List.copyOf(connections.keySet()).forEach(this::drop);
        try {
            listener.close();
            selector.close();
        } catch (IOException gone) {
            LOG.log(Level.DEBUG, "operator port: closing the listener failed", gone);
        }
    }
}
