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
 * One state in one directory: {@code NAME.snap} and, one older, {@code NAME.snap.1}. A write goes
 * to a temporary file, is forced to the disk, and takes the place of the last by rename, so that a
 * stop at any step leaves at least one whole generation. A file is a head (magic, version, time of
 * writing in milliseconds since the epoch, length of the body), the body, and the CRC-32C (RFC
 * 3720, B.4) of both.
 *
 * <p>Writes must not come from two threads at a time. They block on the disk.
 */
public final class SnapshotStore {
    private static final byte[] MAGIC = "cgsnap".getBytes(StandardCharsets.US_ASCII);
    private static final short VERSION = 1;
    private static final int HEAD = MAGIC.length + Short.BYTES + Long.BYTES + Integer.BYTES;
    private static final int MOST_BODY = 16 << 20;
    private static final Duration CLOCK_STEP = Duration.ofSeconds(2);
    private static final Set<PosixFilePermission> OWNER =
            EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    /**
     * However long ago it was written, and also where the wall clock was stepped back since: for
     * what operators decided, which holds until they decide anew.
     */
    public static final Duration ANY_AGE = Duration.ofDays(36_500);

    private final Path directory;
    private final Path current;
    private final Path before;
    private final Path temporary;

    /** Why a file is of no use. */
    public enum Fault {
        NONE,
        TORN,
        FOREIGN,
        TOO_OLD,
        FROM_THE_FUTURE,
        UNREADABLE
    }

    /**
     * One generation that was there.
     *
     * @param age by the wall clock, never negative
     * @param body what was written; empty where there is a fault
     */
    public record SnapshotFile(Path file, Fault fault, Duration age, byte[] body) {}

    /** Makes a state of a body. */
    public interface Reader<T> {
        /**
         * @throws IOException where it cannot; its message says why
         */
        T read(SnapshotFile found) throws IOException;
    }

    public SnapshotStore(Path directory, String name) {
        this.directory = directory;
        current = directory.resolve(name + ".snap");
        before = directory.resolve(name + ".snap.1");
        temporary = directory.resolve(name + ".snap.tmp");
    }

    /** Writes a new generation, and returns when it will outlive a loss of power. */
    public void write(byte[] body, Instant wall) throws IOException {
        ByteBuffer file =
                ByteBuffer.allocate(HEAD + body.length + Integer.BYTES)
                        .put(MAGIC)
                        .putShort(VERSION)
                        .putLong(wall.toEpochMilli())
                        .putInt(body.length)
                        .put(body);
        file.putInt(checksum(file.array(), HEAD + body.length)).flip();
        try (FileChannel out =
                FileChannel.open(
                        temporary,
                        Set.of(
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE,
                                StandardOpenOption.TRUNCATE_EXISTING),
                        PosixFilePermissions.asFileAttribute(OWNER))) {
            while (file.hasRemaining()) {
                out.write(file);
            }
            out.force(true);
        }
        if (Files.exists(current)) {
            Files.move(
                    current,
                    before,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }
        Files.move(
                temporary,
                current,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** The generations that are there, the newest first, each judged by itself. */
    public List<SnapshotFile> read(Instant wall, Duration mostAge) {
        List<SnapshotFile> found = new ArrayList<>();
        for (Path file : List.of(current, before)) {
            try {
                found.add(judge(file, bytes(file), wall, mostAge));
            } catch (NoSuchFileException none) {
                continue; // the first start, or a stop between two renames
            } catch (IOException unreadable) {
                found.add(new SnapshotFile(file, Fault.UNREADABLE, Duration.ZERO, new byte[0]));
            }
        }
        return found;
    }

    /** The newest generation that can be read; {@code ignored} hears of each before it, and why. */
    public <T> Optional<T> readNewest(
            Instant wall,
            Duration mostAge,
            Reader<T> reader,
            BiConsumer<SnapshotFile, String> ignored) {
        for (SnapshotFile found : read(wall, mostAge)) {
            if (found.fault() != Fault.NONE) {
                ignored.accept(found, found.fault().name());
                continue;
            }
            try {
                return Optional.of(reader.read(found));
            } catch (IOException unreadable) {
                ignored.accept(found, unreadable.getMessage());
            }
        }
        return Optional.empty();
    }

    private static ByteBuffer bytes(Path file) throws IOException {
        if (Files.size(file) > HEAD + MOST_BODY + Integer.BYTES) {
            return ByteBuffer.allocate(0);
        }
        return ByteBuffer.wrap(Files.readAllBytes(file));
    }

    private static SnapshotFile judge(Path file, ByteBuffer in, Instant wall, Duration mostAge) {
        Fault fault = Fault.NONE;
        Duration age = Duration.ZERO;
        byte[] body = new byte[0];
        byte[] magic = new byte[Math.min(MAGIC.length, in.remaining())];
        in.get(magic);
        if (!Arrays.equals(magic, MAGIC)
                || in.remaining() >= Short.BYTES && in.getShort() != VERSION) {
            fault = Fault.FOREIGN;
        } else if (in.limit() < HEAD + Integer.BYTES) {
            fault = Fault.TORN;
        } else {
            Instant written = Instant.ofEpochMilli(in.getLong());
            int length = in.getInt();
            if (length != in.remaining() - Integer.BYTES
                    || in.getInt(HEAD + length) != checksum(in.array(), HEAD + length)) {
                fault = Fault.TORN;
            } else if (!mostAge.equals(ANY_AGE) && written.isAfter(wall.plus(CLOCK_STEP))) {
                fault = Fault.FROM_THE_FUTURE;
            } else {
                age = written.isAfter(wall) ? Duration.ZERO : Duration.between(written, wall);
                fault = age.compareTo(mostAge) > 0 ? Fault.TOO_OLD : Fault.NONE;
                body =
                        fault == Fault.NONE
                                ? Arrays.copyOfRange(in.array(), HEAD, HEAD + length)
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
