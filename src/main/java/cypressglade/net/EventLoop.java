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
 * The program's event loop with its one I/O thread. Tasks and callbacks that run on this thread
 * must not block. The connections that the loop creates belong to this thread and may be used only
 * on it.
 */
public class EventLoop implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());

    /** A strong reference: the level set below is lost once the logger is collected. */
    private static final Logger XNIO_LOGGER = Logger.getLogger("org.xnio");

    static final int INPUT_BUFFER_BYTES = 16 * 1024;
    static final int ACCEPT_BACKLOG = 512;
    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(5);
    private static final OptionMap TCP_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    static {
        // XNIO logs its version at each start, and the first line logged loads the date formatting
        // classes.
        XNIO_LOGGER.setLevel(Level.WARNING);
    }

    private final XnioWorker worker;
    private final XnioIoThread io;
    private Duration meanLateness = Duration.ZERO;
    private final ByteBuffer input = ByteBuffer.allocateDirect(INPUT_BUFFER_BYTES);
    private boolean isInputLent;
    private final CallbackBudget budget = new CallbackBudget();

    /**
     * Starts the I/O thread.
     *
     * @throws IOException where the thread cannot be created within 5 s
     */
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
                        START_TIMEOUT,
                        "I/O thread",
                        IOException.class::isInstance,
                        () -> Xnio.getInstance().createWorker(options));
        io = worker.getIoThread();
    }

    XnioIoThread io() {
        return io;
    }

    /** The budget of the callback that runs now. To be used on this thread. */
    CallbackBudget budget() {
        return budget;
    }

    /** Passes callbacks that hold this thread for long to a consumer, on this thread. */
    public void reportHolds(Consumer<LoopHold> reporter) {
        execute(() -> budget.setReporter(reporter));
    }

    /**
     * How late this thread has recently run its due tasks, on average. Must be called on this
     * thread.
     */
    public Duration meanLateness() {
        return meanLateness;
    }

    /** Sets the mean lateness as measured by the caller. Must be called on this thread. */
    public void setMeanLateness(Duration mean) {
        meanLateness = mean;
    }

    /**
     * Runs a task on this thread; may be called from any thread. Dropped once the loop is closed.
     */
    public void execute(Runnable task) {
        try {
            io.execute(() -> budget.run(task, task));
        } catch (RejectedExecutionException closing) {
            LOG.log(System.Logger.Level.DEBUG, "task dropped: the event loop is closed", closing);
        }
    }

    /**
     * Runs a task on this thread after a delay of at least 1 ms.
     *
     * @return the key by which the task can be cancelled
     */
    public XnioExecutor.Key executeAfter(Duration delay, Runnable task) {
        try {
            return io.executeAfter(
                    () -> budget.run(task, task),
                    Math.max(1, delay.toMillis()),
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closing) {
            return () -> false; // the loop is closed, so the task never runs
        }
    }

    /**
     * Opens a TCP connection. Exactly one of {@code up} and {@code down} is called, once, on this
     * thread: with the connection, or after a failure or cancellation.
     */
    public EventLoop.PendingConnection connect(
            InetSocketAddress address, Consumer<Connection> up, Runnable down) {
        return connect(Optional.empty(), address, up, down);
    }

    /**
     * Opens a TCP connection from a local address, or from the one that the route gives where
     * {@code from} is empty.
     */
    public EventLoop.PendingConnection connect(
            Optional<InetSocketAddress> from,
            InetSocketAddress address,
            Consumer<Connection> up,
            Runnable down) {
        IoFuture<StreamConnection> future =
                from.isEmpty()
                        ? worker.openStreamConnection(address, null, TCP_OPTIONS)
                        : worker.openStreamConnection(from.get(), address, null, null, TCP_OPTIONS);
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

    /**
     * Lends a buffer for one read. All reads share one; a read while another's input is being
     * handled gets a buffer of its own.
     */
    ByteBuffer lendInput() {
        if (isInputLent) {
            return ByteBuffer.allocate(INPUT_BUFFER_BYTES);
        }
        isInputLent = true;
        return input.clear();
    }

    /** Takes back what {@link #lendInput} has lent. */
    void returnInput(ByteBuffer lent) {
        if (lent == input) {
            isInputLent = false;
        }
    }

    /** The two ends of a new connection inside the process, without a network socket. */
    protected final Connection[] connectedPair() {
        StreamConnection[] ends = pipe();
        return new Connection[] {new Connection(this, ends[0]), new Connection(this, ends[1])};
    }

    /**
     * Opens a connection inside the process. One end is passed to {@code accepted} on this thread,
     * as an accepted connection is; the other is returned.
     */
    public final Connection openPipe(Consumer<Connection> accepted) {
        StreamConnection[] ends = pipe();
        execute(() -> accepted.accept(new Connection(this, ends[0])));
        return new Connection(this, ends[1]);
    }

    private StreamConnection[] pipe() {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe =
                    io.createFullDuplexPipeConnection();
            return new StreamConnection[] {pipe.getLeftSide(), pipe.getRightSide()};
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Binds a listening socket and starts to accept; each connection is passed to {@code accepted}
     * on this thread.
     *
     * @throws IOException where the address cannot be bound
     */
    public ListeningSocket listen(InetSocketAddress address, Consumer<Connection> accepted)
            throws IOException {
        ListeningSocket listening = bind(address, false, accepted);
        listening.resume();
        return listening;
    }

    /**
     * Binds a listening socket that another process may bind as well (SO_REUSEPORT), so that an
     * upgrade can start the next process beside this one. It accepts after {@link
     * ListeningSocket#resume}, and passes each connection to {@code accepted} on this thread.
     *
     * @throws IOException where the address cannot be bound within 10 s
     */
    public ListeningSocket bindShared(InetSocketAddress address, Consumer<Connection> accepted)
            throws IOException {
        return Retry.untilDone(
                BIND_TIMEOUT,
                "clients' port",
                IOException.class::isInstance,
                () -> bind(address, true, accepted));
    }

    private ListeningSocket bind(
            InetSocketAddress address, boolean shared, Consumer<Connection> accepted)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(address, ACCEPT_BACKLOG);
            return new ListeningSocket(
                    this, channel, up -> accepted.accept(new Connection(this, up)));
        } catch (IOException failure) {
            IoUtils.safeClose(channel);
            throw failure;
        }
    }

    /**
     * Binds a UDP socket; datagrams are passed to the receiver on this thread.
     *
     * @throws IOException where the address cannot be bound
     */
    public UdpSocket openUdpSocket(InetSocketAddress address, UdpSocket.Receiver receiver)
            throws IOException {
        return new UdpSocket(this, worker, address, receiver);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    /** A connection that is being opened. */
    public interface PendingConnection {
        /** Gives up the attempt to connect; has no effect once it has ended. */
        void cancel();
    }
}
