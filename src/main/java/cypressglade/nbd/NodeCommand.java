package cypressglade.nbd;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A command as sent to one node: a client's command, or the part of it that lies in one shard.
 *
 * @param export export that the client opened
 * @param type command type, {@code CMD_} in {@link NbdProtocol}
 * @param offset offset in bytes inside the export
 * @param length bytes to read or write
 * @param data bytes to write; empty for other commands
 * @param requiredNode only node that may receive the command, or {@link #ANY_NODE}
 */
record NodeCommand(
        NbdConfig.Export export,
        int type,
        long offset,
        int length,
        byte[] data,
        long requiredNode) {
    /** Value of {@link #requiredNode} for any node that holds the shard. */
    static final long ANY_NODE = 0;

    private static final byte[] NO_DATA = {};

    static NodeCommand read(NbdConfig.Export export, long offset, int length) {
        return new NodeCommand(export, NbdProtocol.CMD_READ, offset, length, NO_DATA, ANY_NODE);
    }

    static NodeCommand write(NbdConfig.Export export, long offset, byte[] data) {
        return new NodeCommand(export, NbdProtocol.CMD_WRITE, offset, data.length, data, ANY_NODE);
    }

    /**
     * A flush persists the earlier writes of one node, so it is not sent to a node that took that
     * node's place.
     */
    static NodeCommand flush(NbdConfig.Export export, long requiredNode) {
        return new NodeCommand(export, NbdProtocol.CMD_FLUSH, 0, 0, NO_DATA, requiredNode);
    }

    /** Encodes the request message; the data are not copied. */
    List<ByteBuffer> encode(long cookie) {
        return List.of(
                ByteBuffer.allocate(NbdProtocol.REQUEST_HEADER_BYTES)
                        .putInt(NbdProtocol.REQUEST_MAGIC)
                        .putShort((short) 0)
                        .putShort((short) type)
                        .putLong(cookie)
                        .putLong(offset)
                        .putInt(length)
                        .flip(),
                ByteBuffer.wrap(data));
    }
}
