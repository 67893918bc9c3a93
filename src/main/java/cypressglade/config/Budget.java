package cypressglade.config;

/** What the platform lets this program hold, and how it is dealt out; the README has the arithmetic. */
public record Budget(int memoryMb, int sockets) {
    /** The JVM's libraries, archive, pipes and selectors, discovery, and connections just being closed. */
    private static final int OWN_FILES = 44;
    private static final int NBD_CLIENTS = 12;
    private static final int MOST_REQUESTS = 256;

    /** Requests that may be open at once: each has a thread, and a body each way in the heap. */
    public int requests() {
        return Math.min(MOST_REQUESTS, memoryMb * 4 / 3);
    }

    /** Room for bodies that are still coming in. */
    public int receivingBytes() {
        return memoryMb << 20 >> 6;
    }

    /** Room for bodies of answers, while they come from the nodes and again while they go to the clients. */
    public int answerBytes() {
        return memoryMb << 20 >> 4;
    }

    /** The platform's clients hold at most a third of the descriptors; the rest is for the others. */
    public int clientConnections() {
        return shared() * 11 / 20;
    }

    public int nodeConnections() {
        return shared() - clientConnections();
    }

    private int shared() {
        return sockets - OWN_FILES - NBD_CLIENTS;
    }
}
