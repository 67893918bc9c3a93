package cypressglade.nbd;

import java.nio.ByteBuffer;
import java.util.List;

/** One command as it goes to one node: a part of a client's command, inside one shard. */
record NbdWork(
        NbdConfig.Export export, int type, long offset, int length, byte[] data, long onlyNode) {
    /** For {@code onlyNode}: whichever node holds the shard. */
    static final long ANY_NODE = 0;

    private static final byte[] NONE = {};

    static NbdWork read(NbdConfig.Export export, long offset, int length) {
        return new NbdWork(export, Nbd.CMD_READ, offset, length, NONE, ANY_NODE);
    }

    static NbdWork write(NbdConfig.Export export, long offset, byte[] data) {
        return new NbdWork(export, Nbd.CMD_WRITE, offset, data.length, data, ANY_NODE);
    }

    /** A flush makes lasting what one node wrote; another that took its place cannot. */
    static NbdWork flush(NbdConfig.Export export, long onlyNode) {
        return new NbdWork(export, Nbd.CMD_FLUSH, 0, 0, NONE, onlyNode);
    }

    List<ByteBuffer> message(long cookie) {
        return List.of(
                ByteBuffer.allocate(Nbd.REQUEST_HEADER)
                        .putInt(Nbd.REQUEST_MAGIC)
                        .putShort((short) 0)
                        .putShort((short) type)
                        .putLong(cookie)
                        .putLong(offset)
                        .putInt(length)
                        .flip(),
                ByteBuffer.wrap(data));
    }
}
