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
 * The operators' door on TCP, on a thread of its own: a call may write to the disk before it is
 * answered, and that must cost neither the I/O thread nor the engine. Each connection carries one
 * line and gets one line, then is closed. Only callers on this machine (loopback) are heard; others
 * are closed unheard.
 *
 * <p>Callers that connect and send nothing, or half a line, hold a place for 5 s at most; beyond
 * {@value #MOST_CALLERS} at once the one waiting longest makes way, so that slow callers keep no
 * one out.
 */
public final class OperatorPortServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(OperatorPortServer.class.getName());
    private static final int MOST_CALLERS = 16;
    private static final Duration MOST_WAIT = Duration.ofSeconds(5);
    private static final long TICK_MS = 250;
    private static final String TOO_LONG =
            "400 a call is one line of at most " + OperatorProtocol.MOST_LINE + " bytes";

    private final OperatorProtocol door;
    private final Runnable tick;
    private final Supplier<Instant> clock;
    private final ServerSocketChannel listening;
    private final Selector selector;
    private final Map<SocketChannel, Caller> callers = new HashMap<>();
    private final Thread thread = new Thread(this::run, "door");
    private volatile boolean closing;

    /** One connection: what came of its line, and what goes back. */
    private static final class Caller {
        private final Instant came;
        private final ByteBuffer line = ByteBuffer.allocate(OperatorProtocol.MOST_LINE);
        private ByteBuffer answer;

        private Caller(Instant came) {
            this.came = came;
        }
    }

    /**
     * Binds the door.
     *
     * @param tick run on the door's thread every {@value #TICK_MS} ms at most; must not block for
     *     long
     * @throws IOException where the address is taken or cannot be had; the message names the
     *     address
     */
    public OperatorPortServer(
            InetSocketAddress address,
            OperatorProtocol door,
            Runnable tick,
            Supplier<Instant> clock)
            throws IOException {
        this.door = door;
        this.tick = tick;
        this.clock = clock;
        listening = ServerSocketChannel.open();
        try {
            listening.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listening.bind(address, MOST_CALLERS);
            listening.configureBlocking(false);
            selector = Selector.open();
            listening.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException taken) {
            listening.close();
            throw new IOException(
                    "operator door "
                            + address
                            + ": "
                            + taken.getMessage()
                            + "; name a free address in \"operator\" or $ROUTER_OPERATOR",
                    taken);
        }
        thread.setDaemon(true);
    }

    /** Begins to answer. */
    public void start() {
        thread.start();
    }

    public InetSocketAddress address() {
        try {
            return (InetSocketAddress) listening.getLocalAddress();
        } catch (IOException closed) {
            throw new IllegalStateException("the door is closed", closed);
        }
    }

    private void run() {
        while (!closing) {
            try {
                selector.select(TICK_MS);
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
                Instant oldest = clock.get().minus(MOST_WAIT);
                List.copyOf(callers.entrySet()).stream()
                        .filter(one -> one.getValue().came.isBefore(oldest))
                        .forEach(one -> drop(one.getKey()));
            } catch (IOException | RuntimeException failed) {
                if (!closing) {
                    LOG.log(Level.WARNING, "operator door: a call failed", failed);
                }
            }
        }
    }

    private void accept() throws IOException {
        SocketChannel channel;
        while ((channel = listening.accept()) != null) {
            if (!((InetSocketAddress) channel.getRemoteAddress())
                    .getAddress()
                    .isLoopbackAddress()) {
                LOG.log(
                        Level.WARNING,
                        "operator door: closed a caller from "
                                + channel.getRemoteAddress()
                                + "; only this machine is heard");
                channel.close();
                continue;
            }
            if (callers.size() >= MOST_CALLERS) {
                callers.entrySet().stream()
                        .min(Comparator.comparing(one -> one.getValue().came))
                        .ifPresent(one -> drop(one.getKey()));
            }
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ);
            callers.put(channel, new Caller(clock.get()));
        }
    }

    private void serve(SocketChannel channel, SelectionKey key) throws IOException {
        Caller caller = callers.get(channel);
        if (caller == null) {
            channel.close();
            return;
        }
        if (caller.answer == null) {
            int read;
            try {
                read = channel.read(caller.line);
            } catch (IOException reset) {
                drop(channel);
                return;
            }
            int end = lineEnd(caller.line);
            boolean ended = read < 0;
            if (end < 0 && !ended && caller.line.hasRemaining()) {
                return;
            }
            if (end < 0 && ended && caller.line.position() == 0) {
                drop(channel);
                return;
            }
            String answer =
                    end < 0 && !ended
                            ? TOO_LONG
                            : door.answer(
                                    new String(
                                                    caller.line.array(),
                                                    0,
                                                    end < 0 ? caller.line.position() : end,
                                                    StandardCharsets.UTF_8)
                                            .replace("\r", ""));
            caller.answer = ByteBuffer.wrap((answer + "\n").getBytes(StandardCharsets.UTF_8));
            key.interestOps(SelectionKey.OP_WRITE);
        }
        try {
            channel.write(caller.answer);
        } catch (IOException reset) {
            drop(channel);
            return;
        }
        if (!caller.answer.hasRemaining()) {
            drop(channel);
        }
    }

    private static int lineEnd(ByteBuffer line) {
        for (int at = 0; at < line.position(); at++) {
            if (line.get(at) == '\n') {
                return at;
            }
        }
        return -1;
    }

    /** The one place where a caller's connection is given back. */
    private void drop(SocketChannel channel) {
        callers.remove(channel);
        try {
            channel.close();
        } catch (IOException gone) {
            LOG.log(Level.DEBUG, "operator door: a caller was gone", gone);
        }
    }

    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        try {
            thread.join(TICK_MS * 4);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        List.copyOf(callers.keySet()).forEach(this::drop);
        try {
            listening.close();
            selector.close();
        } catch (IOException gone) {
            LOG.log(Level.DEBUG, "operator door: closing", gone);
        }
    }
}
