package cypressglade.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream into frames: a length of four bytes, and as many bytes. Holds one frame at most.
 */
final class Frames {
    static final int MOST_BYTES = 64 * 1024;

    private final Consumer<byte[]> whole;
    private byte[] held = new byte[Integer.BYTES];
    private int got;
    private boolean body;

    Frames(Consumer<byte[]> whole) {
        this.whole = whole;
    }

    /** Takes what came; a length out of bounds fails before room is made for it. */
    void feed(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            int part = Math.min(in.remaining(), held.length - got);
            in.get(held, got, part);
            got += part;
            if (got == held.length) {
                next();
            }
        }
    }

    private void next() throws IOException {
        byte[] done = held;
        int length = body ? Integer.BYTES : ByteBuffer.wrap(done).getInt();
        if (length <= 0 || length > MOST_BYTES) {
            throw new IOException("a frame of " + length + " bytes");
        }
        body = !body;
        held = new byte[length];
        got = 0;
        if (!body) {
            whole.accept(done);
        }
    }

    static ByteBuffer frame(byte[] bytes) {
        return ByteBuffer.allocate(Integer.BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .flip();
    }

    /** The first frame of a connection, which says nothing but a number by chance. */
    static byte[] nonce(long nonce) {
        return ByteBuffer.allocate(Long.BYTES).putLong(nonce).array();
    }

    static long nonce(byte[] frame) throws IOException {
        if (frame.length != Long.BYTES) {
            throw new IOException("not a nonce: " + Arrays.toString(frame));
        }
        return ByteBuffer.wrap(frame).getLong();
    }
}
