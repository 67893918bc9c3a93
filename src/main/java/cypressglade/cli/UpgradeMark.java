package cypressglade.cli;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The file by which a process that starts beside another tells it so, and that it takes clients. It
 * is locked for as long as its process lives: the kernel gives the lock back at its death, however
 * early that comes. A process number would not tell: it may be another's by then.
 */
final class UpgradeMark implements AutoCloseable {
    private static final String PREFIX = "coming.";
    private static final String UNFINISHED = "new.";
    private static final String SERVING = "takes clients";

    private final Path file;
    private final FileChannel channel;

    /** Another process's mark: whether it takes clients. */
    record Other(boolean serving) {}

    private UpgradeMark(Path file, FileChannel channel) {
        this.file = file;
        this.channel = channel;
    }

    /**
     * Leaves a mark. It gets its name once it is locked, so that nobody takes it for a dead one's.
     */
    static UpgradeMark leave(Path directory) throws IOException {
        String unique = ProcessHandle.current().pid() + "." + System.nanoTime();
        Path unfinished = directory.resolve(UNFINISHED + unique);
        FileChannel channel =
                FileChannel.open(
                        unfinished, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() == null) {
                throw new IOException(unfinished + " is locked by another");
            }
            Path file =
                    Files.move(
                            unfinished,
                            directory.resolve(PREFIX + unique),
                            StandardCopyOption.ATOMIC_MOVE);
            return new UpgradeMark(file, channel);
        } catch (IOException failed) {
            channel.close();
            Files.deleteIfExists(unfinished);
            throw failed;
        }
    }

    /** Says that this process takes clients. */
    void serving() throws IOException {
        channel.write(ByteBuffer.wrap(SERVING.getBytes(StandardCharsets.US_ASCII)), 0);
    }

    /**
     * The mark of a process that lives, one that takes clients before one that does not; marks of
     * dead ones are removed.
     *
     * @param own this process's mark, which is passed over
     * @throws IOException where the directory cannot be read
     */
    static Optional<Other> other(Path directory, Optional<UpgradeMark> own) throws IOException {
        living(directory, UNFINISHED, own); // of a process that lives it has its name soon
        Optional<Other> found = Optional.empty();
        for (Path mark : living(directory, PREFIX, own)) {
            boolean serving = found.filter(Other::serving).isPresent() || says(mark);
            found = Optional.of(new Other(serving));
        }
        return found;
    }

    /**
     * Files of a kind whose processes live; those of dead ones are removed. This process's own is
     * not touched: to open and close it anywhere in the process would give its lock back (POSIX,
     * fcntl).
     */
    private static List<Path> living(Path directory, String prefix, Optional<UpgradeMark> own)
            throws IOException {
        List<Path> living = new ArrayList<>();
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(directory, prefix + "*")) {
            for (Path mark : marks) {
                if (own.isPresent() && own.get().file.equals(mark)) {
                    continue;
                }
                if (locked(mark)) {
                    living.add(mark);
                } else {
                    Files.deleteIfExists(mark);
                }
            }
        } catch (DirectoryIteratorException unreadable) {
            throw unreadable.getCause();
        }
        return living;
    }

    private static boolean says(Path mark) throws IOException {
        try {
            return Files.readString(mark).equals(SERVING);
        } catch (NoSuchFileException ended) {
            return false; // it was relieved itself, or has ended, since the look at the directory
        }
    }

    private static boolean locked(Path mark) throws IOException {
        try (FileChannel other = FileChannel.open(mark, StandardOpenOption.WRITE);
                FileLock lock = other.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException heldHere) {
            return true; // another in this JVM counts as another process, as in tests
        } catch (NoSuchFileException ended) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file);
        channel.close();
    }
}
