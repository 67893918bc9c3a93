package cypressglade.cli;

import cypressglade.core.Engine;
import cypressglade.storm.OtherProcesses;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Tells the processes of an instance of each other's writes, by a directory that they share. Each
 * has a file of its own there, locked while it lives, which says that it runs; an orderly stop puts
 * its writes in place of that. A process that finds another's lock takes every retry of a write for
 * one that may run twice, as it cannot know the other's writes; one that finds a file without a
 * lock takes the writes over, or, where there are none, does not know what that had sent. So no
 * request waits for the disk to write.
 *
 * <p>{@link #look} belongs to the engine thread once that runs; the other methods to the thread
 * that starts and stops the program.
 */
final class WriteHandover implements OtherProcesses {
    private static final System.Logger LOG = System.getLogger(WriteHandover.class.getName());
    private static final String PREFIX = "writes.";
    private static final String UNFINISHED = "starting.";

    /** Snapshots of programs before this one, which say nothing that can be used. */
    private static final String EARLIER_PREFIX = "doubts.";

    private static final byte[] RUNNING = {0};
    private static final byte STOPPED = 1;
    private static final Duration ENGINE_TIMEOUT = Duration.ofMillis(500);

    private final Path directory;
    private final Set<Path> seenAlive = new HashSet<>();
    private final Set<Path> taken = new HashSet<>(); // whose files the disk did not let go
    private volatile ProcessFile own;
    private volatile boolean hasStopped;
    private String lastFailure = "";

    /**
     * Marks this process as running. To be called before it takes clients.
     *
     * @param directory which all processes of the instance share; created where it is missing
     */
    WriteHandover(Path directory) {
        this.directory = directory;
        mark();
    }

    private void mark() {
        try {
            ProcessFile.createDirectory(directory);
            own = ProcessFile.create(directory, PREFIX, UNFINISHED, RUNNING);
        } catch (IOException refused) {
            logOnce("this process cannot be marked as running", refused);
        }
    }

    @Override
    public Findings look() {
        if (own == null && !hasStopped) {
            mark();
        }
        List<byte[]> handedOver = new ArrayList<>();
        try {
            boolean hasEndedUnknown = takeEarlierSnapshots();
            List<Path> others = ProcessFile.others(directory, PREFIX, own);
            boolean isOneAlive = false;
            for (Path file : others) {
                if (ProcessFile.isLocked(file)) {
                    isOneAlive = true;
                    seenAlive.add(file);
                } else if (!taken.contains(file)) {
                    seenAlive.remove(file);
                    hasEndedUnknown |= !takeOver(file, handedOver);
                }
            }
            // One that was alive and has no file any more was taken over by a third process.
            hasEndedUnknown |= seenAlive.retainAll(others);
            taken.retainAll(others);
            return new Findings(isOneAlive, hasEndedUnknown, handedOver);
        } catch (IOException unreadable) {
            logOnce("the writes of other processes are not known", unreadable);
            return new Findings(true, false, handedOver);
        }
    }

    /** Adds what a process that has ended left; returns false where it said nothing. */
    private boolean takeOver(Path file, List<byte[]> handedOver) throws IOException {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (NoSuchFileException takenByAnother) {
            return false;
        }
        boolean isStopped = content.length > 1 && content[0] == STOPPED;
        if (isStopped) {
            handedOver.add(Arrays.copyOfRange(content, 1, content.length));
        }
        taken.add(file);
        remove(file);
        return isStopped;
    }

    /**
     * Removes a file whose writes this process answers for from now on: by its own file, which has
     * to be there.
     */
    private void remove(Path file) throws IOException {
        if (own != null) {
            Files.deleteIfExists(file);
        }
    }

    private boolean takeEarlierSnapshots() throws IOException {
        boolean hasFound = false;
        for (Path file : ProcessFile.others(directory, EARLIER_PREFIX, null)) {
            hasFound |= taken.add(file);
            remove(file);
        }
        return hasFound;
    }

    /** Hands over the writes that could come again; waits at most 500 ms for the engine. */
    void stop(Engine engine) {
        hasStopped = true;
        CompletableFuture<byte[]> serialized = new CompletableFuture<>();
        engine.readWrites(serialized::complete);
        try {
            byte[] writes = serialized.get(ENGINE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            byte[] content = new byte[writes.length + 1];
            content[0] = STOPPED;
            System.arraycopy(writes, 0, content, 1, writes.length);
            if (own != null) {
                own.replaceForGood(UNFINISHED, content);
            }
        } catch (ExecutionException | TimeoutException late) {
            LOG.log(Level.WARNING, "writes are not handed over: the next process doubts all", late);
        } catch (IOException refused) {
            logOnce("writes are not handed over: the next process doubts all", refused);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
    }

    /** Gives the file back as the end of this process would. */
    void release() {
        hasStopped = true;
        try {
            if (own != null) {
                own.release();
            }
        } catch (IOException gone) {
            LOG.log(Level.DEBUG, "closing the file of this process", gone);
        }
    }

    private void logOnce(String what, IOException failure) {
        if (!lastFailure.equals(failure.toString())) {
            lastFailure = failure.toString();
            LOG.log(Level.WARNING, "{0}: {1}", what, lastFailure);
        }
    }
}
