package cypressglade.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The parts of a body that one read has brought, as one buffer: an answer in tiny chunks would
 * otherwise cost a write for each. A single part is not copied. Used on the I/O thread only.
 */
final class PassedParts {
    private Optional<ByteBuffer> single = Optional.empty();
    private Optional<ByteBuffer> joined = Optional.empty();

    /**
     * Adds a part.
     *
     * @param part of the input; its content has to stay until {@link #take}
     */
    void add(ByteBuffer part) {
        if (joined.isPresent()) {
            joined = Optional.of(withRoomFor(joined.get(), part.remaining()).put(part));
        } else if (single.isPresent()) {
            ByteBuffer first = single.get();
            int bytes = first.remaining() + part.remaining();
            joined = Optional.of(ByteBuffer.allocate(2 * bytes).put(first).put(part));
            single = Optional.empty();
        } else {
            single = Optional.of(part.slice());
            part.position(part.limit());
        }
    }

    private static ByteBuffer withRoomFor(ByteBuffer buffer, int bytes) {
        if (buffer.remaining() >= bytes) {
            return buffer;
        }
        int capacity = 2 * (buffer.position() + bytes);
        return ByteBuffer.allocate(capacity).put(buffer.flip());
    }

    /** Removes and returns all that was added; empty where nothing was. */
    Optional<ByteBuffer> take() {
        Optional<ByteBuffer> all = joined.isPresent() ? joined.map(ByteBuffer::flip) : single;
        single = Optional.empty();
        joined = Optional.empty();
        return all;
    }
}
