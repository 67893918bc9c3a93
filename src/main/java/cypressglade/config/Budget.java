package cypressglade.config;

/**
 * What the platform lets this program hold, and how it is dealt out; the README has the arithmetic.
 * The limits are one scheduler's, and an upgrade has two processes of it side by side. What a
 * process holds from its start on (the heap and what stands in it) is sized for two always, as a
 * heap does not shrink when the second process comes; threads and the room for idle clients are
 * halved while both serve.
 *
 * @param memoryMb the limit on memory in MB, for all processes of this scheduler together
 * @param sockets the limit on descriptors, for all of them together
 * @param processes how many serve as this scheduler now
 */
public record Budget(int memoryMb, int sockets, int processes) {
    /**
     * The JVM's libraries, archive, pipes and selectors, discovery, and connections just being
     * closed.
     */
    private static final int OWN_FILES = 44;

    private static final int NBD_CLIENTS = 12;
    private static final int MOST_REQUESTS = 256;
    private static final int BYTES_OF_MB = 1 << 20;

    /** The heap is a part of what the limit leaves beside this; {@code deploy/run.sh} sets it. */
    private static final int BESIDE_HEAPS_MB = 48;

    private static final int HEAP_PART = 6;
    private static final int LEAST_HEAP_MB = 8;
    private static final int BODIES_PART = 6;
    private static final int ANSWERS_PART = 6;
    private static final int RECEIVING_PART = 12;

    /** That of one process that serves alone. */
    public Budget(int memoryMb, int sockets) {
        this(memoryMb, sockets, 1);
    }

    /** The same limits, where so many processes serve as this scheduler. */
    public Budget among(int count) {
        return new Budget(memoryMb, sockets, count);
    }

    /** The heap of one process, in bytes. */
    public int heapBytes() {
        return Math.max(LEAST_HEAP_MB, (memoryMb - BESIDE_HEAPS_MB) / HEAP_PART) * BYTES_OF_MB;
    }

    /** Requests that may be open at once, waiting or sent. */
    public int requests() {
        return Math.min(MOST_REQUESTS, memoryMb * 4 / 3);
    }

    /** Of these, those that may be out at nodes at once: each has a thread, and its stack. */
    public int threads() {
        return requests() / processes;
    }

    /** Room for bodies of open requests, in bytes. */
    public int bodyBytes() {
        return heapBytes() / BODIES_PART;
    }

    /** Room for bodies that are still coming in, in bytes. */
    public int receivingBytes() {
        return heapBytes() / RECEIVING_PART;
    }

    /**
     * Room for bodies of answers in bytes, while they come from the nodes and again while they go
     * to the clients.
     */
    public int answerBytes() {
        return heapBytes() / ANSWERS_PART;
    }

    /**
     * The platform's clients hold at most a third of the descriptors; the rest is for the others.
     */
    public int clientConnections() {
        return shared() * 11 / 20;
    }

    /**
     * Client connections beyond which those at rest make way, so that a crowd does not fill the
     * descriptors of two processes. Whoever asks is taken all the same: a process that listens and
     * does not accept loses requests.
     */
    public int clientsWithoutCrowd() {
        return clientConnections() / processes;
    }

    /** Connections to storage nodes; as the clients', they are used by two processes in turn. */
    public int nodeConnections() {
        return shared() - clientConnections();
    }

    private int shared() {
        return sockets - OWN_FILES - NBD_CLIENTS;
    }
}
