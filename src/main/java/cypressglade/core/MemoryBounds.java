package cypressglade.core;

import cypressglade.storm.StormMemory;

/**
 * How much the engine may remember of requests that are over. Each number bounds memory that stays
 * in use after an answer, so the owner of the heap sets it (see {@code config.Budget}).
 *
 * @param refusedRequests refusals by which retries are recognized, at least 1
 * @param volumes volumes whose limits and demand are known, at least 1; beyond it those with open
 *     requests alone
 * @param storms what the measures against storms may remember, where they are on
 */
public record MemoryBounds(int refusedRequests, int volumes, StormMemory storms) {
    /** For a policy whose memory nobody bounds, as in the simulator. */
    public static final MemoryBounds SIMULATED =
            new MemoryBounds(4096, 1 << 20, StormMemory.UNBOUNDED);

    /** Heap that one volume takes, with its place in the table. */
    public static final int BYTES_PER_VOLUME = 384;
}
