package cypressglade.nbd;

import cypressglade.core.IoRequest;
import cypressglade.core.Micros;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeLink;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.RequestTask;
import cypressglade.core.Responder;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.RequestRules;
import cypressglade.nbd.NbdConfig.Export;
import cypressglade.nbd.NbdListener.Configuration;
import cypressglade.net.ByteBudget;
import cypressglade.net.Connection;
import cypressglade.net.InputQueue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The transmission phase of one client on one export; each command gets exactly one reply. Runs on
 * the I/O thread. Commands are handled a few in a turn. Input goes on being read while as many are
 * pending as may be, up to a bound, since a client's leave shows behind its input only.
 */
final class Transmission implements Connection.Listener {
    /**
     * Longest read or write. Longer ones are rejected with an error, and the data of a longer write
     * is skipped.
     */
    static final int MAX_LENGTH_BYTES = 128 * 1024;

    // A write with more data to skip breaks the connection.
    private static final long MAX_SKIPPED_BYTES = 64L << 20;
    private static final int MAX_PENDING_COMMANDS = 4;
    private static final int MAX_COMMANDS_A_TURN = 4;
    private static final int READ_BYTES = 16 * 1024;

    /** Bytes of further commands that are read while others are pending. */
    private static final int MAX_READ_AHEAD_BYTES = 512 * 1024;

    private static final int MAX_UNSENT_BYTES = 2 * MAX_LENGTH_BYTES;
    private static final int BLOCK_BYTES = 4096;
    private static final long KEY_MULTIPLIER = 0x9e3779b97f4a7c15L; // spreads block numbers
    // Commands expire this much early, so that the reply reaches the client by the deadline.
    private static final Duration REPLY_MARGIN = Duration.ofMillis(20);

    private final NbdListener listener;
    private final Connection connection;
    private final Export export;
    private final boolean structured;
    private final SectionReader sections = new SectionReader();
    private final Set<RequestTask<NodeCommand>> tasks = new HashSet<>();
    private final Set<WrittenNode> writtenNodes = new HashSet<>();
    private final InputQueue unread = new InputQueue();
    private final ByteBudget.Account account;
    private int pendingCommands;
    private long pendingBytes; // of the data of pending commands
    private int commandsInTurn;
    private boolean isTurnQueued;
    private boolean isClosing;
    private boolean hasLeft;

    /** A node that may have received a write of this client. */
    private record WrittenNode(int shard, long node) {}

    Transmission(NbdListener listener, Connection connection, Export export, boolean structured) {
        this.listener = listener;
        this.connection = connection;
        this.export = export;
        this.structured = structured;
        account = listener.inputBudget().open();
        connection.setReadLimit(READ_BYTES);
        sections.expect(NbdProtocol.REQUEST_HEADER_BYTES, this::handleRequest);
    }

    @Override
    public void received(ByteBuffer in) throws IOException {
        if (unread.isEmpty()) {
            feed(in);
        }
        unread.append(in);
        updateReading();
    }

    /** Handles input until this turn is over, or as many commands are pending as may be. */
    private void feed(ByteBuffer in) throws IOException {
        sections.feed(in);
        if (sections.isPaused() && mayTakeCommands() && !isTurnQueued) {
            isTurnQueued = true;
            listener.turns().add(this::takeTurn);
        }
    }

    private void takeTurn() {
        isTurnQueued = false;
        commandsInTurn = 0;
        readFurtherCommands();
    }

    /**
     * Reads on where nothing waits to be handled. Where something does, reads as much further as
     * there is room for.
     */
    private void updateReading() {
        unread.trim();
        account.set(isClosing ? 0 : unread.capacity() + pendingBytes);
        if (!connection.isOpen()) {
            return;
        }
        boolean hasRoom = unread.size() < MAX_READ_AHEAD_BYTES && !listener.inputBudget().isShort();
        if (unread.isEmpty() || hasRoom) {
            connection.readInto(this);
        } else {
            connection.pauseReading();
        }
    }

