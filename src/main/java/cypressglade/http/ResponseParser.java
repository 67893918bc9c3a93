package cypressglade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * An incremental parser of one HTTP/1.1 response (RFC 9112), whose input may be split at any byte.
 * It passes on the body as it arrives. It is strict: the end of the response must be unambiguous,
 * and a malformed response is detected at its first wrong byte, since nothing more may ever arrive
 * on its connection.
 */
final class ResponseParser {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_LENGTH_DIGITS = 15;
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final String HEADER_NAME_PUNCTUATION = "!#$%&'*+-.^_`|~";

    /** Receives fragments of a body. */
    interface BodyConsumer {
        /**
         * Takes the next fragment; the buffer is valid only during the call.
         *
         * @throws IOException to abort the response
         */
        void accept(ByteBuffer fragment) throws IOException;
    }

    private enum State {
        STATUS_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        BODY_TO_END_OF_STREAM,
        DONE
    }

    private final BodyConsumer body;
    private final long maxBodyBytes;
    private final StringBuilder line = new StringBuilder();
    private State state = State.STATUS_LINE;
    private int headBytes;
    private int status;
    private long remaining = -1;
    private long length = -1;
    private long bodyBytes;
    private boolean chunked;
    private boolean closesConnection;
    private boolean neverRan;
    private String volumeLoad = "", otherHosts = "", loadMetrics = ""; // load report headers

    /**
     * Creates a parser for one response.
     *
     * @param maxBodyBytes a longer body is an error
     */
    ResponseParser(BodyConsumer body, long maxBodyBytes) {
        this.body = body;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Parses the next input. Bytes after the end of the response stay in the buffer.
     *
     * @return whether the response is complete
     * @throws IOException where the response is malformed or its body is too long
     */
    boolean feed(ByteBuffer in) throws IOException {
        while (state != State.DONE && in.hasRemaining()) {
            switch (state) {
                case BODY, CHUNK, BODY_TO_END_OF_STREAM -> readBody(in);
                default -> {
                    String text = readLine(in);
                    if (text != null) {
                        parseLine(text);
                    }
                }
            }
        }
        return state == State.DONE;
    }

    /** Handles the end of the stream; returns whether the response is complete by it. */
    boolean readEndOfStream() {
        if (state == State.BODY_TO_END_OF_STREAM) {
            state = State.DONE;
        }
        return state == State.DONE;
    }

    /** Whether the head of the final response has been read. */
    boolean hasHead() {
        return state.compareTo(State.BODY) >= 0;
    }

    /** The status code, once the status line has been read. */
    int status() {
        return status;
    }

    /** The body's length in bytes as the head gives it, or -1 where it gives none. */
    long length() {
        return chunked ? -1 : length;
    }

    /** Whether the node says ({@code X-Never-Ran: 1}) that the request was not executed. */
    boolean neverRan() {
        return neverRan;
    }

    /** Whether the response was read to its end. */
    boolean isComplete() {
        return state == State.DONE;
    }

    /**
     * The headers {@code Volume-Load}, {@code Other-Hosts} and {@code Endpoint-Load-Metrics}; ""
     * where one is absent.
     */
    LoadReport report() {
        return new LoadReport(volumeLoad, otherHosts, loadMetrics);
    }

    /** Whether the response is complete and the connection may carry another request. */
    boolean isReusable() {
        return state == State.DONE && !closesConnection;
    }

    private void readBody(ByteBuffer in) throws IOException {
        int length =
                state == State.BODY_TO_END_OF_STREAM
                        ? in.remaining()
                        : (int) Math.min(remaining, in.remaining());
        bodyBytes = checkBodyLength(bodyBytes + length);
        body.accept(in.slice(in.position(), length));
        in.position(in.position() + length);
        remaining -= length;
        if (remaining == 0 && state != State.BODY_TO_END_OF_STREAM) {
            state = state == State.BODY ? State.DONE : State.CHUNK_END;
        }
    }

    private String readLine(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            char next = (char) (in.get() & 0xff);
            if (++headBytes > MAX_HEAD_BYTES) {
                throw new IOException("response head too long");
            }
            if (next == '\n') {
                int end = line.length();
                String text =
                        line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
                line.setLength(0);
                return text;
            }
            line.append(next);
            if (!isPlausible(next)) {
                throw new IOException("malformed response");
            }
        }
        return null;
    }

