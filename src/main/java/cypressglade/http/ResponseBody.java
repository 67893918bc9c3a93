package cypressglade.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of a response in one array, which grows up to the body's length where that is
 * known. Does not limit the size: its user does. Not safe for use by several threads.
 */
final class ResponseBody {
    private static final int INITIAL_CAPACITY_BYTES = 4096;

    private byte[] bytes = {};
    private int size;

    /**
     * Appends the remaining bytes of a fragment.
     *
     * @param contentLength length of the whole body in bytes, -1 where it is not known
     */
    void append(ByteBuffer fragment, long contentLength) {
        int required = size + fragment.remaining();
        if (required > bytes.length) {
            bytes = Arrays.copyOf(bytes, grownCapacity(required, contentLength));
        }
        fragment.get(bytes, size, fragment.remaining());
        size = required;
    }

    private static int grownCapacity(int required, long contentLength) {
        int grown = Math.max(INITIAL_CAPACITY_BYTES, 2 * required);
        return contentLength >= required ? (int) Math.min(contentLength, grown) : grown;
    }

    /** Bytes of heap that are allocated for the body, at least its size. */
    int capacity() {
        return bytes.length;
    }

    /** Bytes of the body that have arrived. */
    int size() {
        return size;
    }

    /** Frees the memory; nothing may be appended afterwards. */
    void release() {
        bytes = new byte[0];
        size = 0;
    }

    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }
}
