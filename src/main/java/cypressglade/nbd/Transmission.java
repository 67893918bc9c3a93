package cypressglade.nbd;

import cypressglade.core.IoRequest;
import cypressglade.core.Micros;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestTask;
import cypressglade.core.Responder;
import cypressglade.core.Scheduler.Settings;
import cypressglade.nbd.NbdConfig.Export;
import cypressglade.net.Connection;
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

/** The commands of one client on one export, each answered once. Runs on the I/O thread. */
final class Transmission implements Connection.Listener {
    /**
     * The longest read or write; larger ones are turned down and what they carry is passed over.
     */
    static final int MOST_LENGTH = 128 * 1024;

    private static final long MOST_SKIPPED = 64L << 20;
    private static final int MOST_OPEN = 4;
    private static final int MOST_UNSENT = 2 * MOST_LENGTH;
    private static final int BLOCK = 4096;
    private static final long KEY_STEP = 0x9e3779b97f4a7c15L; // spreads block numbers over the keys
    // For the reply to get back in time.
    private static final Duration MARGIN = Duration.ofMillis(20);

    private final NbdListener front;
    private final Connection wire;
    private final Export export;
    private final boolean structured;
    private final Pieces pieces = new Pieces();
    private final Set<RequestTask<NbdWork>> lives = new HashSet<>();
    private final Set<Reached> written = new HashSet<>();
    private ByteBuffer stash = ByteBuffer.allocate(0);
    private int open;
    private boolean over;

    /** A node that a write of this client may have reached. */
    private record Reached(int shard, long node) {}

    Transmission(NbdListener front, Connection wire, Export export, boolean structured) {
        this.front = front;
        this.wire = wire;
        this.export = export;
        this.structured = structured;
        pieces.expect(Nbd.REQUEST_HEADER, this::header);
    }

    @Override
    public void received(ByteBuffer in) throws IOException {
        pieces.feed(in);
        if (pieces.isHeld() && !over) {
            wire.pauseReading();
            stash = ByteBuffer.allocate(in.remaining()).put(in).flip();
        }
    }

    @Override
    public void ended() {
        over = true;
        lives.forEach(RequestTask::clientDisconnected);
        front.left(wire);
    }

    @Override
    public void sent() {
        goOn();
    }

    /** Takes further commands, unless too many are open or the client does not read its replies. */
    private void goOn() {
        if (over || !pieces.isHeld() || open >= MOST_OPEN || wire.unsentBytes() > MOST_UNSENT) {
            return;
        }
        pieces.release();
        ByteBuffer kept = stash;
        stash = ByteBuffer.allocate(0);
        try {
            received(kept);
            if (!pieces.isHeld() && !over) {
                wire.readInto(this);
            }
        } catch (IOException broken) {
            ended();
            wire.close();
        }
    }

    private void header(ByteBuffer piece) throws IOException {
        if (piece.getInt() != Nbd.REQUEST_MAGIC) {
            throw new IOException("not a request");
        }
        int flags = Short.toUnsignedInt(piece.getShort());
        int type = Short.toUnsignedInt(piece.getShort());
        Command command = new Command(type, piece.getLong(), piece.getLong(), piece.getInt());
        pieces.expect(Nbd.REQUEST_HEADER, this::header);
        if (type == Nbd.CMD_DISC) {
            over = true;
            pieces.hold();
            if (open == 0) {
                leave();
            }
            return;
        }
        open++;
        int error = command.check(flags);
        if (type == Nbd.CMD_WRITE && error != 0) {
            long carried = Integer.toUnsignedLong(command.length);
            if (carried > MOST_SKIPPED) {
                throw new IOException("a write of " + carried + " bytes");
            }
            pieces.skip(carried);
        }
        if (error != 0) {
            command.reply(error);
        } else if (type == Nbd.CMD_WRITE) {
            pieces.expect(
                    command.length,
                    data -> {
                        pieces.expect(Nbd.REQUEST_HEADER, this::header);
                        command.data = data.array();
                        command.begin();
                        holdIfFull();
                    });
            return;
        } else {
            command.begin();
        }
        holdIfFull();
    }

