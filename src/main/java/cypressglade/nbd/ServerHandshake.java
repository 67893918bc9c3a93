package cypressglade.nbd;

import cypressglade.nbd.NbdConfig.Export;
import cypressglade.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;

/** A client's handshake: options until it asks for an export, in fixed newstyle. */
final class ServerHandshake implements Connection.Listener {
    private static final int MOST_SKIPPED = 1 << 20;
    private static final int MOST_GO = 4 + Nbd.MOST_NAME + 2 + 2 * 1024;
    private static final int PREFERRED_BLOCK = 4096;
    private static final byte[] NOTHING = {};

    private final Connection wire;
    private final NbdConfig config;
    private final Predicate<Optional<Export>> drains;
    private final Opened opened;
    private final Runnable left;
    private final Pieces pieces = new Pieces();
    private boolean fixed;
    private boolean noZeroes;
    private boolean structured;
    private Connection.Listener next;

    /** What takes over once an export is chosen. */
    interface Opened {
        Connection.Listener open(Export export, boolean structured);
    }

    /**
     * {@code drains} tells whether this program (no export) or what holds the export is shutting
     * down.
     */
    ServerHandshake(
            Connection wire,
            NbdConfig config,
            Predicate<Optional<Export>> drains,
            Opened opened,
            Runnable left) {
        this.wire = wire;
        this.config = config;
        this.drains = drains;
        this.opened = opened;
        this.left = left;
        pieces.expect(4, this::clientFlags);
        wire.readInto(this);
        wire.send(
                ByteBuffer.allocate(18)
                        .putLong(Nbd.NBDMAGIC)
                        .putLong(Nbd.IHAVEOPT)
                        .putShort((short) (Nbd.FLAG_FIXED_NEWSTYLE | Nbd.FLAG_NO_ZEROES))
                        .flip());
    }

    boolean over() {
        return next != null;
    }

    @Override
    public void received(ByteBuffer in) throws IOException {
        pieces.feed(in);
        if (next != null) {
            wire.readInto(next);
            next.received(in);
        }
    }

    @Override
    public void ended() {
        left.run(); // nothing was taken on the wire
    }

    private void clientFlags(ByteBuffer piece) throws IOException {
        int flags = piece.getInt();
        if ((flags & ~(Nbd.FLAG_FIXED_NEWSTYLE | Nbd.FLAG_NO_ZEROES)) != 0) {
            throw new IOException("unknown client flags");
        }
        fixed = (flags & Nbd.FLAG_FIXED_NEWSTYLE) != 0;
        noZeroes = (flags & Nbd.FLAG_NO_ZEROES) != 0;
        pieces.expect(Nbd.OPTION_HEADER, this::option);
    }

    private void option(ByteBuffer piece) throws IOException {
        if (piece.getLong() != Nbd.IHAVEOPT) {
            throw new IOException("not an option");
        }
        int option = piece.getInt();
        long length = Integer.toUnsignedLong(piece.getInt());
        if (length > MOST_SKIPPED || !fixed && option != Nbd.OPT_EXPORT_NAME) {
            throw new IOException("an option that cannot be answered");
        }
        pieces.expect(Nbd.OPTION_HEADER, this::option);
        switch (option) {
            case Nbd.OPT_EXPORT_NAME -> {
                if (length > Nbd.MOST_NAME) {
                    throw new IOException("an export name of " + length + " bytes");
                }
                pieces.expect((int) length, this::exportName);
            }
            case Nbd.OPT_INFO, Nbd.OPT_GO -> {
                if (length > MOST_GO) {
                    refuse(option, length, Nbd.REP_ERR_TOO_BIG);
                } else {
                    pieces.expect((int) length, data -> infoOrGo(option, data));
                }
            }
            case Nbd.OPT_ABORT -> {
                reply(option, Nbd.REP_ACK, NOTHING);
                pieces.hold();
                left.run();
                wire.closeWhenSent();
            }
            case Nbd.OPT_LIST, Nbd.OPT_STRUCTURED_REPLY -> {
                if (length > 0) {
                    refuse(option, length, Nbd.REP_ERR_INVALID);
                } else if (drains.test(Optional.empty())) {
                    reply(option, Nbd.REP_ERR_SHUTDOWN, NOTHING);
                } else if (option == Nbd.OPT_STRUCTURED_REPLY) {
                    structured = true;
                    reply(option, Nbd.REP_ACK, NOTHING);
                } else {
                    list();
                }
            }
            default -> refuse(option, length, Nbd.REP_ERR_UNSUP);
        }
    }

