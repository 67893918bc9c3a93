package cypressglade.storm;

import cypressglade.storm.UncertainWrites.Remembered;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The bytes in which writes that may have run are handed to another process. Big-endian: the
 * format, for how long all retries are uncertain, the number of writes, and for each its
 * fingerprint and for how long it is remembered. Spans are in milliseconds: a time of the system
 * clock would mean another one after a step of that clock.
 */
final class UncertainWritesCodec {
    /** Stands first. Formats 1 and 2 held times of the system clock. */
    private static final byte FORMAT = 3;

    private static final int HEADER_BYTES = Byte.BYTES + Long.BYTES + Integer.BYTES;
    private static final int ENTRY_BYTES = 2 * Long.BYTES;

    private UncertainWritesCodec() {}

    /**
     * What is handed over.
     *
     * @param allUncertainFor for how long every retry of a write counts as uncertain
     * @param writes the writes, oldest first
     */
    record Snapshot(Duration allUncertainFor, List<Remembered> writes) {}

    static byte[] encode(Snapshot snapshot) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + snapshot.writes().size() * ENTRY_BYTES);
        out.put(FORMAT)
                .putLong(snapshot.allUncertainFor().toMillis())
                .putInt(snapshot.writes().size());
        snapshot.writes()
                .forEach(
                        write ->
                                out.putLong(write.fingerprint())
                                        .putLong(write.remaining().toMillis()));
        return out.array();
    }

    /**
     * Reads what {@link #encode} returned.
     *
     * @throws IllegalArgumentException where the bytes are not in this format
     */
    static Snapshot decode(byte[] bytes) {
        try {
            return decode(ByteBuffer.wrap(bytes));
        } catch (BufferUnderflowException truncated) {
            throw new IllegalArgumentException(
                    "truncated after " + bytes.length + " bytes", truncated);
        }
    }

    private static Snapshot decode(ByteBuffer in) {
        byte format = in.get();
        if (format != FORMAT) {
            throw new IllegalArgumentException("format " + format + " in place of " + FORMAT);
        }
        Duration allUncertainFor = Duration.ofMillis(in.getLong());
        int count = in.getInt();
        if (count < 0 || in.remaining() != (long) count * ENTRY_BYTES) {
            throw new IllegalArgumentException(count + " writes in " + in.remaining() + " bytes");
        }
        List<Remembered> writes = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            writes.add(new Remembered(in.getLong(), Duration.ofMillis(in.getLong())));
        }
        return new Snapshot(allUncertainFor, writes);
    }
}
