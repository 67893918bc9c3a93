package cypressglade.nbd;

import cypressglade.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * This program's side of a handshake with a node: fixed newstyle, structured replies where it has
 * them.
 */
final class ClientHandshake implements Connection.Listener {
    private static final int MOST_OPTION_REPLY = 64 * 1024;
    private static final int GO_FIXED = 6;

    private final Connection wire;
    private final NbdConfig.Export export;
    private final Runnable ready;
    private final Runnable unusable;
    private final Pieces pieces = new Pieces();
    private int option;
    private boolean sizeKnown;
    private boolean done;
    private boolean noZeroes;

    ClientHandshake(Connection wire, NbdConfig.Export export, Runnable ready, Runnable unusable) {
        this.wire = wire;
        this.export = export;
        this.ready = ready;
        this.unusable = unusable;
        pieces.expect(18, this::greeting);
    }

    @Override
    public void received(ByteBuffer in) throws IOException {
        pieces.feed(in);
        if (done) {
            if (in.hasRemaining()) {
                throw new IOException("something follows the handshake");
            }
            ready.run();
        }
    }

    @Override
    public void ended() {
        unusable.run();
    }

    private void greeting(ByteBuffer piece) throws IOException {
        if (piece.getLong() != Nbd.NBDMAGIC || piece.getLong() != Nbd.IHAVEOPT) {
            throw new IOException("not an NBD server of the newstyle");
        }
        int flags = piece.getShort();
        if ((flags & Nbd.FLAG_FIXED_NEWSTYLE) == 0) {
            throw new IOException("the server is not fixed newstyle");
        }
        noZeroes = (flags & Nbd.FLAG_NO_ZEROES) != 0;
        int ours = flags & (Nbd.FLAG_FIXED_NEWSTYLE | Nbd.FLAG_NO_ZEROES);
        wire.send(ByteBuffer.allocate(4).putInt(ours).flip());
        option(Nbd.OPT_STRUCTURED_REPLY, ByteBuffer.allocate(0));
        pieces.expect(Nbd.OPTION_REPLY_HEADER, this::replyHeader);
    }

    private void option(int number, ByteBuffer data) {
        option = number;
        wire.send(
                ByteBuffer.allocate(Nbd.OPTION_HEADER + data.remaining())
                        .putLong(Nbd.IHAVEOPT)
                        .putInt(number)
                        .putInt(data.remaining())
                        .put(data)
                        .flip());
    }

    private void replyHeader(ByteBuffer piece) throws IOException {
        if (piece.getLong() != Nbd.OPTION_REPLY_MAGIC || piece.getInt() != option) {
            throw new IOException("not a reply to the option");
        }
        int type = piece.getInt();
        int length = piece.getInt();
        if (length < 0 || length > MOST_OPTION_REPLY) {
            throw new IOException(
                    "an option reply of " + Integer.toUnsignedString(length) + " bytes");
        }
        pieces.expect(length, data -> reply(type, data));
    }

    private void reply(int type, ByteBuffer data) throws IOException {
        byte[] name = export.name().getBytes(StandardCharsets.UTF_8);
        if (option == Nbd.OPT_STRUCTURED_REPLY
                && (type == Nbd.REP_ACK || type == Nbd.REP_ERR_UNSUP)) {
            option(
                    Nbd.OPT_GO,
                    ByteBuffer.allocate(GO_FIXED + name.length)
                            .putInt(name.length)
                            .put(name)
                            .putShort((short) 0)
                            .flip());
        } else if (option == Nbd.OPT_GO && type == Nbd.REP_INFO) {
            if (data.remaining() >= 12 && data.getShort() == Nbd.INFO_EXPORT) {
                size(data.getLong());
            }
        } else if (option == Nbd.OPT_GO && type == Nbd.REP_ACK && sizeKnown) {
            done = true;
            return;
        } else if (option == Nbd.OPT_GO && type == Nbd.REP_ERR_UNSUP) {
            option(Nbd.OPT_EXPORT_NAME, ByteBuffer.wrap(name));
            pieces.expect(
                    10 + (noZeroes ? 0 : Nbd.EXPORT_NAME_ZEROES),
                    answer -> {
                        size(answer.getLong());
                        done = true;
                    });
            return;
        } else {
            throw new IOException(
                    "option " + option + " was answered " + Integer.toHexString(type));
        }
        pieces.expect(Nbd.OPTION_REPLY_HEADER, this::replyHeader);
    }

    private void size(long size) throws IOException {
        if (size < export.size()) {
            throw new IOException("the node's export is smaller than ours");
        }
        sizeKnown = true;
    }
}