    /** Reads what has arrived, and tells whether the client has not left as far as that shows. */
    private boolean isClientConnected() {
        connection.readNow(MAX_READ_AHEAD_BYTES);
        return connection.isOpen() && !hasLeft;
    }

    @Override
    public void ended() {
        isClosing = true;
        hasLeft = true;
        unread.clear();
        account.set(0);
        tasks.forEach(RequestTask::clientDisconnected);
        listener.removeClient(connection);
    }

    @Override
    public void sent() {
        readFurtherCommands();
    }

    /** Handles the input that waits, unless its turn is still to come or none may be handled. */
    private void readFurtherCommands() {
        if (!isClosing && !isTurnQueued && sections.isPaused() && mayTakeCommands()) {
            sections.resume();
            try {
                feed(unread.buffer());
            } catch (IOException invalid) {
                ended();
                connection.close();
            }
        }
        if (!isClosing) {
            updateReading();
        }
    }

    /**
     * Whether a further command may be handled: not where too many are pending, the client does not
     * read its replies, or the input of all clients takes too much.
     */
    private boolean mayTakeCommands() {
        boolean hasRoom = pendingCommands == 0 || !listener.inputBudget().isExceeded();
        return !isClosing
                && hasRoom
                && pendingCommands < MAX_PENDING_COMMANDS
                && connection.unsentBytes() <= MAX_UNSENT_BYTES;
    }

    private void handleRequest(ByteBuffer section) throws IOException {
        if (section.getInt() != NbdProtocol.REQUEST_MAGIC) {
            throw new IOException("not an NBD request: wrong magic number");
        }
        int flags = Short.toUnsignedInt(section.getShort());
        int type = Short.toUnsignedInt(section.getShort());
        Command command = new Command(type, section.getLong(), section.getLong(), section.getInt());
        sections.expect(NbdProtocol.REQUEST_HEADER_BYTES, this::handleRequest);
        if (type == NbdProtocol.CMD_DISC) {
            isClosing = true;
            sections.pause();
            if (pendingCommands == 0) {
                disconnect();
            }
            return;
        }
        pendingCommands++;
        commandsInTurn++;
        int error = command.validate(flags);
        if (type == NbdProtocol.CMD_WRITE && error != 0) {
            long carried = Integer.toUnsignedLong(command.length);
            if (carried > MAX_SKIPPED_BYTES) {
                throw new IOException("write of " + carried + " bytes is too long to skip");
            }
            sections.skip(carried);
        }
        if (error != 0) {
            command.sendReply(error);
        } else if (type == NbdProtocol.CMD_WRITE) {
            sections.expect(
                    command.length,
                    data -> {
                        sections.expect(NbdProtocol.REQUEST_HEADER_BYTES, this::handleRequest);
                        command.data = data.array();
                        command.start();
                        pauseIfFull();
                    });
            return;
        } else {
            command.start();
        }
        pauseIfFull();
    }

    private void pauseIfFull() {
        if (commandsInTurn >= MAX_COMMANDS_A_TURN || !mayTakeCommands()) {
            sections.pause();
        }
    }

    private void disconnect() {
        unread.clear();
        account.set(0);
        listener.removeClient(connection);
        connection.closeWhenSent();
    }

    /**
     * A command of the client, split into several requests where it crosses shards or exceeds the
     * size of a request.
     */
    private final class Command {
        private final int type;
        private final long cookie;
        private final long offset;
        private final int length;
        private final Configuration configuration;
        private final RequestRules rules;
        private final Instant expiry;
        private byte[] data = {};
        private int pendingParts;
        private int heldBytes;
        private int error;

        Command(int type, long cookie, long offset, int length) {
            this.type = type;
            this.cookie = cookie;
            this.offset = offset;
            this.length = length;
            configuration = listener.configuration();
            RequestClass requestClass =
                    type == NbdProtocol.CMD_READ
                            ? configuration.front().readClass()
                            : configuration.front().writeClass();
            rules = configuration.settings().rules(requestClass, export.plan());
            expiry =
                    MonotonicClock.now()
                            .plus(Micros.toDuration(requestClass.deadlineUs()))
                            .minus(REPLY_MARGIN);
        }

