package cypressglade.nbd;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Splits a byte stream into consecutive sections, such as headers and payloads, whose lengths its
 * user gives one at a time. The stream may arrive split at any byte. Not thread-safe.
 */
final class SectionReader {
    private ByteBuffer section = ByteBuffer.allocate(0);
    private Handler handler;
    private long bytesToSkip;
    private boolean paused;

    /** Handles one whole section and sets the next with {@link #expect}. */
    interface Handler {
        void handle(ByteBuffer section) throws IOException;
    }

    /**
     * Sets length and handler of the next section. The length is allocated at once, so the caller
     * has to check it against a limit first.
     */
    void expect(int length, Handler next) {
        section = ByteBuffer.allocate(length);
        handler = next;
    }

    /** Skips this many bytes before the next section. */
    void skip(long bytes) {
        bytesToSkip = bytes;
    }

    /** Stops handling sections until {@link #resume}. */
    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
    }

    boolean isPaused() {
        return paused;
    }

    /**
     * Consumes received bytes; while paused, or once no section is expected, leaves the rest in the
     * buffer.
     */
    void feed(ByteBuffer in) throws IOException {
        while (!paused) {
            int skipped = (int) Math.min(bytesToSkip, in.remaining());
            in.position(in.position() + skipped);
            bytesToSkip -= skipped;
            int copied = Math.min(section.remaining(), in.remaining());
            section.put(in.slice(in.position(), copied));
            in.position(in.position() + copied);
            if (bytesToSkip > 0 || section.hasRemaining()) {
                return;
            }
            Handler current = handler;
            handler = null;
            current.handle(section.flip());
            if (handler == null) {
                return; // no further section is expected
            }
        }
    }
}
