package cypressglade.net;

import cypressglade.core.Retry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.ChannelPipe;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The program's one I/O thread: what runs on it never blocks, and the state of its wires is its
 * alone.
 */
public class EventLoop implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());

    /** Held, as its level is lost with it. */
    private static final Logger XNIO = Logger.getLogger("org.xnio");

    private static final int BUFFER = 16 * 1024;
    private static final int BACKLOG = 512;
    private static final Duration BIND_LIMIT = Duration.ofSeconds(10);
    private static final Duration START_LIMIT = Duration.ofSeconds(5);
    private static final OptionMap TCP = OptionMap.create(Options.TCP_NODELAY, true);

    static {
        // It names its version at each start, and the first line that is logged loads how dates are
        // written.
        XNIO.setLevel(Level.WARNING);
    }

    private final XnioWorker worker;
    private final XnioIoThread io;
    private Duration lateness = Duration.ZERO;
    final ByteBuffer input = ByteBuffer.allocateDirect(BUFFER);

    public EventLoop() throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "io")
                        .getMap();
        worker =
                Retry.untilDone(
                        START_LIMIT,
                        "I/O thread",
                        IOException.class::isInstance,
                        () -> Xnio.getInstance().createWorker(options));
        io = worker.getIoThread();
    }

    public XnioWorker worker() {
        return worker;
    }

    XnioIoThread io() {
        return io;
    }

    /** How late this thread came to what was due, on average lately; on this thread. */
    public Duration meanLateness() {
        return lateness;
    }

    /** Told by whoever looks at it, on this thread. */
    public void setMeanLateness(Duration mean) {
        lateness = mean;
    }

    public void execute(Runnable task) {
        try {
            io.execute(task);
        } catch (RejectedExecutionException closing) {
            LOG.log(System.Logger.Level.DEBUG, "the program stops", closing);
        }
    }

    public XnioExecutor.Key executeAfter(Duration delay, Runnable task) {
        try {
            return io.executeAfter(task, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closing) {
            return () -> false; // the program stops, and nothing is due any more
        }
    }

    /** Connects; either {@code up} or {@code down} is called, once, on this thread. */
    public EventLoop.PendingConnection connect(
            InetSocketAddress address, Consumer<Connection> up, Runnable down) {
        return connect(Optional.empty(), address, up, down);
    }

    /** The same, from a local address; from whichever the route gives where there is none. */
    public EventLoop.PendingConnection connect(
            Optional<InetSocketAddress> from,
            InetSocketAddress address,
            Consumer<Connection> up,
            Runnable down) {
        IoFuture<StreamConnection> future =
                from.isEmpty()
                        ? worker.openStreamConnection(address, null, TCP)
                        : worker.openStreamConnection(from.get(), address, null, null, TCP);
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void nothing) {
                        execute(() -> up.accept(new Connection(EventLoop.this, connection)));
                    }

                    @Override
                    public void handleFailed(IOException failure, Void nothing) {
                        execute(down);
                    }

                    @Override
                    public void handleCancelled(Void nothing) {
                        execute(down);
                    }
                },
                null);
        return future::cancel;
    }

    /** The two ends of a connection inside the program. */
    protected final Connection[] connectedPair() {
        StreamConnection[] ends = pipe();
        return new Connection[] {new Connection(this, ends[0]), new Connection(this, ends[1])};
    }

    /**
     * A connection inside the program: one end is handed over as an accepted one is, the other
     * returned.
     */
    public final Connection openPipe(Consumer<StreamConnection> accepted) {
        StreamConnection[] ends = pipe();
        execute(() -> accepted.accept(ends[0]));
        return new Connection(this, ends[1]);
    }

    private StreamConnection[] pipe() {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe =
                    io.createFullDuplexPipeConnection();
            return new StreamConnection[] {pipe.getLeftSide(), pipe.getRightSide()};
        } catch (IOException none) {
            throw new UncheckedIOException(none);
        }
    }

    /** Listens; each connection is handed over on this thread. */
    public ListeningSocket listen(InetSocketAddress address, Consumer<Connection> accepted)
            throws IOException {
        ListeningSocket listening =
                bind(address, false, up -> accepted.accept(new Connection(this, up)));
        listening.resume();
        return listening;
    }

    /**
     * Binds a listener that another process may share (SO_REUSEPORT), as an upgrade wants it; it
     * hands over each connection on this thread, once it is told to accept.
     */
    public ListeningSocket bindShared(
            InetSocketAddress address, Consumer<StreamConnection> accepted) throws IOException {
        return Retry.untilDone(
                BIND_LIMIT,
                "clients' port",
                IOException.class::isInstance,
                () -> bind(address, true, accepted));
    }

    private ListeningSocket bind(
            InetSocketAddress address, boolean shared, Consumer<StreamConnection> accepted)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(address, BACKLOG);
            return new ListeningSocket(this, channel, accepted);
        } catch (IOException taken) {
            IoUtils.safeClose(channel);
            throw taken;
        }
    }

    /** Opens a UDP socket. */
    public UdpSocket openUdpSocket(InetSocketAddress address, UdpSocket.Receiver receiver)
            throws IOException {
        return new UdpSocket(worker, address, receiver);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    /** A connection that is coming up. */
    public interface PendingConnection {
        void cancel();
    }
}