    private void holdIfFull() {
        if (open >= MOST_OPEN || wire.unsentBytes() > MOST_UNSENT) {
            pieces.hold();
        }
    }

    private void leave() {
        front.left(wire);
        wire.closeWhenSent();
    }

    /**
     * One command of the client; it is split where it crosses shards or is larger than a request
     * may be.
     */
    private final class Command {
        private final int type;
        private final long cookie;
        private final long offset;
        private final int length;
        private final Instant expiry;
        private final int requestClass;
        private byte[] data = {};
        private int left;
        private int error;

        Command(int type, long cookie, long offset, int length) {
            this.type = type;
            this.cookie = cookie;
            this.offset = offset;
            this.length = length;
            Settings settings = front.settings();
            requestClass =
                    type == Nbd.CMD_READ ? front.config().readClass() : front.config().writeClass();
            expiry =
                    MonotonicClock.now()
                            .plus(
                                    Micros.toDuration(
                                            settings.classes().get(requestClass).deadlineUs()))
                            .minus(MARGIN);
        }

        /** What is wrong with it, or 0. */
        int check(int flags) {
            boolean read = type == Nbd.CMD_READ;
            boolean write = type == Nbd.CMD_WRITE;
            if (!read && !write && type != Nbd.CMD_FLUSH) {
                return Nbd.ENOTSUP;
            }
            if ((flags & ~(read && structured ? Nbd.CMD_FLAG_DF : 0)) != 0) {
                return Nbd.EINVAL;
            }
            if (!read && !write) {
                return front.refusesCommands()
                        ? Nbd.ESHUTDOWN
                        : offset != 0 || length != 0 ? Nbd.EINVAL : 0;
            }
            if (length == 0 || Integer.toUnsignedLong(length) > MOST_LENGTH) {
                return Nbd.EINVAL;
            }
            if (offset < 0 || offset > export.size() || length > export.size() - offset) {
                return write ? Nbd.ENOSPC : Nbd.EINVAL;
            }
            return front.refusesCommands() ? Nbd.ESHUTDOWN : 0;
        }

        void begin() {
            List<Runnable> parts = new ArrayList<>();
            if (type == Nbd.CMD_FLUSH) {
                for (Reached reached : written) {
                    parts.add(
                            () ->
                                    part(
                                            reached.shard(),
                                            0,
                                            0,
                                            NbdWork.flush(export, reached.node())));
                }
            } else {
                data = type == Nbd.CMD_READ ? new byte[length] : data;
                int at = 0;
                while (at < length) {
                    long from = offset + at;
                    NbdConfig.Extent extent = export.at(from);
                    int size =
                            (int)
                                    Math.min(
                                            Math.min(length - at, extent.end() - from),
                                            front.mostBytes());
                    int start = at;
                    NbdWork work =
                            type == Nbd.CMD_READ
                                    ? NbdWork.read(export, from, size)
                                    : NbdWork.write(
                                            export, from, Arrays.copyOfRange(data, at, at + size));
                    parts.add(() -> part(extent.shard(), start, size, work));
                    at += size;
                }
            }
            left = parts.size();
            parts.forEach(Runnable::run);
            if (parts.isEmpty()) {
                reply(0);
            }
        }

        /** Hands one part to the core, as a request like any other. */
        private void part(int shard, int at, int size, NbdWork work) {
            float units =
                    Math.max(1, (float) Math.ceil((double) size / front.config().unitBytes()));
            long key = size == 0 ? 0 : export.volume() ^ (work.offset() / BLOCK + 1) * KEY_STEP;
            IoRequest request =
                    new IoRequest(
                            shard,
                            requestClass,
                            export.plan(),
                            front.config().hosts(),
                            false,
                            type != Nbd.CMD_READ,
                            export.volume(),
                            key,
                            units,
                            expiry);
            Part part = new Part(this, shard, at, work);
            part.life = front.life(request, work, part, new Recorder(shard));
            lives.add(part.life);
            if (!front.start(part.life)) {
                part.ended(Nbd.EIO);
            }
        }

