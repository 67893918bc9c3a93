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
 * The socket and its clients, on a thread of its own: XNIO has no Unix-domain sockets, and nothing
 * that a client does may cost the I/O thread. A client has at most one line coming in and a bounded
 * number of bytes going out; one that stops reading loses frames, and with an answer that does not
 * fit its connection.
 */
public final class ControlServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ControlServer.class.getName());
    private static final int MOST_CLIENTS = 8;
    private static final int MOST_LINE = 16 * 1024;
    private static final int MOST_UNSENT = 512 * 1024;
    private static final Duration MOST_HALF_LINE = Duration.ofSeconds(5);
    private static final Duration FRAME_GAP = Duration.ofMillis(250);
    private static final Set<PosixFilePermission> OWNER =
            PosixFilePermissions.fromString("rw-------");

    private final Path path;
    private final Handler handler;
    private final Supplier<Instant> clock;
    private final ServerSocketChannel listening;
    private final Selector selector;
    private final Set<Client> clients = new HashSet<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "control");
    private Instant nextFrame;
    private volatile boolean closing;

    /** Answers calls, on the server's thread; the answer may come later, from any thread. */
    interface Handler {
        void handleRequest(ControlRequest call, Consumer<byte[]> answer);

        /** Called some four times a second, on the server's thread. */
        void tick();

        /** One line for all who watch; may come later, from any thread. */
        void writeStatusFrame(Consumer<byte[]> line);
    }

    /**
     * Takes the socket over from one that died.
     *
     * @throws IOException where another scheduler has it, or the directory is not the operator's
     *     own
     */
    ControlServer(Path path, Handler handler, Supplier<Instant> clock) throws IOException {
        this.path = path;
        this.handler = handler;
        this.clock = clock;
        nextFrame = clock.get();
        own(path.getParent());
        takeOver();
        listening = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        listening.bind(UnixDomainSocketAddress.of(path), MOST_CLIENTS);
        Files.setPosixFilePermissions(path, OWNER);
        selector = Selector.open();
        listening.configureBlocking(false);
        listening.register(selector, SelectionKey.OP_ACCEPT);
        thread.setDaemon(true);
    }

    /** Begins to serve. */
    void start() {
        thread.start();
    }

    private static void own(Path directory) throws IOException {
        Set<PosixFilePermission> open = new HashSet<>(Files.getPosixFilePermissions(directory));
        open.removeAll(PosixFilePermissions.fromString("rwx------"));
        if (!open.isEmpty()) {
            throw new IOException(
                    directory + ": others may enter it; close it with: chmod 700 " + directory);
        }
    }

    private void takeOver() throws IOException {
        if (!Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
            return;
        }
        if (!Files.getOwner(path, LinkOption.NOFOLLOW_LINKS)
                .equals(Files.getOwner(path.getParent()))) {
            throw new IOException(
                    path + ": belongs to another user than its directory; remove it by hand");
        }
        if (answers()) {
            throw new IOException(
                    path + ": a scheduler that runs has it; stop it, or name another directory");
        }
        Files.delete(path); // who listened there is gone
    }

    private boolean answers() {
        try {
            SocketChannel.open(UnixDomainSocketAddress.of(path)).close();
            return true;
        } catch (IOException nobody) {
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
                boolean watched = clients.stream().anyMatch(client -> client.watching);
                selector.select(FRAME_GAP.toMillis());
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                    ready(key);
                }
                selector.selectedKeys().clear();
                Instant now = clock.get();
                List.copyOf(clients).stream()
                        .filter(client -> client.stuck(now))
                        .forEach(this::drop);
                handler.tick();
                if (watched && !now.isBefore(nextFrame)) {
                    nextFrame = now.plus(FRAME_GAP);
                    handler.writeStatusFrame(line -> post(() -> show(line)));
                }
            }
        } catch (IOException broken) {
            LOG.log(Level.ERROR, "control socket", broken);
        } finally {
            giveBack();
        }
    }

    private void ready(SelectionKey key) {
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
            SocketChannel channel = listening.accept();
            if (channel == null) {
                return;
            }
            channel.configureBlocking(false);
            if (clients.size() >= MOST_CLIENTS) {
                channel.write(
                        ByteBuffer.wrap(
                                ControlRequest.errorLine(
                                        "",
                                        "there are " + MOST_CLIENTS + " clients already",
                                        "close a console and try again")));
                channel.close();
                return;
            }
            clients.add(new Client(channel));
        } catch (IOException failed) {
            LOG.log(Level.WARNING, "control socket: a client was lost: {0}", failed.getMessage());
        }
    }

    private void show(byte[] line) {
        for (Client client : List.copyOf(clients)) {
            if (client.watching
                    && client.output.isEmpty()) { // or it has not read the last: this one is lost
                client.send(line);
            }
        }
    }

    /** The one place where a client's connection is given back. */
    private void drop(Client client) {
        clients.remove(client);
        try {
            client.channel.close();
        } catch (IOException closed) {
            LOG.log(Level.DEBUG, "closing a client", closed);
        }
    }

    private void giveBack() {
        List.copyOf(clients).forEach(this::drop);
        try {
            listening.close();
            selector.close();
            Files.deleteIfExists(path);
        } catch (IOException failed) {
            LOG.log(Level.WARNING, "control socket: not given back: {0}", failed.getMessage());
        }
    }

    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        try {
            thread.join(MOST_HALF_LINE.toMillis());
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Client {
        private final SocketChannel channel;
        private final SelectionKey key;
        private final ByteBuffer input = ByteBuffer.allocate(MOST_LINE);
        private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
        private int unsent;
        private boolean watching;
        private boolean ending;
        private Instant halfSince;

        Client(SocketChannel channel) throws IOException {
            this.channel = channel;
            key = channel.register(selector, SelectionKey.OP_READ, this);
        }

        /** Whether half a line has been coming in for too long. */
        boolean stuck(Instant now) {
            return halfSince != null && halfSince.plus(MOST_HALF_LINE).isBefore(now);
        }

        void read() throws IOException {
            if (channel.read(input) < 0) {
                throw new IOException("ended");
            }
            int from = 0;
            for (int i = 0; i < input.position() && !ending; i++) {
                if (input.get(i) == '\n') {
                    byte[] line = new byte[i - from];
                    input.get(from, line);
                    from = i + 1;
                    halfSince = null;
                    take(line);
                }
            }
            input.flip().position(from);
            input.compact();
            if (!input.hasRemaining()) {
                end("a line is over " + MOST_LINE + " bytes");
            } else if (input.position() > 0 && halfSince == null) {
                halfSince = clock.get();
            }
        }

        private void take(byte[] line) {
            try {
                ControlRequest call = ControlRequest.parse(line);
                if (call.action().equals("watch")) {
                    watching = true;
                    nextFrame = clock.get();
                    selector.wakeup();
                } else {
                    handler.handleRequest(call, answer -> post(() -> send(answer)));
                }
            } catch (IOException bad) {
                end(bad.getMessage().lines().findFirst().orElse("unreadable"));
            }
        }

        private void end(String why) {
            ending = true;
            send(
                    ControlRequest.errorLine(
                            "", why, "send one JSON object a line, with \"v\":1 and \"do\""));
        }

        void send(byte[] line) {
            if (!clients.contains(this)) {
                return;
            }
            if (unsent + line.length > MOST_UNSENT) {
                drop(this);
                return;
            }
            output.add(ByteBuffer.wrap(line));
            unsent += line.length;
            try {
                write();
            } catch (IOException gone) {
                drop(this);
            }
        }

        void write() throws IOException {
            while (!output.isEmpty()) {
                unsent -= channel.write(output.peek());
                if (output.peek().hasRemaining()) {
                    key.interestOps(
                            ending
                                    ? SelectionKey.OP_WRITE
                                    : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                output.poll();
            }
            if (ending) {
                throw new IOException("told what was wrong");
            }
            key.interestOps(SelectionKey.OP_READ);
        }
    }
}
