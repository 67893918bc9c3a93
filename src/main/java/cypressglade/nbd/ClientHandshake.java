package cypressglade.nbd;

import cypressglade.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The client side of the handshake with a storage node: fixed newstyle, with structured replies
 * where the node supports them. Opens the export by {@code NBD_OPT_GO}, or by {@code
 * NBD_OPT_EXPORT_NAME} where the node does not know that option. Runs on the I/O thread.
 */
final class ClientHandshake implements Connection.Listener {
    private static final int MAX_OPTION_REPLY_BYTES = 64 * 1024;
    // NBD_OPT_GO without the export name: name length and number of information requests.
    private static final int GO_FIXED_BYTES = 6;

    private final Connection connection;
    private final NbdConfig.Export export;
    private final Runnable onReady;
    private final Runnable onFailure;
    private final SectionReader sections = new SectionReader();
    private int pendingOption;
    private boolean isSizeKnown;
    private boolean isComplete;
    private boolean omitsZeroes;

    ClientHandshake(
            Connection connection, NbdConfig.Export export, Runnable onReady, Runnable onFailure) {
        this.connection = connection;
        this.export = export;
        this.onReady = onReady;
        this.onFailure = onFailure;
        sections.expect(NbdProtocol.GREETING_BYTES, this::handleGreeting);
    }

    @Override
    public void received(ByteBuffer in) throws IOException {
        sections.feed(in);
        if (isComplete) {
            if (in.hasRemaining()) {
                throw new IOException("unexpected data after the handshake");
            }
            onReady.run();
        }
    }

    @Override
    public void ended() {
        onFailure.run();
    }

    private void handleGreeting(ByteBuffer section) throws IOException {
        if (section.getLong() != NbdProtocol.NBDMAGIC
                || section.getLong() != NbdProtocol.IHAVEOPT) {
            throw new IOException("not an NBD server with newstyle negotiation");
        }
        int flags = section.getShort();
        if ((flags & NbdProtocol.FLAG_FIXED_NEWSTYLE) == 0) {
            throw new IOException("the NBD server does not support fixed newstyle negotiation");
        }
        omitsZeroes = (flags & NbdProtocol.FLAG_NO_ZEROES) != 0;
        int clientFlags = flags & (NbdProtocol.FLAG_FIXED_NEWSTYLE | NbdProtocol.FLAG_NO_ZEROES);
        connection.send(ByteBuffer.allocate(4).putInt(clientFlags).flip());
        sendOption(NbdProtocol.OPT_STRUCTURED_REPLY, ByteBuffer.allocate(0));
        sections.expect(NbdProtocol.OPTION_REPLY_HEADER_BYTES, this::handleReplyHeader);
    }

    private void sendOption(int number, ByteBuffer data) {
        pendingOption = number;
        connection.send(
                ByteBuffer.allocate(NbdProtocol.OPTION_HEADER_BYTES + data.remaining())
                        .putLong(NbdProtocol.IHAVEOPT)
                        .putInt(number)
                        .putInt(data.remaining())
                        .put(data)
                        .flip());
    }

    private void handleReplyHeader(ByteBuffer section) throws IOException {
        if (section.getLong() != NbdProtocol.OPTION_REPLY_MAGIC
                || section.getInt() != pendingOption) {
            throw new IOException("not a reply to the pending option");
        }
        int type = section.getInt();
        int length = section.getInt();
        if (length < 0 || length > MAX_OPTION_REPLY_BYTES) {
            throw new IOException(
                    "option reply of " + Integer.toUnsignedString(length) + " bytes is too long");
        }
        sections.expect(length, data -> handleReply(type, data));
    }

    private void handleReply(int type, ByteBuffer data) throws IOException {
        byte[] name = export.name().getBytes(StandardCharsets.UTF_8);
        if (pendingOption == NbdProtocol.OPT_STRUCTURED_REPLY
                && (type == NbdProtocol.REP_ACK || type == NbdProtocol.REP_ERR_UNSUP)) {
            sendOption(
                    NbdProtocol.OPT_GO,
                    ByteBuffer.allocate(GO_FIXED_BYTES + name.length)
                            .putInt(name.length)
                            .put(name)
                            .putShort((short) 0)
                            .flip());
        } else if (pendingOption == NbdProtocol.OPT_GO && type == NbdProtocol.REP_INFO) {
            if (data.remaining() >= 12 && data.getShort() == NbdProtocol.INFO_EXPORT) {
                checkSize(data.getLong());
            }
        } else if (pendingOption == NbdProtocol.OPT_GO
                && type == NbdProtocol.REP_ACK
                && isSizeKnown) {
            isComplete = true;
            return;
        } else if (pendingOption == NbdProtocol.OPT_GO && type == NbdProtocol.REP_ERR_UNSUP) {
            sendOption(NbdProtocol.OPT_EXPORT_NAME, ByteBuffer.wrap(name));
            sections.expect(
                    NbdProtocol.EXPORT_NAME_REPLY_BYTES
                            + (omitsZeroes ? 0 : NbdProtocol.EXPORT_NAME_PADDING_BYTES),
                    reply -> {
                        checkSize(reply.getLong());
                        isComplete = true;
                    });
            return;
        } else {
            throw new IOException(
                    "option "
                            + pendingOption
                            + " received unexpected reply type 0x"
                            + Integer.toHexString(type));
        }
        sections.expect(NbdProtocol.OPTION_REPLY_HEADER_BYTES, this::handleReplyHeader);
    }

    private void checkSize(long size) throws IOException {
        if (size < export.size()) {
            throw new IOException("the node's export is smaller than the configured size");
        }
        isSizeKnown = true;
    }
}
