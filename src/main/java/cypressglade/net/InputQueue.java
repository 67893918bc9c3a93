package cypressglade.net;

import java.nio.ByteBuffer;

/** Input that was read and not handled yet, in its order. Not safe for use by several threads. */
public final class InputQueue {
    private static final ByteBuffer NONE = ByteBuffer.allocate(0);

    private ByteBuffer bytes = NONE; // ready to be read

    /** Adds the remaining bytes of a buffer at the end. */
    public void append(ByteBuffer in) {
        if (!in.hasRemaining()) {
            return;
        }
        int size = bytes.remaining() + in.remaining();
        if (bytes.capacity() - bytes.limit() >= in.remaining()) {
            int start = bytes.position();
            bytes.position(bytes.limit()).limit(bytes.capacity());
            bytes.put(in).flip().position(start);
        } else {
            int capacity = size <= bytes.capacity() ? bytes.capacity() : roundUp(size);
            bytes = ByteBuffer.allocate(capacity).put(bytes).put(in).flip();
        }
    }

    private static int roundUp(int size) {
        return Math.max(256, Integer.highestOneBit(size) * (Integer.bitCount(size) == 1 ? 1 : 2));
    }

    /** The bytes to handle next; what is read from the buffer is removed. */
    public ByteBuffer buffer() {
        return bytes;
    }

    /** Whether no bytes wait to be handled. */
    public boolean isEmpty() {
        return !bytes.hasRemaining();
    }

    /** How many bytes wait to be handled. */
    public int size() {
        return bytes.remaining();
    }

    /** Frees the memory where all bytes were handled. */
    public void trim() {
        if (isEmpty()) {
            bytes = NONE;
        }
    }

    /** Removes all bytes. */
    public void clear() {
        bytes = NONE;
    }

    /** Bytes of heap that are allocated. */
    public int capacity() {
        return bytes.capacity();
    }
}
