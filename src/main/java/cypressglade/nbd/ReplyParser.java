package cypressglade.nbd;

import cypressglade.core.Scheduler.Status;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.Optional;

/**
 * Parses a node's reply to one command: a simple reply or the chunks of a structured reply. The
 * reply may arrive split at any byte. Checks that the chunks of a read cover the whole range, do
 * not overlap and lie inside it.
 */
final class ReplyParser {
    private static final int MAX_ERROR_MESSAGE_BYTES = 4096;

    private final NodeCommand command;
    private final long cookie;
    private final byte[] data;
    private final BitSet receivedBytes;
    private final SectionReader sections = new SectionReader();
    private boolean hasFailed;
    private boolean isComplete;

    ReplyParser(NodeCommand command, long cookie) {
        this.command = command;
        this.cookie = cookie;
        data = new byte[command.type() == NbdProtocol.CMD_READ ? command.length() : 0];
        receivedBytes = new BitSet(data.length);
        sections.expect(4, this::handleMagic);
    }

    /**
     * Consumes received bytes.
     *
     * @return the outcome of the command once its reply is complete
     * @throws IOException if the bytes are not a valid reply to the command
     */
    Optional<Status> feed(ByteBuffer in) throws IOException {
        sections.feed(in);
        if (!isComplete) {
            return Optional.empty();
        }
        if (!hasFailed && receivedBytes.cardinality() != data.length) {
            throw new IOException("the reply does not cover the whole range read");
        }
        return Optional.of(hasFailed ? Status.ERROR : Status.OK);
    }

    /** Returns the bytes read so far; empty for commands other than reads. */
    byte[] data() {
        return data;
    }

    private void handleMagic(ByteBuffer header) throws IOException {
        switch (header.getInt()) {
            case NbdProtocol.SIMPLE_REPLY_MAGIC ->
                    sections.expect(
                            NbdProtocol.SIMPLE_REPLY_HEADER_BYTES - 4, this::handleSimpleReply);
            case NbdProtocol.STRUCTURED_REPLY_MAGIC ->
                    sections.expect(NbdProtocol.CHUNK_HEADER_BYTES - 4, this::handleChunk);
            default -> throw new IOException("not an NBD reply: unknown magic number");
        }
    }

    private void handleSimpleReply(ByteBuffer header) throws IOException {
        hasFailed = header.getInt() != 0;
        checkCookie(header.getLong());
        if (hasFailed || data.length == 0) {
            isComplete = true;
        } else {
            sections.expect(
                    data.length,
                    body -> {
                        store(0, body);
                        isComplete = true;
                    });
        }
    }

    private void handleChunk(ByteBuffer header) throws IOException {
        int flags = header.getShort();
        int type = Short.toUnsignedInt(header.getShort());
        checkCookie(header.getLong());
        int length = header.getInt();
        int maxLength =
                type == NbdProtocol.REPLY_OFFSET_DATA
                        ? 8 + data.length
                        : type == NbdProtocol.REPLY_OFFSET_HOLE
                                ? 12
                                : type == NbdProtocol.REPLY_NONE
                                        ? 0
                                        : 6 + MAX_ERROR_MESSAGE_BYTES + 8;
        if (length < 0 || length > maxLength) {
            throw new IOException(
                    "chunk of " + Integer.toUnsignedString(length) + " bytes is too long");
        }
        sections.expect(
                length,
                body -> {
                    handleChunkPayload(type, body);
                    isComplete = (flags & NbdProtocol.REPLY_FLAG_DONE) != 0;
                    if (!isComplete) {
                        sections.expect(4, this::handleMagic);
                    }
                });
    }

    private void handleChunkPayload(int type, ByteBuffer body) throws IOException {
        switch (type) {
            case NbdProtocol.REPLY_NONE -> {}
            case NbdProtocol.REPLY_OFFSET_DATA -> {
                requireLength(body, 9);
                store(body.getLong() - command.offset(), body);
            }
            case NbdProtocol.REPLY_OFFSET_HOLE -> {
                requireLength(body, 12);
                long at = body.getLong() - command.offset();
                int length = body.getInt();
                if (length <= 0 || length > data.length) {
                    throw new IOException("hole chunk outside of the range read");
                }
                store(at, ByteBuffer.allocate(length));
            }
            default -> {
                if ((type & 1 << 15) == 0) {
                    throw new IOException("unknown chunk type " + type);
                }
                hasFailed = true;
            }
        }
    }

    private void store(long at, ByteBuffer bytes) throws IOException {
        int length = bytes.remaining();
        if (at < 0 || at > data.length - length) {
            throw new IOException("chunk outside of the range read");
        }
        int from = (int) at;
        int overlap = receivedBytes.nextSetBit(from);
        if (overlap >= 0 && overlap < from + length) {
            throw new IOException("chunk overlaps an earlier one");
        }
        receivedBytes.set(from, from + length);
        bytes.get(data, from, length);
    }

    private void checkCookie(long received) throws IOException {
        if (received != cookie) {
            throw new IOException("reply with the cookie of another command");
        }
    }

    private static void requireLength(ByteBuffer body, int minBytes) throws IOException {
        if (body.remaining() < minBytes) {
            throw new IOException("chunk is too short for its type");
        }
    }
}
