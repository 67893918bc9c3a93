package cypressglade.snapshot;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;

/**
 * Stores one state in a directory: the newest snapshot in {@code NAME.snap} and the one before it
 * in {@code NAME.snap.1}. A write goes to a temporary file, is forced to the disk, and replaces the
 * newest snapshot by rename, so that a crash at any step leaves at least one complete snapshot. A
 * file consists of a header (magic, version, time of writing in milliseconds since the epoch,
 * length of the body), the body, and the CRC-32C (RFC 3720, B.4) of both; numbers are big-endian.
 *
 * <p>Only one thread may write at a time. Reads and writes block on the disk.
 */
public final class SnapshotStore {
    private static final byte[] MAGIC = "cgsnap".getBytes(StandardCharsets.US_ASCII);
    private static final short VERSION = 1;
    private static final int HEADER_BYTES = MAGIC.length + Short.BYTES + Long.BYTES + Integer.BYTES;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(2);
    private static final Set<PosixFilePermission> OWNER_ONLY =
            EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    /**
     * A maximum age that accepts every snapshot, also one from the future, as after the wall clock
     * was stepped back. For operators' decisions, which hold until they are changed.
     */
    public static final Duration ANY_AGE = Duration.ofDays(36_500);

    private final Path directory;
    private final Path current;
    private final Path previous;
    private final Path temporary;

    /** Why a file cannot be used. */
    public enum Fault {
        /** It can be used. */
        NONE,

        /** It is incomplete, or its checksum does not match. */
        TORN,

        /** Its magic or version is not the expected one, or it is too large. */
        FOREIGN,

        /** It is older than the maximum age. */
        TOO_OLD,

        /** Its time of writing is ahead of the wall clock by more than two seconds. */
        FROM_THE_FUTURE,

        /** It cannot be read from the disk. */
        UNREADABLE
    }

    /**
     * One file as read from the disk.
     *
     * @param fault {@link Fault#NONE} where the body can be used
     * @param age by the wall clock, never negative; zero where the time of writing is unknown or in
     *     the future
     * @param body the bytes that were written; empty where there is a fault
     */
    public record SnapshotFile(Path file, Fault fault, Duration age, byte[] body) {}

    /** Decodes the body of a snapshot. */
    public interface Decoder<T> {
        /**
         * @throws IOException where the body cannot be decoded; its message says why
         */
        T decode(SnapshotFile snapshot) throws IOException;
    }

    /**
     * @param directory an existing directory
     * @param name the file name without its extension
     */
    public SnapshotStore(Path directory, String name) {
        this.directory = directory;
        current = directory.resolve(name + ".snap");
        previous = directory.resolve(name + ".snap.1");
        temporary = directory.resolve(name + ".snap.tmp");
    }

    /**
     * Writes a new snapshot and keeps the last as the previous one. Returns once it would survive a
     * loss of power.
     *
     * @param body at most 16 MiB; {@link #read} rejects a longer one
     * @param wall the time of writing
     * @throws IOException where a step fails; if there was a complete snapshot, there still is one
     */
    public void write(byte[] body, Instant wall) throws IOException {
        ByteBuffer file =
                ByteBuffer.allocate(HEADER_BYTES + body.length + Integer.BYTES)
                        .put(MAGIC)
                        .putShort(VERSION)
                        .putLong(wall.toEpochMilli())
                        .putInt(body.length)
                        .put(body);
        file.putInt(checksum(file.array(), HEADER_BYTES + body.length)).flip();
        try (FileChannel out =
                FileChannel.open(
                        temporary,
                        Set.of(
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE,
                                StandardOpenOption.TRUNCATE_EXISTING),
                        PosixFilePermissions.asFileAttribute(OWNER_ONLY))) {
            while (file.hasRemaining()) {
                out.write(file);
            }
            out.force(true);
        }
        if (Files.exists(current)) {
            Files.move(
                    current,
                    previous,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }
        Files.move(
                temporary,
                current,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel entries = FileChannel.open(directory, StandardOpenOption.READ)) {
            entries.force(true);
        }
    }

    /**
     * Reads the files that exist, the newest first, and checks each on its own.
     *
     * @param wall the current time
     * @param maxAge an older file gets {@link Fault#TOO_OLD}
     */
    public List<SnapshotFile> read(Instant wall, Duration maxAge) {
        List<SnapshotFile> files = new ArrayList<>();
        for (Path file : List.of(current, previous)) {
            try {
                files.add(check(file, readBytes(file), wall, maxAge));
            } catch (NoSuchFileException absent) {
                continue; // before the first writes, or after a crash between the two renames
            } catch (IOException unreadable) {
                files.add(new SnapshotFile(file, Fault.UNREADABLE, Duration.ZERO, new byte[0]));
            }
        }
        return files;
    }

    /**
     * Reads and decodes the newest snapshot that can be used.
     *
     * @param wall the current time
     * @param maxAge an older file is skipped
     * @param ignored is called with each newer file that was skipped, and why
     * @return empty where no file can be used
     */
    public <T> Optional<T> readNewest(
            Instant wall,
            Duration maxAge,
            Decoder<T> decoder,
            BiConsumer<SnapshotFile, String> ignored) {
        for (SnapshotFile file : read(wall, maxAge)) {
            if (file.fault() != Fault.NONE) {
                ignored.accept(file, file.fault().name());
                continue;
            }
            try {
                return Optional.of(decoder.decode(file));
            } catch (IOException invalid) {
                ignored.accept(file, invalid.getMessage());
            }
        }
        return Optional.empty();
    }

    private static ByteBuffer readBytes(Path file) throws IOException {
        if (Files.size(file) > HEADER_BYTES + MAX_BODY_BYTES + Integer.BYTES) {
            return ByteBuffer.allocate(0);
        }
        return ByteBuffer.wrap(Files.readAllBytes(file));
    }

    private static SnapshotFile check(Path file, ByteBuffer in, Instant wall, Duration maxAge) {
        Fault fault = Fault.NONE;
        Duration age = Duration.ZERO;
        byte[] body = new byte[0];
        byte[] magic = new byte[Math.min(MAGIC.length, in.remaining())];
        in.get(magic);
        if (!Arrays.equals(magic, MAGIC)
                || in.remaining() >= Short.BYTES && in.getShort() != VERSION) {
            fault = Fault.FOREIGN;
        } else if (in.limit() < HEADER_BYTES + Integer.BYTES) {
            fault = Fault.TORN;
        } else {
            Instant written = Instant.ofEpochMilli(in.getLong());
            int length = in.getInt();
            if (length != in.remaining() - Integer.BYTES
                    || in.getInt(HEADER_BYTES + length)
                            != checksum(in.array(), HEADER_BYTES + length)) {
                fault = Fault.TORN;
            } else if (!maxAge.equals(ANY_AGE) && written.isAfter(wall.plus(MAX_CLOCK_SKEW))) {
                fault = Fault.FROM_THE_FUTURE;
            } else {
                age = written.isAfter(wall) ? Duration.ZERO : Duration.between(written, wall);
                fault = age.compareTo(maxAge) > 0 ? Fault.TOO_OLD : Fault.NONE;
                body =
                        fault == Fault.NONE
                                ? Arrays.copyOfRange(
                                        in.array(), HEADER_BYTES, HEADER_BYTES + length)
                                : body;
            }
        }
        return new SnapshotFile(file, fault, age, body);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }
}
