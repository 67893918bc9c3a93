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
 * Writes in doubt over a restart. While the program runs the file says so; at a stop in order it
 * gets the writes that are in doubt then. Whoever finds it saying that the program runs knows
 * nothing of what it had sent, and takes all that could be in doubt for it. So nothing is written
 * to the disk for a request.
 */
final class DoubtFile {
    private static final System.Logger LOG = System.getLogger(DoubtFile.class.getName());
    private static final byte[] RUNS = {0};
    private static final byte STOPPED = 1;
    private static final Duration HAND_OVER = Duration.ofMillis(500);

    private final SnapshotStore store;

    DoubtFile(Path directory) {
        store = new SnapshotStore(directory, "doubts");
    }

    /** Hands over what the former life left; all is in doubt where that did not stop in order. */
    void open(Engine engine) {
        boolean first = store.read(Instant.now(), SnapshotStore.ANY_AGE).isEmpty();
        Optional<byte[]> former =
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
                engine.restoreUncertainWrites(former);
            }
        } catch (IllegalArgumentException foreign) {
            LOG.log(Level.WARNING, "writes in doubt cannot be read: {0}", foreign.getMessage());
            engine.restoreUncertainWrites(Optional.empty());
        }
        write(RUNS);
    }

    /** Writes what is in doubt by now; waits a moment for the engine. */
    void close(Engine engine) {
        CompletableFuture<byte[]> seen = new CompletableFuture<>();
        engine.readUncertainWrites(seen::complete);
        try {
            byte[] held = seen.get(HAND_OVER.toMillis(), TimeUnit.MILLISECONDS);
            byte[] body = new byte[held.length + 1];
            body[0] = STOPPED;
            System.arraycopy(held, 0, body, 1, held.length);
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
