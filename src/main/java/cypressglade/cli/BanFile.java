package cypressglade.cli;

import cypressglade.operate.ManualDrains;
import cypressglade.snapshot.SnapshotStore;
import cypressglade.snapshot.SnapshotStore.SnapshotFile;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The bans of the operator port on the disk, in the directory that both processes of an upgrade
 * share. A disk that fails for a while loses none: what could not be written or read is tried again
 * by {@link #check}, which also applies what the other process has written. Not safe for use by
 * several threads.
 */
final class BanFile {
    private static final System.Logger LOG = System.getLogger(BanFile.class.getName());
    private static final String NAME = "bans";

    private final SnapshotStore store;
    private final Path file;
    private final ManualDrains drains;
    private Optional<FileTime> seen = Optional.empty();
    private boolean restored;
    private boolean unwritten;
    private boolean failing;

    BanFile(Path directory, ManualDrains drains) {
        store = new SnapshotStore(directory, NAME);
        file = directory.resolve(NAME + ".snap");
        this.drains = drains;
    }

    /** Restores the saved bans; where the disk does not give them, {@link #check} tries again. */
    void restore() {
        List<SnapshotFile> found = store.read(Instant.now(), SnapshotStore.ANY_AGE);
        boolean unreadable =
                found.stream().anyMatch(one -> one.fault() == SnapshotStore.Fault.UNREADABLE);
        found.stream()
                .filter(one -> one.fault() != SnapshotStore.Fault.NONE)
                .forEach(
                        one ->
                                LOG.log(
                                        Level.WARNING,
                                        "{0} is ignored: {1}",
                                        one.file(),
                                        one.fault()));
        found.stream()
                .filter(one -> one.fault() == SnapshotStore.Fault.NONE)
                .findFirst()
                .ifPresent(one -> drains.restoreBans(ids(one)));
        restored = !unreadable;
        seen = modified();
    }

    /** Saves the bans as they are now; logs it and tries again later where the disk fails. */
    void save() {
        unwritten = true;
        if (restored) { // or the bans saved before would be overwritten
            write();
        }
    }

    /**
     * Tries again what the disk refused, and applies what another process has written since.
     *
     * @param shared whether another process serves as this scheduler
     */
    void check(boolean shared) {
        if (!restored) {
            restore();
        }
        if (unwritten && restored) {
            write();
        } else if (shared && !modified().equals(seen)) {
            applyOthersBans();
        }
    }

    private void write() {
        try {
            store.write(
                    String.join("\n", drains.bans()).getBytes(StandardCharsets.UTF_8),
                    Instant.now());
            unwritten = false;
            seen = modified();
            if (failing) {
                failing = false;
                LOG.log(Level.INFO, "bans are kept on the disk again");
            }
        } catch (IOException full) {
            if (!failing) { // a series of failures is logged once, and its end
                failing = true;
                LOG.log(
                        Level.WARNING,
                        "bans hold, but cannot be kept for the next process yet: "
                                + full.getMessage());
            }
        }
    }

    private void applyOthersBans() {
        Optional<FileTime> now = modified();
        store.read(Instant.now(), SnapshotStore.ANY_AGE).stream()
                .filter(one -> one.file().equals(file) && one.fault() == SnapshotStore.Fault.NONE)
                .findFirst()
                .ifPresent(
                        one -> {
                            seen = now;
                            drains.setBans(ids(one));
                            LOG.log(Level.INFO, "bans by the process beside: {0}", drains.bans());
                        });
    }

    private static List<String> ids(SnapshotFile found) {
        String text = new String(found.body(), StandardCharsets.UTF_8);
        return Arrays.stream(text.split("\n")).filter(id -> !id.isBlank()).toList();
    }

    private Optional<FileTime> modified() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (IOException none) {
            return Optional.empty();
        }
    }
}
