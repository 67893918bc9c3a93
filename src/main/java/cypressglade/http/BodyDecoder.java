package cypressglade.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of one request, by its length or in chunks (RFC 9112, sections 6 and 7), whose
 * input may be split at any byte. Allocates as the bytes come, whatever length is announced.
 */
final class BodyDecoder {
    private static final int INITIAL_CAPACITY_BYTES = 1024;
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final byte[] NONE = {};

    private enum State {
        DATA,
        CHUNK_SIZE,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private final boolean isChunked;
    private final int maxBytes;
    private final ChunkSizeParser chunkSize = new ChunkSizeParser();
    private int lineBytes; // of the line that is arriving
    private boolean endsWithReturn; // the line as far as it has arrived
    private byte[] bytes = NONE;
    private int size;
    private int remaining; // of the body, or of the chunk
    private int trailerBytes;
    private State state;

    /** A body of this many bytes. */
    static BodyDecoder ofLength(int length) {
        return new BodyDecoder(false, length, length == 0 ? State.DONE : State.DATA);
    }

    /** A body in chunks; one of more bytes than this is rejected. */
    static BodyDecoder chunked(int maxBytes) {
        return new BodyDecoder(true, maxBytes, State.CHUNK_SIZE);
    }

    private BodyDecoder(boolean isChunked, int maxBytes, State state) {
        this.isChunked = isChunked;
        this.maxBytes = maxBytes;
        this.state = state;
        remaining = isChunked ? 0 : maxBytes;
    }

    /** Bytes of heap that are allocated. */
    int capacity() {
        return bytes.length;
    }

    boolean isComplete() {
        return state == State.DONE;
    }

    /** The body, once it is complete. */
    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }

    /**
     * Takes the next input, up to the end of the body.
     *
     * @return whether the body is complete
     * @throws RejectedRequestException where it is too long or its chunks are malformed
     */
    boolean feed(ByteBuffer in) throws RejectedRequestException {
        while (state != State.DONE && in.hasRemaining()) {
            if (state == State.DATA) {
                copyData(in);
            } else {
                readLine(in.get() & 0xff);
            }
        }
        return isComplete();
    }

    private void copyData(ByteBuffer in) {
        int count = Math.min(remaining, in.remaining());
        int required = size + count;
        if (required > bytes.length) {
            int grown = Math.max(INITIAL_CAPACITY_BYTES, 2 * bytes.length);
            bytes = Arrays.copyOf(bytes, Math.max(required, Math.min(maxBytes, grown)));
        }
        in.get(bytes, size, count);
        size = required;
        remaining -= count;
        if (remaining == 0) {
            state = isChunked ? State.CHUNK_END : State.DONE;
        }
    }

    private void readLine(int next) throws RejectedRequestException {
        if (next == '\n') {
            endLine(endsWithReturn ? lineBytes - 1 : lineBytes);
            lineBytes = 0;
            endsWithReturn = false;
            return;
        }
        lineBytes++;
        if (lineBytes > MAX_LINE_BYTES) {
            throw malformed("a line among the chunks is too long");
        }
        endsWithReturn = next == '\r';
        if (state == State.CHUNK_SIZE) {
            chunkSize.feed(next);
        }
    }

    /** Handles a line of so many bytes, without its end. */
    private void endLine(int length) throws RejectedRequestException {
        switch (state) {
            case CHUNK_SIZE -> beginChunk();
            case CHUNK_END -> {
                if (length > 0) {
                    throw malformed("a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                trailerBytes += length;
                if (trailerBytes > HeadDecoder.MAX_HEAD_BYTES) {
                    throw malformed("the trailers are too long");
                }
                state = length == 0 ? State.DONE : State.TRAILERS;
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void beginChunk() throws RejectedRequestException {
        if (!chunkSize.isValid()) {
            throw malformed("a chunk has no size");
        }
        remaining = chunkSize.value();
        chunkSize.reset();
        if (remaining > maxBytes - size) {
            throw new RejectedRequestException(
                    HttpStatus.CONTENT_TOO_LARGE, "the body is over 64 KiB");
        }
        state = remaining == 0 ? State.TRAILERS : State.DATA;
    }

    private static RejectedRequestException malformed(String why) {
        return new RejectedRequestException(HttpStatus.BAD_REQUEST, why);
    }
}
