package cypressglade.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The body of an answer as it comes; made to its length at once where that is told. Its reader
 * bounds it.
 */
final class ResponseBody {
    private static final int FIRST = 4096;

    private byte[] bytes = {};
    private int size;

    /** Takes a part of a body of the given length, or of -1 where none is told. */
    void append(ByteBuffer part, long told) {
        int wanted = size + part.remaining();
        if (wanted > bytes.length) {
            bytes = Arrays.copyOf(bytes, told >= wanted ? (int) told : Math.max(FIRST, 2 * wanted));
        }
        part.get(bytes, size, part.remaining());
        size = wanted;
    }

    /** What it takes of the heap. */
    int capacity() {
        return bytes.length;
    }

    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }
}
