package cypressglade.cli;

import cypressglade.core.Engine;
import cypressglade.snapshot.SnapshotStore;
import cypressglade.snapshot.SnapshotStore.SnapshotFile;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Keeps uncertain writes over a restart. While the program runs the file says so; an orderly stop
 * replaces it by the writes that are uncertain then. Where a start finds that the program was
 * running, nothing is known of what that had sent, and every retry counts as uncertain. So no
 * request waits for the disk.
 */
final class UncertainWritesFile {
    private static final System.Logger LOG = System.getLogger(UncertainWritesFile.class.getName());
    private static final byte[] RUNNING = {0};
    private static final byte STOPPED = 1;
    private static final Duration ENGINE_TIMEOUT = Duration.ofMillis(500);

    private final SnapshotStore store;

    UncertainWritesFile(Path directory) {
        store = new SnapshotStore(directory, "doubts");
    }

    /** Restores what the previous process left; everything is uncertain where that was killed. */
    void open(Engine engine) {
        boolean first = store.read(Instant.now(), SnapshotStore.ANY_AGE).isEmpty();
        Optional<byte[]> previous =
                store.readNewest(
                                Instant.now(),
                                SnapshotStore.ANY_AGE,
                                SnapshotFile::body,
                                (found, why) ->
                                        LOG.log(
                                                Level.WARNING,
                                                "{0} is ignored: {1}",
                                                found.file(),
                                                why))
                        .filter(body -> body.length > 1 && body[0] == STOPPED)
                        .map(body -> Arrays.copyOfRange(body, 1, body.length));
        try {
            if (!first) {
                engine.restoreUncertainWrites(previous);
            }
        } catch (IllegalArgumentException foreign) {
            LOG.log(Level.WARNING, "writes in doubt cannot be read: {0}", foreign.getMessage());
            engine.restoreUncertainWrites(Optional.empty());
        }
        write(RUNNING);
    }

    /** Saves the writes that are uncertain by now; waits at most 500 ms for the engine. */
    void close(Engine engine) {
        CompletableFuture<byte[]> uncertainWrites = new CompletableFuture<>();
        engine.readUncertainWrites(uncertainWrites::complete);
        try {
            byte[] writes = uncertainWrites.get(ENGINE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            byte[] body = new byte[writes.length + 1];
            body[0] = STOPPED;
            System.arraycopy(writes, 0, body, 1, writes.length);
            write(body);
        } catch (ExecutionException | TimeoutException late) {
            LOG.log(
                    Level.WARNING,
                    "writes in doubt are not kept: the next life takes all for it",
                    late);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(byte[] body) {
        try {
            store.write(body, Instant.now());
        } catch (IOException failed) {
            LOG.log(Level.WARNING, "writes in doubt cannot be kept: {0}", failed.toString());
        }
    }
}