        void partEnded(int partError) {
            if (partError != 0 && error != Nbd.EIO) {
                error = partError;
            }
            if (--left == 0) {
                reply(error);
            }
        }

        void reply(int answer) {
            open--;
            boolean read = type == Nbd.CMD_READ;
            byte[] body = read && answer == 0 ? data : new byte[0];
            wire.send(
                    structured
                            ? chunk(answer, body)
                            : ByteBuffer.allocate(Nbd.SIMPLE_REPLY_HEADER + body.length)
                                    .putInt(Nbd.SIMPLE_REPLY_MAGIC)
                                    .putInt(answer)
                                    .putLong(cookie)
                                    .put(body)
                                    .flip());
            if (over && open == 0) {
                leave();
            } else {
                goOn();
            }
        }

        private ByteBuffer chunk(int answer, byte[] body) {
            ByteBuffer content = ByteBuffer.allocate(8 + body.length);
            int kind = Nbd.REPLY_NONE;
            if (answer != 0) {
                kind = Nbd.REPLY_ERROR;
                content.putInt(answer).putShort((short) 0);
            } else if (body.length > 0) {
                kind = Nbd.REPLY_OFFSET_DATA;
                content.putLong(offset).put(body);
            }
            content.flip();
            return ByteBuffer.allocate(Nbd.CHUNK_HEADER + content.remaining())
                    .putInt(Nbd.STRUCTURED_REPLY_MAGIC)
                    .putShort((short) Nbd.REPLY_FLAG_DONE)
                    .putShort((short) kind)
                    .putLong(cookie)
                    .putInt(content.remaining())
                    .put(content)
                    .flip();
        }
    }

    /** The caller of one part. */
    private final class Part implements Responder {
        private final Command command;
        private final int shard;
        private final int at;
        private final NbdWork work;
        private RequestTask<NbdWork> life;

        Part(Command command, int shard, int at, NbdWork work) {
            this.command = command;
            this.shard = shard;
            this.at = at;
            this.work = work;
        }

        @Override
        public void serve(byte[] answer) {
            front.execute(
                    () -> {
                        System.arraycopy(answer, 0, command.data, at, answer.length);
                        ended(0);
                    });
        }

        @Override
        public void refuse(Duration retryAfter) {
            front.execute(() -> ended(front.drains(shard) ? Nbd.ESHUTDOWN : Nbd.EIO));
        }

        @Override
        public void fail() {
            front.execute(() -> ended(Nbd.EIO));
        }

        private void ended(int error) {
            lives.remove(life);
            if (error != 0 && work.type() == Nbd.CMD_FLUSH) {
                // What that node wrote is now told as not lasting; a later flush speaks of later
                // writes.
                written.remove(new Reached(shard, work.onlyNode()));
            }
            command.partEnded(error);
        }
    }

    /** Notes which nodes the writes may have reached, for the flush that follows them. */
    private final class Recorder implements NodeLink<NbdWork> {
        private final int shard;

        Recorder(int shard) {
            this.shard = shard;
        }

        @Override
        public Attempt send(
                long node,
                NbdWork work,
                Instant until,
                BooleanSupplier wanted,
                Consumer<NodeLink.AttemptResult> ended) {
            return front.link()
                    .send(
                            node,
                            work,
                            until,
                            wanted,
                            ending -> {
                                if (work.type() == Nbd.CMD_WRITE && ending.status().mayHaveRun) {
                                    written.add(
                                            new Reached(
                                                    shard, node)); // ends come on the I/O thread
                                }
                                ended.accept(ending);
                            });
        }

        @Override
        public void probe(long node, Consumer<NodeLink.AttemptResult> ended) {
            front.link().probe(node, ended);
        }
    }
}
