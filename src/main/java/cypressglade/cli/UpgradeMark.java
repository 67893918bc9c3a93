package cypressglade.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The file by which a process that starts beside another tells it so, and that it takes clients.
 */
final class UpgradeMark implements AutoCloseable {
    private static final String PREFIX = "coming.";
    private static final String UNFINISHED = "new.";
    private static final String SERVING = "takes clients";

    private final ProcessFile file;

    /** Another process's mark: whether it takes clients. */
    record Other(boolean serving) {}

    private UpgradeMark(ProcessFile file) {
        this.file = file;
    }

    /** Leaves a mark. */
    static UpgradeMark leave(Path directory) throws IOException {
        return new UpgradeMark(ProcessFile.create(directory, PREFIX, UNFINISHED, new byte[0]));
    }

    /** Says that this process takes clients. */
    void serving() throws IOException {
        file.write(SERVING.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * The mark of a process that lives, one that takes clients before one that does not; marks of
     * dead ones are removed.
     *
     * @param own this process's mark, which is passed over
     * @throws IOException where the directory cannot be read
     */
    static Optional<Other> other(Path directory, Optional<UpgradeMark> own) throws IOException {
        ProcessFile ownFile = own.map(mark -> mark.file).orElse(null);
        living(directory, UNFINISHED, ownFile); // of a process that lives it has its name soon
        Optional<Other> found = Optional.empty();
        for (Path mark : living(directory, PREFIX, ownFile)) {
            boolean serving = found.filter(Other::serving).isPresent() || says(mark);
            found = Optional.of(new Other(serving));
        }
        return found;
    }

    /** Files of a kind whose processes live; those of dead ones are removed. */
    private static List<Path> living(Path directory, String prefix, ProcessFile own)
            throws IOException {
        List<Path> living = new ArrayList<>();
        for (Path mark : ProcessFile.others(directory, prefix, own)) {
            if (ProcessFile.isLocked(mark)) {
                living.add(mark);
            } else {
                Files.deleteIfExists(mark);
            }
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

    @Override
    public void close() throws IOException {
        file.close();
    }
}