    /** Whether the line read so far can become a valid one, judged by its last character. */
    private boolean isPlausible(char last) {
        int at = line.length() - 1;
        return switch (state) {
            case STATUS_LINE -> at >= VERSION_PREFIX.length() || VERSION_PREFIX.charAt(at) == last;
            case CHUNK_SIZE -> at > 0 || Character.digit(last, 16) >= 0;
            case CHUNK_END -> at == 0 && last == '\r';
            default -> true; // headers that are not used are not checked
        };
    }

    private void parseLine(String text) throws IOException {
        switch (state) {
            case STATUS_LINE -> {
                if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
                    throw new IOException("not an HTTP status line");
                }
                status = Integer.parseInt(text.substring(9, 12));
                closesConnection = text.startsWith("HTTP/1.0");
                state = State.HEADERS;
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    endHead();
                } else {
                    parseHeader(text);
                }
            }
            case CHUNK_SIZE -> {
                headBytes = 0;
                remaining = parseLength(withoutExtension(text).trim(), 16);
                checkBodyLength(bodyBytes + remaining);
                state = remaining == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new IOException("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> state = text.isEmpty() ? State.DONE : State.TRAILERS;
            default -> throw new IllegalStateException(state.name());
        }
    }

    private static String withoutExtension(String chunkSize) {
        int extension = chunkSize.indexOf(';');
        return extension < 0 ? chunkSize : chunkSize.substring(0, extension);
    }

    private void parseHeader(String text) throws IOException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !text.chars().limit(colon).allMatch(ResponseParser::isHeaderNameChar)) {
            throw new IOException("header without a valid name");
        }
        String value = text.substring(colon + 1).trim();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                remaining = checkBodyLength(parseLength(value, 10));
                if (chunked || length >= 0 && length != remaining) {
                    throw new IOException("conflicting body lengths");
                }
                length = remaining;
            }
            case "transfer-encoding" -> {
                chunked = value.equalsIgnoreCase("chunked");
                if (!chunked || length >= 0) {
                    throw new IOException("ambiguous body length");
                }
            }
            case "connection" -> closesConnection |= value.equalsIgnoreCase("close");
            case "x-never-ran" -> neverRan = value.equals("1");
            case "volume-load" -> volumeLoad = value;
            case "other-hosts" -> otherHosts = value;
            case "endpoint-load-metrics" -> loadMetrics = value;
            default -> {}
        }
    }

    private void endHead() throws IOException {
        if (status == 101) {
            throw new IOException("unexpected protocol switch");
        }
        if (status < 200) { // an interim response: its headers do not apply to the final one
            state = State.STATUS_LINE;
            remaining = -1;
            length = -1;
            chunked = false;
            neverRan = false;
            volumeLoad = otherHosts = loadMetrics = "";
        } else if (status == 204 || status == 304) {
            state = State.DONE;
        } else if (chunked) {
            state = State.CHUNK_SIZE;
        } else if (remaining >= 0) {
            state = remaining == 0 ? State.DONE : State.BODY;
        } else if (closesConnection) {
            state = State.BODY_TO_END_OF_STREAM;
        } else { // the connection stays open, so the body would never end
            throw new IOException("response without a body length");
        }
    }

    private static boolean isHeaderNameChar(int character) {
        return character < 128 && Character.isLetterOrDigit(character)
                || HEADER_NAME_PUNCTUATION.indexOf(character) >= 0;
    }

    private long checkBodyLength(long size) throws IOException {
        if (size > maxBodyBytes) {
            throw new IOException("response body too long");
        }
        return size;
    }

    private static long parseLength(String text, int radix) throws IOException {
        if (text.isEmpty()
                || text.length() > MAX_LENGTH_DIGITS
                || !text.chars()
                        .allMatch(
                                character ->
                                        character < 128
                                                && Character.digit(character, radix) >= 0)) {
            throw new IOException("invalid length: " + text);
        }
        return Long.parseLong(text, radix);
    }

    /** The text as ISO 8859-1 bytes. */
    static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
