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
    private static final int MAX_SIZE_DIGITS = 8;
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
    private final StringBuilder line = new StringBuilder();
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
                readLine((char) (in.get() & 0xff));
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

    private void readLine(char next) throws RejectedRequestException {
        if (next != '\n') {
            line.append(next);
            if (line.length() > MAX_LINE_BYTES) {
                throw malformed("a line among the chunks is too long");
            }
            return;
        }
        int end = line.length();
        String text = line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
        line.setLength(0);
        parseLine(text);
    }

    private void parseLine(String text) throws RejectedRequestException {
        switch (state) {
            case CHUNK_SIZE -> {
                remaining = parseSize(text);
                if (remaining > maxBytes - size) {
                    throw new RejectedRequestException(
                            HttpStatus.CONTENT_TOO_LARGE, "the body is over 64 KiB");
                }
                state = remaining == 0 ? State.TRAILERS : State.DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw malformed("a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                trailerBytes += text.length();
                if (trailerBytes > HeadDecoder.MAX_HEAD_BYTES) {
                    throw malformed("the trailers are too long");
                }
                state = text.isEmpty() ? State.DONE : State.TRAILERS;
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private static int parseSize(String text) throws RejectedRequestException {
        int extension = text.indexOf(';');
        String digits = (extension < 0 ? text : text.substring(0, extension)).trim();
        if (digits.isEmpty()
                || !digits.chars()
                        .allMatch(digit -> digit < 128 && Character.digit(digit, 16) >= 0)) {
            throw malformed("a chunk has no size");
        }
        return digits.length() > MAX_SIZE_DIGITS - 1
                ? Integer.MAX_VALUE
                : Integer.parseInt(digits, 16);
    }

    private static RejectedRequestException malformed(String why) {
        return new RejectedRequestException(HttpStatus.BAD_REQUEST, why);
    }
}