        /** Returns the error to reply with, or 0 if the command is valid. */
        int validate(int flags) {
            boolean read = type == NbdProtocol.CMD_READ;
            boolean write = type == NbdProtocol.CMD_WRITE;
            if (!read && !write && type != NbdProtocol.CMD_FLUSH) {
                return NbdProtocol.ENOTSUP;
            }
            if ((flags & ~(read && structured ? NbdProtocol.CMD_FLAG_DF : 0)) != 0) {
                return NbdProtocol.EINVAL;
            }
            if (!read && !write) {
                return listener.refusesCommands()
                        ? NbdProtocol.ESHUTDOWN
                        : offset != 0 || length != 0 ? NbdProtocol.EINVAL : 0;
            }
            if (length == 0 || Integer.toUnsignedLong(length) > MAX_LENGTH_BYTES) {
                return NbdProtocol.EINVAL;
            }
            if (offset < 0 || offset > export.size() || length > export.size() - offset) {
                return write ? NbdProtocol.ENOSPC : NbdProtocol.EINVAL;
            }
            return listener.refusesCommands() ? NbdProtocol.ESHUTDOWN : 0;
        }

        void start() {
            List<Runnable> parts = new ArrayList<>();
            if (type == NbdProtocol.CMD_FLUSH) {
                for (WrittenNode writtenNode : writtenNodes) {
                    parts.add(
                            () ->
                                    startPart(
                                            writtenNode.shard(),
                                            0,
                                            0,
                                            NodeCommand.flush(export, writtenNode.node())));
                }
            } else {
                data = type == NbdProtocol.CMD_READ ? new byte[length] : data;
                int position = 0;
                while (position < length) {
                    long from = offset + position;
                    NbdConfig.Extent extent = export.extentAt(from);
                    int size =
                            (int)
                                    Math.min(
                                            Math.min(length - position, extent.end() - from),
                                            configuration.maxRequestBytes());
                    int partOffset = position;
                    NodeCommand nodeCommand =
                            type == NbdProtocol.CMD_READ
                                    ? NodeCommand.read(export, from, size)
                                    : NodeCommand.write(
                                            export,
                                            from,
                                            Arrays.copyOfRange(data, position, position + size));
                    parts.add(() -> startPart(extent.shard(), partOffset, size, nodeCommand));
                    position += size;
                }
            }
            pendingParts = parts.size();
            heldBytes = data.length;
            pendingBytes += heldBytes;
            parts.forEach(Runnable::run);
            if (parts.isEmpty()) {
                sendReply(0);
            }
        }

        /** Submits one part of the command to the core as a request. */
        private void startPart(int shard, int dataOffset, int size, NodeCommand nodeCommand) {
            float units =
                    Math.max(
                            1,
                            (float) Math.ceil((double) size / configuration.front().unitBytes()));
            long key =
                    size == 0
                            ? 0
                            : export.volume()
                                    ^ (nodeCommand.offset() / BLOCK_BYTES + 1) * KEY_MULTIPLIER;
            IoRequest request =
                    new IoRequest(
                            shard,
                            rules,
                            configuration.front().instances(),
                            false,
                            type != NbdProtocol.CMD_READ,
                            export.volume(),
                            key,
                            units,
                            expiry);
            Part part = new Part(this, shard, dataOffset, nodeCommand);
            part.task = listener.createTask(request, nodeCommand, part, new WriteRecorder(shard));
            tasks.add(part.task);
            if (!listener.start(part.task)) {
                part.complete(NbdProtocol.EIO);
            }
        }

        void completePart(int partError) {
            if (partError != 0 && error != NbdProtocol.EIO) {
                error = partError;
            }
            if (--pendingParts == 0) {
                sendReply(error);
            }
        }

