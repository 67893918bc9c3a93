package cypressglade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads one HTTP/1.1 answer, split at any byte; hands on the body as it comes. It takes nothing on
 * trust: where an answer ends must be told plainly, and what cannot be read is found at its first
 * wrong byte, since nothing more may ever come on its connection.
 */
final class ResponseParser {
    private static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_DIGITS = 15;
    private static final String START = "HTTP/1.";
    private static final String NAME_SIGNS = "!#$%&'*+-.^_`|~";

    /** Takes parts of a body; a failure ends the answer. */
    interface BodyConsumer {
        void accept(ByteBuffer part) throws IOException;
    }

    private enum Part {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_END,
        DONE
    }

    private final ResponseParser.BodyConsumer body;
    private final long mostBody;
    private final StringBuilder line = new StringBuilder();
    private Part part = Part.STATUS;
    private int headBytes;
    private int status;
    private long left = -1;
    private long length = -1;
    private long taken;
    private boolean chunked;
    private boolean close;
    private boolean neverRan;
    private String volumeLoad = "",
            otherHosts = "",
            metrics = ""; // what the answer tells beside itself

    /** A reader of an answer with a body of so many bytes at most. */
    ResponseParser(ResponseParser.BodyConsumer body, long mostBody) {
        this.body = body;
        this.mostBody = mostBody;
    }

    /**
     * Takes what has come; true once the answer is whole. Bytes after its end stay in the buffer.
     */
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
    boolean readEndOfStream() {
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

    /** Whether the answer was read to its end. */
    boolean isComplete() {
        return part == Part.DONE;
    }

    /**
     * The heads {@code Volume-Load}, {@code Other-Hosts} and {@code Endpoint-Load-Metrics}, ""
     * where absent.
     */
    LoadReport report() {
        return new LoadReport(volumeLoad, otherHosts, metrics);
    }

    /** Whether the connection may carry another request. */
    boolean isReusable() {
        return part == Part.DONE && !close;
    }

    private void take(ByteBuffer in) throws IOException {
        int length = part == Part.TO_END ? in.remaining() : (int) Math.min(left, in.remaining());
        taken = bounded(taken + length);
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
                String text =
                        line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
                line.setLength(0);
                return text;
            }
            line.append(next);
            if (!begins(next)) {
                throw new IOException("the answer cannot be read");
            }
        }
        return null;
    }

    /** Whether a line may go on so far as it has come, by its last character. */
    private boolean begins(char last) {
        int at = line.length() - 1;
        return switch (part) {
            case STATUS -> at >= START.length() || START.charAt(at) == last;
            case CHUNK_SIZE -> at > 0 || Character.digit(last, 16) >= 0;
            case CHUNK_END -> at == 0 && last == '\r';
            default -> true; // a header that nobody uses may say what it likes
        };
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
                left = number(text.replaceFirst(";.*", "").trim(), 16);
                bounded(taken + left);
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
        if (colon <= 0 || !text.chars().limit(colon).allMatch(ResponseParser::inName)) {
            throw new IOException("a header without a name");
        }
        String value = text.substring(colon + 1).trim();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                left = bounded(number(value, 10));
                if (chunked || length >= 0 && length != left) {
                    throw new IOException("the answer has two ends");
                }
                length = left;
            }
            case "transfer-encoding" -> {
                chunked = value.equalsIgnoreCase("chunked");
                if (!chunked || length >= 0) {
                    throw new IOException("the answer's end is not plain");
                }
            }
            case "connection" -> close |= value.equalsIgnoreCase("close");
            case "x-never-ran" -> neverRan = value.equals("1");
            case "volume-load" -> volumeLoad = value;
            case "other-hosts" -> otherHosts = value;
            case "endpoint-load-metrics" -> metrics = value;
            default -> {}
        }
    }

    private void endOfHead() throws IOException {
        if (status == 101) {
            throw new IOException("nobody asked for another protocol");
        }
        if (status < 200) { // nothing that it said holds for the answer behind it
            part = Part.STATUS;
            left = -1;
            length = -1;
            chunked = false;
            neverRan = false;
            volumeLoad = otherHosts = metrics = "";
        } else if (status == 204 || status == 304) {
            part = Part.DONE;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (left >= 0) {
            part = left == 0 ? Part.DONE : Part.BODY;
        } else if (close) {
            part = Part.TO_END;
        } else { // connections stay open, so this one would never end
            throw new IOException("the answer has no end");
        }
    }

    private static boolean inName(int sign) {
        return sign < 128 && Character.isLetterOrDigit(sign) || NAME_SIGNS.indexOf(sign) >= 0;
    }

    private long bounded(long size) throws IOException {
        if (size > mostBody) {
            throw new IOException("the answer is too long");
        }
        return size;
    }

    private static long number(String text, int radix) throws IOException {
        if (text.isEmpty()
                || text.length() > MOST_DIGITS
                || !text.chars()
                        .allMatch(sign -> sign < 128 && Character.digit(sign, radix) >= 0)) {
            throw new IOException("not a length: " + text);
        }
        return Long.parseLong(text, radix);
    }

    static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
