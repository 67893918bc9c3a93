package cypressglade.control;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Serves the control socket with a thread of its own, because XNIO has no Unix-domain sockets and a
 * client must not be able to delay the I/O thread. Input and output buffers are bounded for each
 * client: a client that stops reading misses status lines, and loses its connection with the first
 * answer that exceeds its output buffer.
 */
public final class ControlServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ControlServer.class.getName());
    private static final int MAX_CLIENTS = 8;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_UNSENT_BYTES = 512 * 1024;
    private static final Duration MAX_LINE_DURATION = Duration.ofSeconds(5);
    private static final Duration STATUS_INTERVAL = Duration.ofMillis(250);
    private static final Set<PosixFilePermission> OWNER_ONLY =
            PosixFilePermissions.fromString("rw-------");

    private final Path path;
    private final Handler handler;
    private final Supplier<Instant> clock;
    private final ServerSocketChannel listener;
    private final Selector selector;
    private final Set<Client> clients = new HashSet<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "control");
    private Instant nextStatusAt;
    private volatile boolean closing;

    /** Handles requests on the server's thread; answers may come later, from any thread. */
    interface Handler {
        /** Handles one request and passes one answer line to {@code answer}. */
        void handleRequest(ControlRequest call, Consumer<byte[]> answer);

        /** Called on the server's thread after each wait of at most 250 ms. */
        void tick();

        /** Writes one status line for all watching clients; may do so later, from any thread. */
        void writeStatusFrame(Consumer<byte[]> line);
    }

    /**
     * Binds the socket, and replaces the socket file of a process that has died.
     *
     * @throws IOException if another scheduler serves the socket, or if other users may enter its
     *     directory
     */
    ControlServer(Path path, Handler handler, Supplier<Instant> clock) throws IOException {
        this.path = path;
        this.handler = handler;
        this.clock = clock;
        nextStatusAt = clock.get();
        checkDirectoryIsPrivate(path.getParent());
        removeStaleSocket();
        listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        listener.bind(UnixDomainSocketAddress.of(path), MAX_CLIENTS);
        Files.setPosixFilePermissions(path, OWNER_ONLY);
        selector = Selector.open();
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
        thread.setDaemon(true);
    }

    /** Starts the server's thread. */
    void start() {
        thread.start();
    }

    private static void checkDirectoryIsPrivate(Path directory) throws IOException {
        Set<PosixFilePermission> open = new HashSet<>(Files.getPosixFilePermissions(directory));
        open.removeAll(PosixFilePermissions.fromString("rwx------"));
        if (!open.isEmpty()) {
            throw new IOException(
                    directory + ": others may enter it; close it with: chmod 700 " + directory);
        }
    }

    private void removeStaleSocket() throws IOException {
        if (!Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
            return;
        }
        if (!Files.getOwner(path, LinkOption.NOFOLLOW_LINKS)
                .equals(Files.getOwner(path.getParent()))) {
            throw new IOException(
                    path + ": belongs to another user than its directory; remove it by hand");
        }
        if (isSocketInUse()) {
            throw new IOException(
                    path + ": a scheduler that runs has it; stop it, or name another directory");
        }
        Files.delete(path); // no process listens on it any more
    }

    private boolean isSocketInUse() {
        try {
            SocketChannel.open(UnixDomainSocketAddress.of(path)).close();
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    /** Runs a task on the server's thread. */
    void post(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void run() {
        try {
            while (!closing) {
                boolean hasWatchers = clients.stream().anyMatch(client -> client.isWatching);
                selector.select(STATUS_INTERVAL.toMillis());
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                    handleReady(key);
                }
                selector.selectedKeys().clear();
                Instant now = clock.get();
                List.copyOf(clients).stream()
                        .filter(client -> client.isLineOverdue(now))
                        .forEach(this::drop);
                handler.tick();
                if (hasWatchers && !now.isBefore(nextStatusAt)) {
                    nextStatusAt = now.plus(STATUS_INTERVAL);
                    handler.writeStatusFrame(line -> post(() -> sendToWatchers(line)));
                }
            }
        } catch (IOException broken) {
            LOG.log(Level.ERROR, "control socket: the server failed", broken);
        } finally {
            releaseSocket();
        }
    }

    private void handleReady(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.isAcceptable()) {
            accept();
            return;
        }
        Client client = (Client) key.attachment();
        try {
            if (key.isReadable()) {
                client.read();
            }
            if (key.isValid() && key.isWritable()) {
                client.write();
            }
        } catch (IOException gone) {
            drop(client);
        }
    }

    private void accept() {
        try {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                return;
            }
            channel.configureBlocking(false);
            if (clients.size() >= MAX_CLIENTS) {
                channel.write(
                        ByteBuffer.wrap(
                                ControlRequest.errorLine(
                                        "",
                                        "there are " + MAX_CLIENTS + " clients already",
                                        "close a console and try again")));
                channel.close();
                return;
            }
            clients.add(new Client(channel));
        } catch (IOException failed) {
            LOG.log(
                    Level.WARNING,
                    "control socket: accepting a client failed: {0}",
                    failed.getMessage());
        }
    }

    private void sendToWatchers(byte[] line) {
        for (Client client : List.copyOf(clients)) {
            // A client that has not read the last status line misses this one.
            if (client.isWatching && client.output.isEmpty()) {
                client.send(line);
            }
        }
    }

    /** Closes a client's connection; the only place that does so. */
    private void drop(Client client) {
        clients.remove(client);
        try {
            client.channel.close();
        } catch (IOException closed) {
            LOG.log(Level.DEBUG, "control socket: closing a client failed", closed);
        }
    }

    private void releaseSocket() {
        List.copyOf(clients).forEach(this::drop);
        try {
            listener.close();
            selector.close();
            Files.deleteIfExists(path);
        } catch (IOException failed) {
            LOG.log(
                    Level.WARNING,
                    "control socket: releasing the socket failed: {0}",
                    failed.getMessage());
        }
    }

    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        try {
            thread.join(MAX_LINE_DURATION.toMillis());
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Client {
        private final SocketChannel channel;
        private final SelectionKey key;
        private final ByteBuffer input = ByteBuffer.allocate(MAX_LINE_BYTES);
        private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
        private int unsentBytes;
        private boolean isWatching;
        private boolean isClosingAfterOutput;
        private Instant lineStartedAt;

        Client(SocketChannel channel) throws IOException {
            this.channel = channel;
            key = channel.register(selector, SelectionKey.OP_READ, this);
        }

        /** Whether a line has been incomplete for too long. */
        boolean isLineOverdue(Instant now) {
            return lineStartedAt != null && lineStartedAt.plus(MAX_LINE_DURATION).isBefore(now);
        }

        void read() throws IOException {
            if (channel.read(input) < 0) {
                throw new IOException("the client ended the connection");
            }
            int lineStart = 0;
            for (int i = 0; i < input.position() && !isClosingAfterOutput; i++) {
                if (input.get(i) == '\n') {
                    byte[] line = new byte[i - lineStart];
                    input.get(lineStart, line);
                    lineStart = i + 1;
                    lineStartedAt = null;
                    handleLine(line);
                }
            }
            input.flip().position(lineStart);
            input.compact();
            if (!input.hasRemaining()) {
                refuseAndClose("a line is over " + MAX_LINE_BYTES + " bytes");
            } else if (input.position() > 0 && lineStartedAt == null) {
                lineStartedAt = clock.get();
            }
        }

        private void handleLine(byte[] line) {
            try {
                ControlRequest call = ControlRequest.parse(line);
                if (call.action().equals("watch")) {
                    isWatching = true;
                    nextStatusAt = clock.get();
                    selector.wakeup();
                } else {
                    handler.handleRequest(call, answer -> post(() -> send(answer)));
                }
            } catch (IOException bad) {
                refuseAndClose(bad.getMessage().lines().findFirst().orElse("unreadable"));
            }
        }

        private void refuseAndClose(String error) {
            isClosingAfterOutput = true;
            send(
                    ControlRequest.errorLine(
                            "", error, "send one JSON object a line, with \"v\":1 and \"do\""));
        }

        void send(byte[] line) {
            if (!clients.contains(this)) {
                return;
            }
            if (unsentBytes + line.length > MAX_UNSENT_BYTES) {
                drop(this);
                return;
            }
            output.add(ByteBuffer.wrap(line));
            unsentBytes += line.length;
            try {
                write();
            } catch (IOException gone) {
                drop(this);
            }
        }

        void write() throws IOException {
            while (!output.isEmpty()) {
                unsentBytes -= channel.write(output.peek());
                if (output.peek().hasRemaining()) {
                    key.interestOps(
                            isClosingAfterOutput
                                    ? SelectionKey.OP_WRITE
                                    : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                output.poll();
            }
            if (isClosingAfterOutput) {
                throw new IOException("closed after an error answer");
            }
            key.interestOps(SelectionKey.OP_READ);
        }
    }
}
