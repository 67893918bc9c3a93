package cypressglade.cli;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;

/**
 * A file that is locked for as long as its process lives: the kernel gives the lock back at its
 * death, however early that comes. A process number would not tell: it may be another's by then.
 */
final class ProcessFile implements AutoCloseable {
    private final Path path;
    private final FileChannel channel;

    private ProcessFile(Path path, FileChannel channel) {
        this.path = path;
        this.channel = channel;
    }

    /** Creates a directory for such files, for this user alone, where it is missing. */
    static void createDirectory(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            Files.createDirectories(
                    directory,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString("rwx------")));
        }
    }

    /**
     * Creates a file. It gets its name once it is locked and written, so that nobody takes it for a
     * dead one's.
     *
     * @param prefix what its name starts with
     * @param unfinishedPrefix what its name starts with before
     * @param content what stands in it
     */
    static ProcessFile create(
            Path directory, String prefix, String unfinishedPrefix, byte[] content)
            throws IOException {
        String unique = ProcessHandle.current().pid() + "." + System.nanoTime();
        Path unfinished = directory.resolve(unfinishedPrefix + unique);
        FileChannel channel =
                FileChannel.open(
                        unfinished, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() == null) {
                throw new IOException(unfinished + " is locked by another");
            }
            writeWhole(channel, content);
            Path path =
                    Files.move(
                            unfinished,
                            directory.resolve(prefix + unique),
                            StandardCopyOption.ATOMIC_MOVE);
            return new ProcessFile(path, channel);
        } catch (IOException failed) {
            channel.close();
            Files.deleteIfExists(unfinished);
            throw failed;
        }
    }

    private static void writeWhole(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(content);
        while (bytes.hasRemaining()) {
            channel.write(bytes, bytes.position());
        }
    }

    Path path() {
        return path;
    }

    /** Writes over what stands at the start. */
    void write(byte[] content) throws IOException {
        writeWhole(channel, content);
    }

    /**
     * Puts another file in place of this one, whole or not at all; it is not locked, as that of a
     * process that has ended.
     */
    void replaceForGood(String unfinishedPrefix, byte[] content) throws IOException {
        Path unfinished = path.resolveSibling(unfinishedPrefix + path.getFileName());
        try (FileChannel next =
                FileChannel.open(
                        unfinished, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            writeWhole(next, content);
            next.force(true);
            Files.move(unfinished, path, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException failed) {
            Files.deleteIfExists(unfinished);
            throw failed;
        }
    }

    /** Gives the lock back and leaves the file, as the end of this process would. */
    void release() throws IOException {
        channel.close();
    }

    /** Removes the file. */
    @Override
    public void close() throws IOException {
        Files.deleteIfExists(path);
        channel.close();
    }

    /**
     * Files of a kind in a directory but for this process's own. That one must not be touched: to
     * open and close it anywhere in the process would give its lock back (POSIX, fcntl).
     *
     * @param own this process's file; null where it has none
     */
    static List<Path> others(Path directory, String prefix, ProcessFile own) throws IOException {
        List<Path> others = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, prefix + "*")) {
            for (Path file : files) {
                if (own == null || !own.path.equals(file)) {
                    others.add(file);
                }
            }
        } catch (DirectoryIteratorException unreadable) {
            throw unreadable.getCause();
        }
        return others;
    }

    /** Whether the process of a file lives. */
    static boolean isLocked(Path file) throws IOException {
        try (FileChannel other = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = other.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException heldHere) {
            return true; // another in this JVM counts as another process, as in tests
        } catch (NoSuchFileException ended) {
            return false;
        }
    }
}