    private void refuse(int option, long length, int error) {
        pieces.skip(length);
        reply(option, error, NOTHING);
    }

    private void list() {
        for (Export export : config.exports()) {
            byte[] name = export.name().getBytes(StandardCharsets.UTF_8);
            reply(
                    Nbd.OPT_LIST,
                    Nbd.REP_SERVER,
                    ByteBuffer.allocate(4 + name.length).putInt(name.length).put(name).array());
        }
        reply(Nbd.OPT_LIST, Nbd.REP_ACK, NOTHING);
    }

    private void infoOrGo(int option, ByteBuffer data) {
        pieces.expect(Nbd.OPTION_HEADER, this::option);
        int nameLength = data.remaining() < 6 ? -1 : data.getInt();
        if (nameLength < 0 || nameLength > data.remaining() - 2) {
            reply(option, Nbd.REP_ERR_INVALID, NOTHING);
            return;
        }
        String name = text(data, nameLength);
        int wishes = Short.toUnsignedInt(data.getShort());
        if (data.remaining() != 2 * wishes) {
            reply(option, Nbd.REP_ERR_INVALID, NOTHING);
            return;
        }
        Optional<Export> export = config.export(name);
        if (drains.test(Optional.empty()) || export.isPresent() && drains.test(export)) {
            reply(option, Nbd.REP_ERR_SHUTDOWN, NOTHING);
        } else if (export.isEmpty()) {
            reply(option, Nbd.REP_ERR_UNKNOWN, NOTHING);
        } else {
            reply(
                    option,
                    Nbd.REP_INFO,
                    ByteBuffer.allocate(12)
                            .putShort((short) Nbd.INFO_EXPORT)
                            .putLong(export.get().size())
                            .putShort(transmissionFlags())
                            .array());
            reply(
                    option,
                    Nbd.REP_INFO,
                    ByteBuffer.allocate(14)
                            .putShort((short) Nbd.INFO_BLOCK_SIZE)
                            .putInt(1)
                            .putInt(PREFERRED_BLOCK)
                            .putInt(Transmission.MOST_LENGTH)
                            .array());
            reply(option, Nbd.REP_ACK, NOTHING);
            if (option == Nbd.OPT_GO) {
                open(export.get());
            }
        }
    }

    private void exportName(ByteBuffer data) throws IOException {
        Optional<Export> export = config.export(text(data, data.remaining()));
        if (export.isEmpty() || drains.test(Optional.empty()) || drains.test(export)) {
            throw new IOException("no such export now"); // this option has no other way to say so
        }
        wire.send(
                ByteBuffer.allocate(10 + (noZeroes ? 0 : Nbd.EXPORT_NAME_ZEROES))
                        .putLong(export.get().size())
                        .putShort(transmissionFlags())
                        .rewind());
        open(export.get());
    }

    private void open(Export export) {
        pieces.hold();
        next = opened.open(export, structured);
    }

    private short transmissionFlags() {
        return (short)
                (Nbd.FLAG_HAS_FLAGS | Nbd.FLAG_SEND_FLUSH | (structured ? Nbd.FLAG_SEND_DF : 0));
    }

    private static String text(ByteBuffer data, int length) {
        byte[] bytes = new byte[length];
        data.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void reply(int option, int type, byte[] data) {
        wire.send(
                ByteBuffer.allocate(Nbd.OPTION_REPLY_HEADER + data.length)
                        .putLong(Nbd.OPTION_REPLY_MAGIC)
                        .putInt(option)
                        .putInt(type)
                        .putInt(data.length)
                        .put(data)
                        .flip());
    }
}
