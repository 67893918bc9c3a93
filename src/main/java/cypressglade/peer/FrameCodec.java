package cypressglade.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a stream of bytes into frames, each a length of four bytes in network byte order and that
 * many bytes. Buffers at most one frame. For one thread at a time.
 */
final class FrameCodec {
    /** Maximum length of a frame without its length field. */
    static final int MAX_FRAME_BYTES = 64 * 1024;

    private final Consumer<byte[]> onFrame;
    private byte[] buffer = new byte[Integer.BYTES];
    private int filledBytes;
    private boolean isReadingBody;

    FrameCodec(Consumer<byte[]> onFrame) {
        this.onFrame = onFrame;
    }

    /**
     * Consumes received bytes and passes on each frame that is complete.
     *
     * @throws IOException if a length is out of bounds; no buffer is allocated for it
     */
    void feed(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            int count = Math.min(in.remaining(), buffer.length - filledBytes);
            in.get(buffer, filledBytes, count);
            filledBytes += count;
            if (filledBytes == buffer.length) {
                bufferFull();
            }
        }
    }

    private void bufferFull() throws IOException {
        byte[] filled = buffer;
        int length = isReadingBody ? Integer.BYTES : ByteBuffer.wrap(filled).getInt();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("invalid frame length: " + length + " bytes");
        }
        isReadingBody = !isReadingBody;
        buffer = new byte[length];
        filledBytes = 0;
        if (!isReadingBody) {
            onFrame.accept(filled);
        }
    }

    /** Puts the length in front of the bytes of a frame. */
    static ByteBuffer encode(byte[] bytes) {
        return ByteBuffer.allocate(Integer.BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .flip();
    }

    /** Encodes the first frame of a connection: a random number and nothing else. */
    static byte[] nonce(long nonce) {
        return ByteBuffer.allocate(Long.BYTES).putLong(nonce).array();
    }

    /**
     * Decodes the first frame of a connection.
     *
     * @throws IOException if it is not eight bytes long
     */
    static long nonce(byte[] frame) throws IOException {
        if (frame.length != Long.BYTES) {
            throw new IOException("not a nonce: " + Arrays.toString(frame));
        }
        return ByteBuffer.wrap(frame).getLong();
    }
}
