package cypressglade.nbd;

import cypressglade.nbd.NbdConfig.Export;
import cypressglade.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The server side of a client's handshake in fixed newstyle: answers options until the client opens
 * an export, then hands the connection over to the transmission phase. Runs on the I/O thread.
 */
final class ServerHandshake implements Connection.Listener {
    // Longer options break the connection.
    private static final int MAX_OPTION_BYTES = 1 << 20;
    // Name length, name, number of information requests, and up to 1024 of those.
    private static final int MAX_GO_BYTES = 4 + NbdProtocol.MAX_NAME_BYTES + 2 + 2 * 1024;
    private static final int PREFERRED_BLOCK_BYTES = 4096;
    private static final byte[] NO_DATA = {};

    private final Connection connection;
    private final NbdConfig config;
    private final Predicate<Optional<Export>> isDraining;
    private final TransmissionFactory transmissions;
    private final Runnable onDisconnect;
    private final SectionReader sections = new SectionReader();
    private boolean fixedNewstyle;
    private boolean omitsZeroes;
    private boolean structured;
    private Connection.Listener transmission;

    /** Creates the listener for the transmission phase on an export. */
    interface TransmissionFactory {
        Connection.Listener create(Export export, boolean structured);
    }

    /**
     * Starts the handshake by sending the server's greeting.
     *
     * @param isDraining whether handshakes are rejected: for no export, because this program shuts
     *     down; for an export, also because a shard that holds it is draining
     * @param transmissions creates the listener that follows the handshake
     * @param onDisconnect runs if the connection ends during the handshake
     */
    ServerHandshake(
            Connection connection,
            NbdConfig config,
            Predicate<Optional<Export>> isDraining,
            TransmissionFactory transmissions,
            Runnable onDisconnect) {
        this.connection = connection;
        this.config = config;
        this.isDraining = isDraining;
        this.transmissions = transmissions;
        this.onDisconnect = onDisconnect;
        sections.expect(4, this::handleClientFlags);
        connection.readInto(this);
        connection.send(
                ByteBuffer.allocate(NbdProtocol.GREETING_BYTES)
                        .putLong(NbdProtocol.NBDMAGIC)
                        .putLong(NbdProtocol.IHAVEOPT)
                        .putShort(
                                (short)
                                        (NbdProtocol.FLAG_FIXED_NEWSTYLE
                                                | NbdProtocol.FLAG_NO_ZEROES))
                        .flip());
    }

    @Override
    public void received(ByteBuffer in) throws IOException {
        sections.feed(in);
        if (transmission != null) {
            connection.readInto(transmission);
            transmission.received(in);
        }
    }

    @Override
    public void ended() {
        onDisconnect.run(); // no command was received yet
    }

    private void handleClientFlags(ByteBuffer section) throws IOException {
        int flags = section.getInt();
        if ((flags & ~(NbdProtocol.FLAG_FIXED_NEWSTYLE | NbdProtocol.FLAG_NO_ZEROES)) != 0) {
            throw new IOException("unknown client flags in the handshake");
        }
        fixedNewstyle = (flags & NbdProtocol.FLAG_FIXED_NEWSTYLE) != 0;
        omitsZeroes = (flags & NbdProtocol.FLAG_NO_ZEROES) != 0;
        sections.expect(NbdProtocol.OPTION_HEADER_BYTES, this::handleOption);
    }

    private void handleOption(ByteBuffer section) throws IOException {
        if (section.getLong() != NbdProtocol.IHAVEOPT) {
            throw new IOException("not an option: wrong magic number");
        }
        int option = section.getInt();
        long length = Integer.toUnsignedLong(section.getInt());
        if (length > MAX_OPTION_BYTES || !fixedNewstyle && option != NbdProtocol.OPT_EXPORT_NAME) {
            throw new IOException("option is too long, or not allowed without fixed newstyle");
        }
        sections.expect(NbdProtocol.OPTION_HEADER_BYTES, this::handleOption);
        switch (option) {
            case NbdProtocol.OPT_EXPORT_NAME -> {
                if (length > NbdProtocol.MAX_NAME_BYTES) {
                    throw new IOException("export name of " + length + " bytes is too long");
                }
                sections.expect((int) length, this::handleExportName);
            }
            case NbdProtocol.OPT_INFO, NbdProtocol.OPT_GO -> {
                if (length > MAX_GO_BYTES) {
                    rejectOption(option, length, NbdProtocol.REP_ERR_TOO_BIG);
                } else {
                    sections.expect((int) length, data -> handleInfoOrGo(option, data));
                }
            }
            case NbdProtocol.OPT_ABORT -> {
                sendReply(option, NbdProtocol.REP_ACK, NO_DATA);
                sections.pause();
                onDisconnect.run();
                connection.closeWhenSent();
            }
            case NbdProtocol.OPT_LIST, NbdProtocol.OPT_STRUCTURED_REPLY -> {
                if (length > 0) {
                    rejectOption(option, length, NbdProtocol.REP_ERR_INVALID);
                } else if (isDraining.test(Optional.empty())) {
                    sendReply(option, NbdProtocol.REP_ERR_SHUTDOWN, NO_DATA);
                } else if (option == NbdProtocol.OPT_STRUCTURED_REPLY) {
                    structured = true;
                    sendReply(option, NbdProtocol.REP_ACK, NO_DATA);
                } else {
                    sendExportList();
                }
            }
            default -> rejectOption(option, length, NbdProtocol.REP_ERR_UNSUP);
        }
    }

