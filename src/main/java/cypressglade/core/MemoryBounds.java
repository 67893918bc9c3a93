package cypressglade.core;

/**
 * How much the scheduling policy may remember of requests that are over. Each number bounds memory
 * that stays in use after an answer, so the owner of the heap sets it (see {@code config.Budget}).
 *
 * @param refusedRequests refusals by which retries are recognized, at least 1
 */
public record MemoryBounds(int refusedRequests) {
    /** For a policy whose memory nobody bounds, as in the simulator. */
    public static final MemoryBounds SIMULATED = new MemoryBounds(4096);
}
