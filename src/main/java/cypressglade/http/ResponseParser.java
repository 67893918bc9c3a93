package cypressglade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/** Reads one HTTP/1.1 answer, split at any byte; hands on the body as it comes. */
final class ResponseParser {
    private static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_CHUNK = 1 << 24;

    private enum Part { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, TO_END, DONE }

    private final Consumer<ByteBuffer> body;
    private final StringBuilder line = new StringBuilder();
    private Part part = Part.STATUS;
    private int headBytes;
    private int status;
    private long left = -1;
    private long length = -1;
    private boolean chunked;
    private boolean close;
    private boolean neverRan;

    ResponseParser(Consumer<ByteBuffer> body) {
        this.body = body;
    }

    /** Takes what has come; true once the answer is whole. Bytes after its end stay in the buffer. */
    boolean feed(ByteBuffer in) throws IOException {
        while (part != Part.DONE && in.hasRemaining()) {
            switch (part) {
                case BODY, CHUNK, TO_END -> take(in);
                default -> {
                    String text = line(in);
                    if (text != null) {
                        line(text);
                    }
                }
            }
        }
        return part == Part.DONE;
    }

    /** The connection ended; true if that ends the answer whole. */
    boolean ended() {
        if (part == Part.TO_END) {
            part = Part.DONE;
        }
        return part == Part.DONE;
    }

    int status() {
        return status;
    }

    /** The length of the body, or -1 where none was told. */
    long length() {
        return chunked ? -1 : length;
    }

    boolean neverRan() {
        return neverRan;
    }

    /** Whether the connection may carry another request. */
    boolean reusable() {
        return part == Part.DONE && !close;
    }

    private void take(ByteBuffer in) {
        int length = part == Part.TO_END ? in.remaining() : (int) Math.min(left, in.remaining());
        body.accept(in.slice(in.position(), length));
        in.position(in.position() + length);
        left -= length;
        if (left == 0 && part != Part.TO_END) {
            part = part == Part.BODY ? Part.DONE : Part.CHUNK_END;
        }
    }

    private String line(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            char next = (char) (in.get() & 0xff);
            if (++headBytes > MOST_HEAD) {
                throw new IOException("the head of the answer is too long");
            }
            if (next == '\n') {
                int end = line.length();
                String text = line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
                line.setLength(0);
                return text;
            }
            line.append(next);
        }
        return null;
    }

    private void line(String text) throws IOException {
        switch (part) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
                    throw new IOException("not an HTTP status line");
                }
                status = Integer.parseInt(text.substring(9, 12));
                close = text.startsWith("HTTP/1.0");
                part = Part.HEADERS;
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    endOfHead();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                headBytes = 0;
                left = number(text.replaceFirst(";.*", "").trim(), 16, MOST_CHUNK);
                part = left == 0 ? Part.TRAILERS : Part.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new IOException("a chunk is longer than it says");
                }
                part = Part.CHUNK_SIZE;
            }
            case TRAILERS -> part = text.isEmpty() ? Part.DONE : Part.TRAILERS;
            default -> throw new IllegalStateException(part.name());
        }
    }

    private void header(String text) throws IOException {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new IOException("a header without a name");
        }
        String value = text.substring(colon + 1).trim();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                left = number(value, 10, Integer.MAX_VALUE);
                length = left;
            }
            case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
            case "connection" -> close |= value.equalsIgnoreCase("close");
            case "x-never-ran" -> neverRan = value.equals("1");
            default -> { }
        }
    }

    private void endOfHead() {
        if (status < 200) {
            part = Part.STATUS;
        } else if (status == 204 || status == 304) {
            part = Part.DONE;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (left >= 0) {
            part = left == 0 ? Part.DONE : Part.BODY;
        } else {
            close = true;
            part = Part.TO_END;
        }
    }

    private static long number(String text, int radix, long most) throws IOException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && value <= most && !text.startsWith("+")) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // reported below
        }
        throw new IOException("not a length: " + text);
    }

    static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
