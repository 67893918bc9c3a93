package cypressglade.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Cuts a stream into the JSON objects that it holds, one after the other, wherever its bytes were
 * split and over however many lines an object comes. Only where one ends is found here; its reader
 * knows what it says.
 */
final class JsonFraming {
    private static final int MOST_OBJECT = 1 << 20;
    private static final int FIRST_TEXT_BYTE = ' ';

    /** Takes what is whole; a failure ends the stream. */
    interface Handler {
        /** One object, from its first brace to its last. */
        void object(byte[] text) throws IOException;

        /** A line that ended outside any object: a sign of life. */
        void lineRead();
    }

    private final JsonFraming.Handler taker;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    JsonFraming(JsonFraming.Handler taker) {
        this.taker = taker;
    }

    /**
     * Takes the next bytes.
     *
     * @throws IOException where they are no such stream, or an object is too long
     */
    void feed(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (depth == 0) {
                between(next);
            } else {
                within(next);
            }
        }
    }

    private void between(byte next) throws IOException {
        if (next == '{') {
            object.write(next);
            depth = 1;
        } else if (next == '\n') {
            taker.lineRead();
        } else if (next != ' ' && next != '\t' && next != '\r') {
            throw new IOException("not a JSON object");
        }
    }

    private void within(byte next) throws IOException {
        if (object.size() == MOST_OBJECT) {
            throw new IOException("an object is too long");
        }
        object.write(next);
        if (inString) {
            // An object that is cut short must not swallow those behind it: no string holds a
            // line's end.
            if (next >= 0 && next < FIRST_TEXT_BYTE) {
                throw new IOException("a control character in a string");
            }
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else {
            switch (next) {
                case '"' -> inString = true;
                case '{', '[' -> depth++;
                case '}', ']' -> depth--;
                default -> {}
            }
            if (depth == 0) {
                byte[] whole = object.toByteArray();
                object.reset();
                taker.object(whole);
            }
        }
    }
}
