package cypressglade.snapshot;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.snapshot.SnapshotStore.Fault;
import cypressglade.snapshot.SnapshotStore.SnapshotFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against damaged or outdated files that are read as valid, and against a lost spare. */
class SnapshotStoreTest {
    private static final Instant WALL = Instant.parse("2026-06-01T12:00:00Z");
    private static final Duration MAX_AGE = Duration.ofMinutes(2);

    @TempDir private Path directory;
    private SnapshotStore store;
    private Path current;

    @BeforeEach
    void write() throws IOException {
        store = new SnapshotStore(directory, "x");
        current = directory.resolve("x.snap");
        store.write(new byte[] {1}, WALL);
        store.write(new byte[] {2, 2}, WALL);
    }

    private List<Fault> faults() {
        return store.read(WALL, MAX_AGE).stream().map(SnapshotFile::fault).toList();
    }

    @Test
    void theTwoNewestSnapshotsAreKept() throws IOException {
        store.write(new byte[] {3}, WALL);
        assertThat(store.read(WALL.plusSeconds(5), MAX_AGE))
                .extracting(found -> found.body()[0])
                .containsExactly((byte) 3, (byte) 2);
        assertThat(store.read(WALL.plusSeconds(5), MAX_AGE).get(0).age())
                .isEqualTo(Duration.ofSeconds(5));
        assertThat(Files.getPosixFilePermissions(current)).hasSize(2);
    }

    /** Truncates the newest file at each byte, and flips one bit of each byte. */
    @Test
    void truncatedAndChangedFilesAreNeverAccepted() throws IOException {
        byte[] whole = Files.readAllBytes(current);
        for (int i = 0; i < whole.length; i++) {
            Files.write(current, java.util.Arrays.copyOf(whole, i));
            assertThat(faults()).as("cut at " + i).hasSize(2).first().isNotEqualTo(Fault.NONE);
            byte[] changed = whole.clone();
            changed[i] ^= 4;
            Files.write(current, changed);
            assertThat(faults()).as("changed at " + i).hasSize(2).first().isNotEqualTo(Fault.NONE);
            assertThat(faults().get(1)).isEqualTo(Fault.NONE);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, NONE",
        "120, NONE",
        "121, TOO_OLD",
        "-1, NONE",
        "-3, FROM_THE_FUTURE",
        "-600, FROM_THE_FUTURE"
    })
    void filesThatAreTooOldOrFromTheFutureAreRejected(int seconds, Fault fault) {
        assertThat(store.read(WALL.plusSeconds(seconds), MAX_AGE))
                .extracting(SnapshotFile::fault)
                .containsOnly(fault);
    }

    /**
     * A crash while the temporary file is written, one between the two renames, and a directory in
     * place of the file.
     */
    @Test
    void crashAtAnyStepLeavesAUsableSnapshot() throws IOException {
        Files.write(directory.resolve("x.snap.tmp"), new byte[] {9});
        assertThat(faults()).containsExactly(Fault.NONE, Fault.NONE);
        Files.delete(current);
        assertThat(faults()).containsExactly(Fault.NONE);
        store.write(new byte[] {4}, WALL);
        assertThat(faults()).containsExactly(Fault.NONE, Fault.NONE);
        Files.delete(current);
        Files.createDirectory(current);
        assertThat(faults()).containsExactly(Fault.UNREADABLE, Fault.NONE);
    }
}
