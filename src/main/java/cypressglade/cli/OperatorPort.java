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
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The operator port of a running scheduler and what its calls act on: bans, kept in a directory
 * that both processes of an upgrade share ({@code $TMPDIR}, {@code /tmp} without it), and the
 * evacuation of clients. A ban is written to the disk before its call is answered, on the port's
 * thread.
 */
final class OperatorPort implements OperatorProtocol.Actions, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(OperatorPort.class.getName());
    private static final int MAX_HOLDER_BYTES = 128;

    /**
     * How long an address that is taken, or a machine without room for a socket, is tried again at
     * the start.
     */
    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5);

    /** What calls at the port act on in the scheduler. */
    interface Scheduler {
        /** Whether it takes clients. */
        boolean takesClients();

        /** Sends clients away, or takes them again. */
        void evacuate(boolean on);

        /** What it sees of the fleet (see {@link OperatorProtocol.Actions#fleet}). */
        Optional<String> fleet();

        /** So many processes serve as this instance now (see {@link Handover}). */
        void setProcessCount(int count);
    }

    private final ManualDrains drains;
    private final Scheduler scheduler;
    private final BanFile bans;
    private final OperatorPortServer server;
    private final Path directory;
    private Optional<FileChannel> lockFile = Optional.empty();
    private Optional<UpgradeMark> mark = Optional.empty();
    private FileLock lock;
    private int processes = 1;
    private boolean takesClients;
    private String lastFailure = "";

    /**
     * Restores the bans and binds the port; it answers from {@link #start} on. A disk that fails
     * does not end the start: what it refuses is tried again at each check.
     *
     * @param name the scheduler's name, which its next process has too
     * @throws IOException where the address is taken
     */
    OperatorPort(
            InetSocketAddress address,
            String name,
            String temporary,
            ManualDrains drains,
            Scheduler scheduler)
            throws IOException {
        this.drains = drains;
        this.scheduler = scheduler;
        directory = sharedDirectory(name, temporary);
        bans = new BanFile(directory, drains);
        bans.restore();
        countProcesses();
        server =
                Retry.untilDone(
                        BIND_TIMEOUT,
                        "operators' door",
                        IOException.class::isInstance,
                        () ->
                                new OperatorPortServer(
                                        address,
                                        new OperatorProtocol(this),
                                        this::check,
                                        MonotonicClock::now));
    }

    /**
     * The directory that all processes of a scheduler share.
     *
     * @param temporary the value of {@code $TMPDIR}; {@code /tmp} where it is null or blank
     */
    static Path sharedDirectory(String name, String temporary) {
        return Path.of(
                temporary == null || temporary.isBlank() ? "/tmp" : temporary,
                "cypressglade-" + name.replaceAll("[^A-Za-z0-9._-]", "_"));
    }

    /** Runs periodically, on the port's thread. */
    private synchronized void check() {
        countProcesses();
        bans.check(processes > 1);
    }

    /**
     * Counts the processes that serve as this scheduler, by the lock and the marks of others. Where
     * the disk does not tell, the last count stands.
     */
    private void countProcesses() {
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
                scheduler.setProcessCount(now);
            }
            lastFailure = "";
        } catch (IOException unusable) {
            if (!lastFailure.equals(unusable.toString())) { // logged once, not at each check
                lastFailure = unusable.toString();
                LOG.log(
                        Level.WARNING,
                        "whether an upgrade hands over is not known: {0}",
                        lastFailure);
            }
        }
    }

    /** Whoever serves holds the lock; a process that an upgrade starts beside it leaves a mark. */
    private void takeLockOrMark() throws IOException {
        ProcessFile.createDirectory(directory);
        if (lockFile.isEmpty()) {
            lockFile =
                    Optional.of(
                            FileChannel.open(
                                    directory.resolve("serving.lock"),
                                    StandardOpenOption.CREATE,
                                    StandardOpenOption.READ,
                                    StandardOpenOption.WRITE));
        }
        lock = tryLock(lockFile.get());
        if (lock != null) {
            removeMark();
            writeHolder(lockFile.get());
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
     * Writes this process's id into the lock file, which an orderly stop empties: one that is found
     * there is of a process that died.
     */
    private void writeHolder(FileChannel channel) throws IOException {
        ByteBuffer found = ByteBuffer.allocate(MAX_HOLDER_BYTES);
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

    /** Marks that this process takes clients from now on, for the one that it replaces. */
    synchronized void markServing() {
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
    synchronized boolean isReplaced() {
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
        return scheduler.takesClients();
    }

    @Override
    public Result exclude(String node) {
        return saveIfDone(drains.exclude(node));
    }

    @Override
    public Result include(String node) {
        return saveIfDone(drains.include(node));
    }

    private synchronized Result saveIfDone(Result result) {
        if (result.kind() == Kind.DONE) {
            bans.save();
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
        server.close(); // and with it the thread of checks
        synchronized (this) {
            try {
                removeMark();
                if (lock != null) {
                    lockFile.get().truncate(0);
                }
                if (lockFile.isPresent()) {
                    lockFile.get().close(); // and with it the lock, as the process's end would
                }
            } catch (IOException gone) {
                LOG.log(Level.DEBUG, "closing the lock", gone);
            }
        }
    }
}
