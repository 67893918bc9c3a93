package cypressglade.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of a response in one array, which is allocated in full at once where the length
 * is known. Does not limit the size: its user does. Not safe for use by several threads.
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
            bytes =
                    Arrays.copyOf(
                            bytes,
                            contentLength >= required
                                    ? (int) contentLength
                                    : Math.max(INITIAL_CAPACITY_BYTES, 2 * required));
        }
        fragment.get(bytes, size, fragment.remaining());
        size = required;
    }

    /** Bytes of heap that are allocated for the body, at least its size. */
    int capacity() {
        return bytes.length;
    }

    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }
}
