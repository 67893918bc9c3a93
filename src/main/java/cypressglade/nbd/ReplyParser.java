package cypressglade.nbd;

import cypressglade.core.Scheduler.Status;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.Optional;

/** Reads a node's reply to one command, simple or in structured chunks, split at any byte. */
final class ReplyParser {
    private static final int MOST_MESSAGE = 4096;

    private final NbdWork work;
    private final long cookie;
    private final byte[] data;
    private final BitSet covered;
    private final Pieces pieces = new Pieces();
    private boolean failed;
    private boolean done;

    ReplyParser(NbdWork work, long cookie) {
        this.work = work;
        this.cookie = cookie;
        data = new byte[work.type() == Nbd.CMD_READ ? work.length() : 0];
        covered = new BitSet(data.length);
        pieces.expect(4, this::magic);
    }

    /** Takes what came; how the command ended once its reply is whole. */
    Optional<Status> feed(ByteBuffer in) throws IOException {
        pieces.feed(in);
        if (!done) {
            return Optional.empty();
        }
        if (!failed && covered.cardinality() != data.length) {
            throw new IOException("the reply leaves out a part of what was read");
        }
        return Optional.of(failed ? Status.ERROR : Status.OK);
    }

    byte[] data() {
        return data;
    }

    private void magic(ByteBuffer piece) throws IOException {
        switch (piece.getInt()) {
            case Nbd.SIMPLE_REPLY_MAGIC -> pieces.expect(Nbd.SIMPLE_REPLY_HEADER - 4, this::simple);
            case Nbd.STRUCTURED_REPLY_MAGIC -> pieces.expect(Nbd.CHUNK_HEADER - 4, this::chunk);
            default -> throw new IOException("not a reply");
        }
    }

    private void simple(ByteBuffer piece) throws IOException {
        failed = piece.getInt() != 0;
        ours(piece.getLong());
        if (failed || data.length == 0) {
            done = true;
        } else {
            pieces.expect(
                    data.length,
                    body -> {
                        put(0, body);
                        done = true;
                    });
        }
    }

    private void chunk(ByteBuffer piece) throws IOException {
        int flags = piece.getShort();
        int type = Short.toUnsignedInt(piece.getShort());
        ours(piece.getLong());
        int length = piece.getInt();
        int most =
                type == Nbd.REPLY_OFFSET_DATA
                        ? 8 + data.length
                        : type == Nbd.REPLY_OFFSET_HOLE
                                ? 12
                                : type == Nbd.REPLY_NONE ? 0 : 6 + MOST_MESSAGE + 8;
        if (length < 0 || length > most) {
            throw new IOException("a chunk of " + Integer.toUnsignedString(length) + " bytes");
        }
        pieces.expect(
                length,
                body -> {
                    content(type, body);
                    done = (flags & Nbd.REPLY_FLAG_DONE) != 0;
                    if (!done) {
                        pieces.expect(4, this::magic);
                    }
                });
    }

    private void content(int type, ByteBuffer body) throws IOException {
        switch (type) {
            case Nbd.REPLY_NONE -> {}
            case Nbd.REPLY_OFFSET_DATA -> {
                need(body, 9);
                put(body.getLong() - work.offset(), body);
            }
            case Nbd.REPLY_OFFSET_HOLE -> {
                need(body, 12);
                long at = body.getLong() - work.offset();
                int length = body.getInt();
                if (length <= 0 || length > data.length) {
                    throw new IOException("a hole outside of what was read");
                }
                put(at, ByteBuffer.allocate(length));
            }
            default -> {
                if ((type & 1 << 15) == 0) {
                    throw new IOException("a chunk of the unknown type " + type);
                }
                failed = true;
            }
        }
    }

    private void put(long at, ByteBuffer part) throws IOException {
        int length = part.remaining();
        if (at < 0 || at > data.length - length) {
            throw new IOException("a chunk outside of what was read");
        }
        int from = (int) at;
        int covers = covered.nextSetBit(from);
        if (covers >= 0 && covers < from + length) {
            throw new IOException("a chunk over another");
        }
        covered.set(from, from + length);
        part.get(data, from, length);
    }

    private void ours(long answered) throws IOException {
        if (answered != cookie) {
            throw new IOException("a reply to another command");
        }
    }

    private static void need(ByteBuffer body, int bytes) throws IOException {
        if (body.remaining() < bytes) {
            throw new IOException("a chunk is too short");
        }
    }
}
