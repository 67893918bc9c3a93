package cypressglade.http;

import cypressglade.core.Fnv1a;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The trace ids of requests that were taken, for as long as a copy of one may come. To a node,
 * another request under one of them would be a second copy, whoever sends it and whichever process
 * of an upgrade takes it. Used on the I/O thread only.
 */
final class TraceIds {
    /** A copy may be as late as the attempts of the first and of the copy take together. */
    private static final int DEADLINES_KEPT = 2;

    private static final Duration MIN_RETENTION = Duration.ofSeconds(10);

    private final Supplier<Optional<ByteBuffer>> sharedMemory;
    private Duration retention;
    private IdTable ids;
    private boolean isShared;

    /**
     * Creates an empty table of this process, until its memory can be shared.
     *
     * @param longestDeadline of any class
     * @param sharedMemory of {@link IdTable#BYTES} bytes that other processes use too; empty where
     *     there is none now
     */
    TraceIds(Duration longestDeadline, Supplier<Optional<ByteBuffer>> sharedMemory) {
        this.sharedMemory = sharedMemory;
        setLongestDeadline(longestDeadline);
        ids = new IdTable(ByteBuffer.allocateDirect(IdTable.BYTES));
        share();
    }

    /** Changes the longest deadline of any class, for ids that are registered from now on. */
    void setLongestDeadline(Duration longestDeadline) {
        Duration kept = longestDeadline.multipliedBy(DEADLINES_KEPT);
        retention = kept.compareTo(MIN_RETENTION) > 0 ? kept : MIN_RETENTION;
    }

    /** Tries to share the table, if it is not shared yet. To be called periodically. */
    void share() {
        if (isShared) {
            return;
        }
        sharedMemory
                .get()
                .ifPresent(
                        memory -> {
                            IdTable shared = new IdTable(memory);
                            shared.addAll(ids, System.nanoTime());
                            ids = shared;
                            isShared = true;
                        });
    }

    /** Registers an id; returns false where it is registered already. */
    boolean register(String id) {
        return ids.add(hash(id), System.nanoTime(), retention.toNanos());
    }

    /** Removes the id of a request that was sent to no node, so that it may be used again. */
    void release(String id) {
        ids.remove(hash(id), System.nanoTime());
    }

    /** Spreads the hash over all bits, by the finalizer of MurmurHash3. */
    private static long hash(String id) {
        long hash = Fnv1a.hash(id);
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
