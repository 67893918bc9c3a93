package cypressglade.storm;

import cypressglade.storm.ClientRequest.Fingerprint;
import cypressglade.storm.UncertainWrites.Entry;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The bytes in which uncertain writes are kept over a restart. Big-endian: the format, the time
 * until which all retries are uncertain, the number of classes with the length and the UTF-8 text
 * of each one's name, the number of writes, and for each its volume, key, class by its place among
 * those names, units, token, first send and expiry. Times are milliseconds of the system clock
 * since the epoch.
 */
final class UncertainWritesCodec {
    /**
     * Stands first. Earlier programs stored a class by its index in their settings, which tells
     * nothing under other settings; their bytes start with a time, of which the first byte is 0.
     */
    private static final byte FORMAT = 2;

    private static final int HEADER_BYTES = Byte.BYTES + Long.BYTES + 2 * Integer.BYTES;
    private static final int ENTRY_BYTES = 5 * Long.BYTES + Integer.BYTES + Double.BYTES;

    private UncertainWritesCodec() {}

    /**
     * What is stored.
     *
     * @param allUncertainUntil time until which every retry of a write counts as uncertain
     * @param entries the writes, oldest first
     */
    record Snapshot(Instant allUncertainUntil, Map<Fingerprint, Entry> entries) {}

    static byte[] encode(Snapshot snapshot) {
        List<String> names =
                snapshot.entries().keySet().stream()
                        .map(Fingerprint::requestClass)
                        .distinct()
                        .toList();
        List<byte[]> texts =
                names.stream().map(name -> name.getBytes(StandardCharsets.UTF_8)).toList();
        int textBytes = texts.stream().mapToInt(text -> Integer.BYTES + text.length).sum();
        ByteBuffer out =
                ByteBuffer.allocate(
                        HEADER_BYTES + textBytes + snapshot.entries().size() * ENTRY_BYTES);
        out.put(FORMAT).putLong(snapshot.allUncertainUntil().toEpochMilli());
        out.putInt(texts.size());
        texts.forEach(text -> out.putInt(text.length).put(text));
        out.putInt(snapshot.entries().size());
        snapshot.entries()
                .forEach(
                        (fingerprint, entry) ->
                                out.putLong(fingerprint.volume())
                                        .putLong(fingerprint.key())
                                        .putInt(names.indexOf(fingerprint.requestClass()))
                                        .putDouble(fingerprint.units())
                                        .putLong(fingerprint.token())
                                        .putLong(entry.firstSent().toEpochMilli())
                                        .putLong(entry.expiry().toEpochMilli()));
        return out.array();
    }

    /**
     * Reads what {@link #encode} returned.
     *
     * @param maxWrites most writes that are accepted
     * @throws IllegalArgumentException where the bytes are not in this format
     */
    static Snapshot decode(byte[] bytes, int maxWrites) {
        try {
            return decode(ByteBuffer.wrap(bytes), maxWrites);
        } catch (BufferUnderflowException truncated) {
            throw new IllegalArgumentException(
                    "truncated after " + bytes.length + " bytes", truncated);
        }
    }

    private static Snapshot decode(ByteBuffer in, int maxWrites) {
        byte format = in.get();
        if (format != FORMAT) {
            throw new IllegalArgumentException("format " + format + " in place of " + FORMAT);
        }
        Instant allUncertainUntil = Instant.ofEpochMilli(in.getLong());
        List<String> names = decodeNames(in, maxWrites);
        int count = in.getInt();
        if (count < 0 || count > maxWrites || in.remaining() != count * ENTRY_BYTES) {
            throw new IllegalArgumentException(count + " writes in " + in.remaining() + " bytes");
        }
        Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Fingerprint fingerprint =
                    new Fingerprint(
                            in.getLong(),
                            in.getLong(),
                            nameAt(names, in.getInt()),
                            in.getDouble(),
                            in.getLong());
            entries.put(
                    fingerprint,
                    new Entry(
                            Instant.ofEpochMilli(in.getLong()),
                            Instant.ofEpochMilli(in.getLong())));
        }
        return new Snapshot(allUncertainUntil, entries);
    }

    private static List<String> decodeNames(ByteBuffer in, int maxNames) {
        int count = in.getInt();
        if (count < 0 || count > maxNames) {
            throw new IllegalArgumentException(count + " classes");
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = in.getInt();
            if (length < 0 || length > in.remaining()) {
                throw new IllegalArgumentException("a name of " + length + " bytes");
            }
            byte[] text = new byte[length];
            in.get(text);
            names.add(new String(text, StandardCharsets.UTF_8));
        }
        return names;
    }

    private static String nameAt(List<String> names, int index) {
        if (index < 0 || index >= names.size()) {
            throw new IllegalArgumentException("class " + index + " of " + names.size());
        }
        return names.get(index);
    }
}