        void sendReply(int errorValue) {
            pendingCommands--;
            pendingBytes -= heldBytes;
            boolean read = type == NbdProtocol.CMD_READ;
            byte[] body = read && errorValue == 0 ? data : new byte[0];
            connection.send(
                    structured
                            ? encodeChunk(errorValue, body)
                            : ByteBuffer.allocate(
                                            NbdProtocol.SIMPLE_REPLY_HEADER_BYTES + body.length)
                                    .putInt(NbdProtocol.SIMPLE_REPLY_MAGIC)
                                    .putInt(errorValue)
                                    .putLong(cookie)
                                    .put(body)
                                    .flip());
            if (isClosing && pendingCommands == 0) {
                disconnect();
            } else {
                readFurtherCommands();
            }
        }

        private ByteBuffer encodeChunk(int errorValue, byte[] body) {
            ByteBuffer content = ByteBuffer.allocate(8 + body.length);
            int chunkType = NbdProtocol.REPLY_NONE;
            if (errorValue != 0) {
                chunkType = NbdProtocol.REPLY_ERROR;
                content.putInt(errorValue).putShort((short) 0);
            } else if (body.length > 0) {
                chunkType = NbdProtocol.REPLY_OFFSET_DATA;
                content.putLong(offset).put(body);
            }
            content.flip();
            return ByteBuffer.allocate(NbdProtocol.CHUNK_HEADER_BYTES + content.remaining())
                    .putInt(NbdProtocol.STRUCTURED_REPLY_MAGIC)
                    .putShort((short) NbdProtocol.REPLY_FLAG_DONE)
                    .putShort((short) chunkType)
                    .putLong(cookie)
                    .putInt(content.remaining())
                    .put(content)
                    .flip();
        }
    }

    /** Receives the answer to one part of a command. */
    private final class Part implements Responder {
        private final Command command;
        private final int shard;
        private final int dataOffset;
        private final NodeCommand nodeCommand;
        private RequestTask<NodeCommand> task;

        Part(Command command, int shard, int dataOffset, NodeCommand nodeCommand) {
            this.command = command;
            this.shard = shard;
            this.dataOffset = dataOffset;
            this.nodeCommand = nodeCommand;
        }

        @Override
        public boolean isClientConnected() {
            return Transmission.this.isClientConnected();
        }

        @Override
        public void serve(byte[] answer) {
            listener.execute(
                    () -> {
                        System.arraycopy(answer, 0, command.data, dataOffset, answer.length);
                        complete(0);
                    });
        }

        @Override
        public void refuse(Duration retryAfter) {
            listener.execute(
                    () ->
                            complete(
                                    listener.isDraining(shard)
                                            ? NbdProtocol.ESHUTDOWN
                                            : NbdProtocol.EIO));
        }

        @Override
        public void fail() {
            listener.execute(() -> complete(NbdProtocol.EIO));
        }

        private void complete(int error) {
            tasks.remove(task);
            if (error != 0 && nodeCommand.type() == NbdProtocol.CMD_FLUSH) {
                // The client now knows that this node's writes may not be persistent; a later flush
                // covers only later writes.
                writtenNodes.remove(new WrittenNode(shard, nodeCommand.requiredNode()));
            }
            command.completePart(error);
        }
    }

    /** Records which nodes may have received writes, so that a later flush reaches them. */
    private final class WriteRecorder implements NodeLink<NodeCommand> {
        private final int shard;

        WriteRecorder(int shard) {
            this.shard = shard;
        }

        @Override
        public Attempt send(
                long node,
                NodeCommand nodeCommand,
                Instant deadline,
                BooleanSupplier isWanted,
                AttemptObserver observer) {
            return listener.link()
                    .send(
                            node,
                            nodeCommand,
                            deadline,
                            isWanted,
                            result -> {
                                if (nodeCommand.type() == NbdProtocol.CMD_WRITE
                                        && result.status().mayHaveRun) {
                                    writtenNodes.add(
                                            new WrittenNode(
                                                    shard, node)); // attempts end on the I/O thread
                                }
                                observer.ended(result);
                            });
        }

        @Override
        public void probe(long node, Consumer<AttemptResult> ended) {
            listener.link().probe(node, ended);
        }
    }
}
