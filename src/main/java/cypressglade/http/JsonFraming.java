package cypressglade.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Splits a stream of concatenated JSON objects (RFC 8259) into single objects. The input may be
 * split at any byte, and an object may span any number of lines. It finds only where an object
 * ends; the handler parses and validates it.
 */
final class JsonFraming {
    private static final int MAX_OBJECT_BYTES = 1 << 20;
    private static final int FIRST_PRINTABLE_BYTE = ' ';

    /** Receives complete elements of the stream; an exception ends the stream. */
    interface Handler {
        /**
         * A complete object, from its first brace to its last.
         *
         * @throws IOException where the object is not valid
         */
        void object(byte[] text) throws IOException;

        /** The end of a line outside any object: a keep-alive message. */
        void lineRead();
    }

    private final Handler handler;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean isInString;
    private boolean isEscaped;

    /** Creates a splitter at the start of a stream. */
    JsonFraming(Handler handler) {
        this.handler = handler;
    }

    /**
     * Reads the next bytes.
     *
     * @throws IOException where the stream is malformed, an object is longer than 1 MiB, or the
     *     handler throws
     */
    void feed(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (depth == 0) {
                readBetweenObjects(next);
            } else {
                readObjectByte(next);
            }
        }
    }

    private void readBetweenObjects(byte next) throws IOException {
        if (next == '{') {
            object.write(next);
            depth = 1;
        } else if (next == '\n') {
            handler.lineRead();
        } else if (next != ' ' && next != '\t' && next != '\r') {
            throw new IOException("not a JSON object");
        }
    }

    private void readObjectByte(byte next) throws IOException {
        if (object.size() == MAX_OBJECT_BYTES) {
            throw new IOException("JSON object too long");
        }
        object.write(next);
        if (isInString) {
            // A JSON string cannot hold a line end, so an object that is cut off inside a string
            // does not swallow the objects after it.
            if (next >= 0 && next < FIRST_PRINTABLE_BYTE) {
                throw new IOException("control character in a JSON string");
            }
            isInString = isEscaped || next != '"';
            isEscaped = !isEscaped && next == '\\';
        } else {
            switch (next) {
                case '"' -> isInString = true;
                case '{', '[' -> depth++;
                case '}', ']' -> depth--;
                default -> {}
            }
            if (depth == 0) {
                byte[] whole = object.toByteArray();
                object.reset();
                handler.object(whole);
            }
        }
    }
}
