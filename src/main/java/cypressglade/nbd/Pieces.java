package cypressglade.nbd;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Gathers a stream, split at any byte, into pieces whose lengths the reader names one at a time.
 */
final class Pieces {
    private ByteBuffer piece = ByteBuffer.allocate(0);
    private Step step;
    private long toSkip;
    private boolean held;

    /** Takes one piece and names the next with {@link #expect}. */
    interface Step {
        void take(ByteBuffer piece) throws IOException;
    }

    /** The next piece; whoever names a length has bounded it. */
    void expect(int length, Step next) {
        piece = ByteBuffer.allocate(length);
        step = next;
    }

    /** Passes over so many bytes before the next piece. */
    void skip(long bytes) {
        toSkip = bytes;
    }

    /** Takes no further piece until {@link #release}. */
    void hold() {
        held = true;
    }

    void release() {
        held = false;
    }

    boolean isHeld() {
        return held;
    }

    /** Takes what came; leaves in the buffer what it may not take yet. */
    void feed(ByteBuffer in) throws IOException {
        while (!held) {
            int passed = (int) Math.min(toSkip, in.remaining());
            in.position(in.position() + passed);
            toSkip -= passed;
            int part = Math.min(piece.remaining(), in.remaining());
            piece.put(in.slice(in.position(), part));
            in.position(in.position() + part);
            if (toSkip > 0 || piece.hasRemaining()) {
                return;
            }
            Step done = step;
            step = null;
            done.take(piece.flip());
            if (step == null) {
                return; // the reader wants no more
            }
        }
    }
}
