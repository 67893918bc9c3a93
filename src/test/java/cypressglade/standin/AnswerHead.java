package cypressglade.standin;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Passes an answer on, and keeps its first bytes and the time of its last write. */
final class AnswerHead extends FilterOutputStream {
    private static final int KEPT_BYTES = 512;

    private final StringBuilder start = new StringBuilder();
    private long lastWrite = System.nanoTime();

    AnswerHead(OutputStream out) {
        super(out);
    }

    @Override
    public void write(int next) throws IOException {
        keep(new byte[] {(byte) next}, 0, 1);
        out.write(next);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        keep(bytes, offset, length);
        out.write(bytes, offset, length);
    }

    @Override
    public void flush() throws IOException {
        lastWrite = System.nanoTime();
        super.flush();
    }

    /** When the last write to the connection began, by {@link System#nanoTime}. */
    long lastWrite() {
        return lastWrite;
    }

    private void keep(byte[] bytes, int offset, int length) {
        int count = Math.min(length, KEPT_BYTES - start.length());
        start.append(new String(bytes, offset, Math.max(0, count), StandardCharsets.ISO_8859_1));
    }

    /** Whether the node promises that the request has not run. */
    boolean saysNeverRan() {
        return start.toString().contains("X-Never-Ran: 1");
    }
}
