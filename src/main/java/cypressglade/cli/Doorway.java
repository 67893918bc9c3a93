package cypressglade.cli;

import cypressglade.control.OperatorPortServer;
import cypressglade.core.MonotonicClock;
import cypressglade.core.Retry;
import cypressglade.operate.Handover;
import cypressglade.operate.ManualDrains;
import cypressglade.operate.ManualDrains.Kind;
import cypressglade.operate.ManualDrains.Result;
import cypressglade.operate.OperatorProtocol;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What the operators' door acts on in a running scheduler: bans, kept in a directory that an
 * upgrade shares ({@code $TMPDIR}, {@code /tmp} without it), and the evacuation of clients. The
 * bans are written to the disk before the call is answered, on the door's thread.
 */
final class Doorway implements OperatorProtocol.Actions, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Doorway.class.getName());
    private static final int MOST_HOLDER = 128;

    /**
     * How long an address that is taken, or a machine without room for a socket, is tried again at
     * the start.
     */
    private static final Duration BIND_LIMIT = Duration.ofSeconds(5);

    /** What the door may turn in the scheduler. */
    interface Scheduler {
        /** Whether it takes clients. */
        boolean started();

        /** Sends clients away, or takes them again. */
        void evacuate(boolean away);

        /** What it sees of the fleet (see {@link OperatorProtocol.Actions#fleet}). */
        Optional<String> fleet();

        /** So many processes serve as this instance now (see {@link Handover}). */
        void beside(int processes);
    }

    private final ManualDrains drains;
    private final Scheduler scheduler;
    private final BanFile bans;
    private final OperatorPortServer server;
    private final Path directory;
    private Optional<FileChannel> serving = Optional.empty();
    private Optional<UpgradeMark> mark = Optional.empty();
    private FileLock lock;
    private int processes = 1;
    private boolean takesClients;
    private String failing = "";

    /**
     * Takes the bans that were kept, and binds the door; it answers from {@link #start} on. A disk
     * that fails keeps nobody from starting: what it refuses is tried again at each look.
     *
     * @param name the scheduler's name, which its next process has too
     * @throws IOException where the address is taken
     */
    Doorway(
            InetSocketAddress address,
            String name,
            String temporary,
            ManualDrains drains,
            Scheduler scheduler)
            throws IOException {
        this.drains = drains;
        this.scheduler = scheduler;
        directory =
                Path.of(
                        temporary == null || temporary.isBlank() ? "/tmp" : temporary,
                        "cypressglade-" + name.replaceAll("[^A-Za-z0-9._-]", "_"));
        bans = new BanFile(directory, drains);
        bans.restore();
        lookAtOthers();
        server =
                Retry.untilDone(
                        BIND_LIMIT,
                        "operators' door",
                        IOException.class::isInstance,
                        () ->
                                new OperatorPortServer(
                                        address,
                                        new OperatorProtocol(this),
                                        this::look,
                                        MonotonicClock::now));
    }

    /** What is due now and then, on the door's thread. */
    private synchronized void look() {
        lookAtOthers();
        bans.look(processes > 1);
    }

    /**
     * Whether this process serves alone: the lock once it is free, and marks of others. Where the
     * disk does not tell, the last answer stands.
     */
    private void lookAtOthers() {
        try {
            if (lock == null) {
                takeLockOrMark();
            }
            int now =
                    Handover.processes(
                            lock != null, UpgradeMark.other(directory, mark).isPresent());
            if (now != processes) {
                processes = now;
                LOG.log(Level.INFO, "processes serving as this scheduler: {0}", now);
                scheduler.beside(now);
            }
            failing = "";
        } catch (IOException unusable) {
            if (!failing.equals(unusable.toString())) { // told once, not at each look
                failing = unusable.toString();
                LOG.log(Level.WARNING, "whether an upgrade hands over is not known: {0}", failing);
            }
        }
    }

    /** The lock says who serves, a mark who comes beside; whoever gets the lock needs no mark. */
    private void takeLockOrMark() throws IOException {
        if (!Files.isDirectory(directory)) {
            Files.createDirectories(
                    directory,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString("rwx------")));
        }
        if (serving.isEmpty()) {
            serving =
                    Optional.of(
                            FileChannel.open(
                                    directory.resolve("serving.lock"),
                                    StandardOpenOption.CREATE,
                                    StandardOpenOption.READ,
                                    StandardOpenOption.WRITE));
        }
        lock = tryLock(serving.get());
        if (lock != null) {
            removeMark();
            noteHolder(serving.get());
        } else if (mark
                .isEmpty()) { // another process serves as this scheduler: an upgrade hands over
            mark = Optional.of(UpgradeMark.leave(directory));
            if (takesClients) {
                mark.get().serving();
            }
        }
    }

    /**
     * The lock where no other holds it; another in this JVM counts as another process, as in tests.
     */
    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException heldHere) {
            return null;
        }
    }

    /**
     * The holder's number stands in the file until a stop in order: one that is found is of a
     * process that died.
     */
    private void noteHolder(FileChannel channel) throws IOException {
        ByteBuffer found = ByteBuffer.allocate(MOST_HOLDER);
        channel.read(found, 0);
        String before = new String(found.array(), 0, found.position(), StandardCharsets.US_ASCII);
        if (!before.isEmpty()) {
            LOG.log(Level.WARNING, "the process before this one ended without a stop: {0}", before);
        }
        channel.truncate(0);
        channel.write(
                ByteBuffer.wrap(
                        ("pid " + ProcessHandle.current().pid() + " started " + Instant.now())
                                .getBytes(StandardCharsets.US_ASCII)),
                0);
    }

    private void removeMark() throws IOException {
        if (mark.isPresent()) {
            mark.get().close();
            mark = Optional.empty();
        }
    }

    void start() {
        server.start();
    }

    /** This process takes clients from now on: one that it relieves may see that in its mark. */
    synchronized void serving() {
        takesClients = true;
        try {
            if (mark.isPresent()) {
                mark.get().serving();
            }
        } catch (IOException full) {
            LOG.log(Level.WARNING, "the process beside will not see that this one serves", full);
        }
    }

    /** Whether a process beside this one takes clients on the same port; from any thread. */
    synchronized boolean relieved() {
        try {
            return UpgradeMark.other(directory, mark)
                    .filter(UpgradeMark.Other::serving)
                    .isPresent();
        } catch (IOException unusable) {
            LOG.log(
                    Level.WARNING,
                    "whether a process beside takes clients is not known: {0}",
                    unusable.toString());
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

    private synchronized Result kept(Result result) {
        if (result.kind() == Kind.DONE) {
            bans.keep();
            LOG.log(Level.INFO, "bans now {0}", drains.bans());
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
        server.close(); // and with it the thread of looks
        synchronized (this) {
            try {
                removeMark();
                if (lock != null) {
                    serving.get().truncate(0);
                }
                if (serving.isPresent()) {
                    serving.get().close(); // and with it the lock, as the process's end would
                }
            } catch (IOException gone) {
                LOG.log(Level.DEBUG, "closing the lock", gone);
            }
        }
    }
}
