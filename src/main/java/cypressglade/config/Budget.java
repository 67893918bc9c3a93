package cypressglade.config;

import cypressglade.core.MemoryBounds;
import cypressglade.recent.RecentEntries;
import cypressglade.storm.StormMemory;

/**
 * The limits on this program's memory and descriptors and how they are divided among its parts; the
 * README has the arithmetic. They are one scheduler's, and an upgrade has two processes of it side
 * by side. The heap and its parts are always sized for two processes, as a heap does not shrink
 * when the second one starts; threads and the room for idle clients are halved while both serve.
 *
 * @param memoryMb the limit on memory in MB, for all processes of this scheduler together
 * @param sockets the limit on descriptors, for all of them together
 * @param processes how many serve as this scheduler now
 * @param maxHeapBytes what the heap of this process may grow to; {@link #UNKNOWN_HEAP} before it
 *     runs, when the sizes of {@code deploy/run.sh} hold
 */
public record Budget(int memoryMb, int sockets, int processes, long maxHeapBytes) {
    /** The heap of a process that is not started yet. */
    public static final long UNKNOWN_HEAP = Long.MAX_VALUE;

    /**
     * The JVM's libraries, archive, pipes and selectors, discovery, and connections just being
     * closed.
     */
    private static final int OWN_FILES = 44;

    private static final int NBD_CLIENTS = 12;
    private static final int MAX_REQUESTS = 256;
    private static final int BYTES_PER_MB = 1 << 20;

    /** The heap is a part of what the limit leaves beside this; {@code deploy/run.sh} sets it. */
    private static final int BESIDE_HEAPS_MB = 48;

    /** Memory beyond this does not enlarge the heap. */
    private static final int MAX_COUNTED_MB = 256;

    private static final int HEAP_DIVISOR = 6;
    private static final int MIN_HEAP_MB = 8;
    private static final int INPUT_DIVISOR = 4;
    private static final int ANSWERS_DIVISOR = 6;

    /** In use after a collection of a program that serves nobody, with room for a little more. */
    private static final int IDLE_HEAP_BYTES = 13 * BYTES_PER_MB / 4;

    /** The part of what is left beside bodies that is kept free for short-lived objects. */
    private static final int FREE_DIVISOR = 2;

    private static final int REFUSALS_DIVISOR = 8;
    private static final int VOLUMES_DIVISOR = 4;
    private static final int WRITES_DIVISOR = 3;
    private static final int SLOTS_DIVISOR = 6;
    private static final int SCOPES_DIVISOR = 8;

    /** The limits of one process that serves alone. */
    public Budget(int memoryMb, int sockets) {
        this(memoryMb, sockets, 1, UNKNOWN_HEAP);
    }

    /** The same limits where {@code count} processes serve as this scheduler. */
    public Budget among(int count) {
        return new Budget(memoryMb, sockets, count, maxHeapBytes);
    }

    /**
     * The same limits in a process whose heap is known. A heap does not change with a reload, and
     * may have been started with another size: the bounds are then parts of the smaller one.
     */
    public Budget inHeapOf(long bytes) {
        return new Budget(memoryMb, sockets, processes, bytes);
    }

    /** The heap of one process, in bytes. */
    public int heapBytes() {
        int counted = Math.min(memoryMb, MAX_COUNTED_MB);
        int mb = Math.max(MIN_HEAP_MB, (counted - BESIDE_HEAPS_MB) / HEAP_DIVISOR);
        return (int) Math.min(mb * BYTES_PER_MB, maxHeapBytes);
    }

    /** What is left of the heap beside the bodies and all that is remembered, for all else. */
    public int unassignedHeapBytes() {
        return heapBytes() - inputBytes() - 2 * answerBytes() - historyBytes();
    }

    /** Requests that may be open at once, waiting or sent. */
    public int requests() {
        return Math.min(MAX_REQUESTS, memoryMb * 4 / 3);
    }

    /** Requests that may be in flight at nodes at once, each of which takes a thread. */
    public int threads() {
        return requests() / processes;
    }

    /**
     * Bytes of heap for what arrives from clients: heads, bodies until their requests are answered,
     * and input that waits for its turn.
     */
    public int inputBytes() {
        return heapBytes() / INPUT_DIVISOR;
    }

    /**
     * Bytes for the bodies of answers while they are received from nodes, and again while they are
     * sent to clients.
     */
    public int answerBytes() {
        return heapBytes() / ANSWERS_DIVISOR;
    }

    /** Bytes of heap for all that is remembered of requests that are over; at least 1. */
    public int historyBytes() {
        int besideBodies = heapBytes() - IDLE_HEAP_BYTES - inputBytes() - 2 * answerBytes();
        return Math.max(1, besideBodies / FREE_DIVISOR);
    }

    /** What the scheduling policy may remember of requests that are over. */
    public MemoryBounds memoryBounds() {
        return new MemoryBounds(
                entries(historyBytes() / REFUSALS_DIVISOR, RecentEntries.BYTES_PER_ENTRY),
                entries(historyBytes() / VOLUMES_DIVISOR, MemoryBounds.BYTES_PER_VOLUME),
                stormMemory());
    }

    private StormMemory stormMemory() {
        int scopes = entries(historyBytes() / SCOPES_DIVISOR, StormMemory.BYTES_PER_SCOPE);
        return new StormMemory(
                Math.max(1, scopes / 2), // of nodes, and as many of volumes
                entries(historyBytes() / SLOTS_DIVISOR, StormMemory.BYTES_PER_BOOKED_SLOT),
                entries(historyBytes() / WRITES_DIVISOR, StormMemory.BYTES_PER_WRITE));
    }

    private static int entries(int bytes, int bytesPerEntry) {
        return Math.max(1, bytes / bytesPerEntry);
    }

    /** Connections of clients; those of the platform hold at most a third of the descriptors. */
    public int clientConnections() {
        return shared() * 11 / 20;
    }

    /**
     * Client connections beyond which idle ones are closed for new ones, so that idle clients do
     * not fill the descriptors of two processes. A client that sends requests is accepted all the
     * same: a process that listens and does not accept loses requests.
     */
    public int clientsWithoutCrowd() {
        return clientConnections() / processes;
    }

    /** Connections to storage nodes; during an upgrade two processes use them in turn. */
    public int nodeConnections() {
        return shared() - clientConnections();
    }

    private int shared() {
        return sockets - OWN_FILES - NBD_CLIENTS;
    }
}
