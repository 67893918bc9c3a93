package cypressglade.cli;

import cypressglade.control.DoorServer;
import cypressglade.core.Time;
import cypressglade.operate.Door;
import cypressglade.operate.Handover;
import cypressglade.operate.HandDrains;
import cypressglade.operate.HandDrains.Kind;
import cypressglade.operate.HandDrains.Result;
import cypressglade.snapshot.SnapshotStore;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * What the operators' door acts on in a running scheduler: bans, kept in a directory that an upgrade shares
 * ({@code $TMPDIR}, {@code /tmp} without it), and the evacuation of clients. The bans are written to the disk
 * before the call is answered, on the door's thread.
 */
final class Doorway implements Door.Acts, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Doorway.class.getName());
    private static final String COMING = "coming.";
    private static final String SERVING = "takes clients";

    /** What the door may turn in the scheduler. */
    interface Scheduler {
        /** Whether it takes clients. */
        boolean started();

        /** Sends clients away, or takes them again. */
        void evacuate(boolean away);

        /** What it sees of the fleet (see {@link Door.Acts#fleet}). */
        Optional<String> fleet();

        /** So many processes serve as this instance now (see {@link Handover}). */
        void beside(int processes);
    }

    private final HandDrains drains;
    private final Scheduler scheduler;
    private final SnapshotStore store;
    private final DoorServer server;
    private final Path directory;
    private final FileChannel serving;
    private final Path mark;
    private FileLock lock;
    private int processes = 1;

    /**
     * Takes the bans that were kept, and binds the door; it answers from {@link #start} on.
     *
     * @param name the scheduler's name, which its next process has too
     * @throws IOException where the address is taken or the directory cannot be had
     */
    Doorway(InetSocketAddress address, String name, String temporary, HandDrains drains, Scheduler scheduler)
            throws IOException {
        this.drains = drains;
        this.scheduler = scheduler;
        directory = Path.of(temporary == null || temporary.isBlank() ? "/tmp" : temporary,
                "cypressglade-" + name.replaceAll("[^A-Za-z0-9._-]", "_"));
        if (!Files.isDirectory(directory)) {
            Files.createDirectories(directory, PosixFilePermissions.asFileAttribute(
                    PosixFilePermissions.fromString("rwx------")));
        }
        store = new SnapshotStore(directory, "bans");
        store.newest(Instant.now(), SnapshotStore.ANY_AGE, // bans hold however long the scheduler was away
                found -> new String(found.body(), StandardCharsets.UTF_8),
                (found, why) -> LOG.log(Level.WARNING, "{0} is ignored: {1}", found.file(), why))
                .ifPresent(body -> drains.restoreBans(
                        Arrays.stream(body.split("\n")).filter(id -> !id.isBlank()).toList()));
        serving = FileChannel.open(directory.resolve("serving.lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        // The pid tells whether its process lives; the number apart tells two in one JVM apart, as in tests.
        mark = directory.resolve(COMING + ProcessHandle.current().pid() + "." + System.nanoTime());
        lock = tryLock();
        if (lock == null) { // another process serves as this scheduler: an upgrade hands over
            Files.writeString(mark, "");
        }
        look();
        server = new DoorServer(address, new Door(this), this::look, Time::now);
    }

    /** The lock where no other holds it; another in this JVM counts as another process, as in tests. */
    private FileLock tryLock() throws IOException {
        try {
            return serving.tryLock();
        } catch (OverlappingFileLockException heldHere) {
            return null;
        }
    }

    /** Whether this process serves alone, on the door's thread: the lock once it is free, marks of others. */
    private void look() {
        try {
            if (lock == null && (lock = tryLock()) != null) {
                Files.deleteIfExists(mark);
            }
            int now = Handover.processes(lock != null, newcomer(other -> true));
            if (now != processes) {
                processes = now;
                LOG.log(Level.INFO, "processes serving as this scheduler: {0}", now);
                scheduler.beside(now);
            }
        } catch (IOException | NumberFormatException unusable) {
            LOG.log(Level.WARNING, "whether an upgrade hands over is not known: " + unusable.getMessage());
        }
    }

    /** Whether another process that lives has left a mark, and one of that kind. */
    private boolean newcomer(Predicate<Path> kind) throws IOException {
        boolean found = false;
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(directory, COMING + "*")) {
            for (Path other : marks) {
                String name = other.getFileName().toString();
                long pid = Long.parseLong(name.substring(COMING.length(), name.lastIndexOf('.')));
                if (other.equals(mark)) {
                    continue;
                }
                if (ProcessHandle.of(pid).isPresent()) {
                    found |= kind.test(other);
                } else {
                    Files.deleteIfExists(other); // of one that died while it started
                }
            }
        }
        return found;
    }

    void start() {
        server.start();
    }

    /** This process takes clients from now on: one that it relieves may see that in its mark. */
    void serving() {
        try {
            if (Files.exists(mark)) {
                Files.writeString(mark, SERVING, StandardOpenOption.TRUNCATE_EXISTING);
            }
        } catch (IOException full) {
            LOG.log(Level.WARNING, "the process beside will not see that this one serves", full);
        }
    }

    /** Whether a process beside this one takes clients on the same port; from any thread. */
    boolean relieved() {
        try {
            return newcomer(other -> {
                try {
                    return Files.readString(other).equals(SERVING);
                } catch (IOException gone) {
                    return false; // it was relieved itself, or has ended, since the look at the directory
                }
            });
        } catch (IOException | NumberFormatException unusable) {
            return false;
        }
    }

    InetSocketAddress address() {
        return server.address();
    }

    @Override
    public boolean takesClients() {
        return scheduler.started();
    }

    @Override
    public Result exclude(String node) {
        return kept(drains.exclude(node));
    }

    @Override
    public Result include(String node) {
        return kept(drains.include(node));
    }

    private Result kept(Result result) {
        if (result.kind() == Kind.DONE) {
            List<String> bans = drains.bans();
            try {
                store.write(String.join("\n", bans).getBytes(StandardCharsets.UTF_8), Instant.now());
            } catch (IOException full) {
                // The ban holds in this process all the same; only an upgrade would not see it.
                LOG.log(Level.WARNING, "bans could not be kept for the next process: " + full.getMessage());
            }
            LOG.log(Level.INFO, "bans now {0}", bans);
        }
        return result;
    }

    @Override
    public void evacuate() {
        scheduler.evacuate(true);
    }

    @Override
    public void activate() {
        scheduler.evacuate(false);
    }

    @Override
    public Optional<String> fleet() {
        return scheduler.fleet();
    }

    @Override
    public void close() {
        server.close();
        try {
            Files.deleteIfExists(mark);
            serving.close(); // and with it the lock, which the process's end would give back too
        } catch (IOException gone) {
            LOG.log(Level.DEBUG, "closing the lock", gone);
        }
    }
}