    private void rejectOption(int option, long length, int error) {
        sections.skip(length);
        sendReply(option, error, NO_DATA);
    }

    private void sendExportList() {
        for (Export export : config.exports()) {
            byte[] name = export.name().getBytes(StandardCharsets.UTF_8);
            sendReply(
                    NbdProtocol.OPT_LIST,
                    NbdProtocol.REP_SERVER,
                    ByteBuffer.allocate(4 + name.length).putInt(name.length).put(name).array());
        }
        sendReply(NbdProtocol.OPT_LIST, NbdProtocol.REP_ACK, NO_DATA);
    }

    private void handleInfoOrGo(int option, ByteBuffer data) {
        sections.expect(NbdProtocol.OPTION_HEADER_BYTES, this::handleOption);
        int nameLength = data.remaining() < 6 ? -1 : data.getInt();
        if (nameLength < 0 || nameLength > data.remaining() - 2) {
            sendReply(option, NbdProtocol.REP_ERR_INVALID, NO_DATA);
            return;
        }
        String name = readText(data, nameLength);
        int informationRequests = Short.toUnsignedInt(data.getShort());
        if (data.remaining() != 2 * informationRequests) {
            sendReply(option, NbdProtocol.REP_ERR_INVALID, NO_DATA);
            return;
        }
        Optional<Export> export = config.findExport(name);
        if (isDraining.test(Optional.empty()) || export.isPresent() && isDraining.test(export)) {
            sendReply(option, NbdProtocol.REP_ERR_SHUTDOWN, NO_DATA);
        } else if (export.isEmpty()) {
            sendReply(option, NbdProtocol.REP_ERR_UNKNOWN, NO_DATA);
        } else {
            sendReply(
                    option,
                    NbdProtocol.REP_INFO,
                    ByteBuffer.allocate(12)
                            .putShort((short) NbdProtocol.INFO_EXPORT)
                            .putLong(export.get().size())
                            .putShort(transmissionFlags())
                            .array());
            sendReply(
                    option,
                    NbdProtocol.REP_INFO,
                    ByteBuffer.allocate(14)
                            .putShort((short) NbdProtocol.INFO_BLOCK_SIZE)
                            .putInt(1)
                            .putInt(PREFERRED_BLOCK_BYTES)
                            .putInt(Transmission.MAX_LENGTH_BYTES)
                            .array());
            sendReply(option, NbdProtocol.REP_ACK, NO_DATA);
            if (option == NbdProtocol.OPT_GO) {
                startTransmission(export.get());
            }
        }
    }

    private void handleExportName(ByteBuffer data) throws IOException {
        Optional<Export> export = config.findExport(readText(data, data.remaining()));
        if (export.isEmpty() || isDraining.test(Optional.empty()) || isDraining.test(export)) {
            throw new IOException(
                    "export is unknown or draining"); // this option has no error reply
        }
        connection.send(
                ByteBuffer.allocate(
                                NbdProtocol.EXPORT_NAME_REPLY_BYTES
                                        + (omitsZeroes ? 0 : NbdProtocol.EXPORT_NAME_PADDING_BYTES))
                        .putLong(export.get().size())
                        .putShort(transmissionFlags())
                        .rewind());
        startTransmission(export.get());
    }

    private void startTransmission(Export export) {
        sections.pause();
        transmission = transmissions.create(export, structured);
    }

    private short transmissionFlags() {
        return (short)
                (NbdProtocol.FLAG_HAS_FLAGS
                        | NbdProtocol.FLAG_SEND_FLUSH
                        | (structured ? NbdProtocol.FLAG_SEND_DF : 0));
    }

    private static String readText(ByteBuffer data, int length) {
        byte[] bytes = new byte[length];
        data.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void sendReply(int option, int type, byte[] data) {
        connection.send(
                ByteBuffer.allocate(NbdProtocol.OPTION_REPLY_HEADER_BYTES + data.length)
                        .putLong(NbdProtocol.OPTION_REPLY_MAGIC)
                        .putInt(option)
                        .putInt(type)
                        .putInt(data.length)
                        .put(data)
                        .flip());
    }
}
