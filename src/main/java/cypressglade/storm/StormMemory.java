package cypressglade.storm;

import cypressglade.recent.RecentEntries;

/**
 * How much retry admission may remember. Each number bounds memory that stays in use after a
 * request's answer, so the owner of the heap sets it (see {@code config.Budget}).
 *
 * @param scopes nodes, and volumes, that are watched at a time, at least 1 of each
 * @param bookedSlots bookings held at a time over all nodes, at least 1
 * @param writes writes that have ended, at least 1
 */
public record StormMemory(int scopes, int bookedSlots, int writes) {
    /** For an admission control whose memory nobody bounds, as in the model. */
    public static final StormMemory UNBOUNDED = new StormMemory(4096, 32_768, 8192);

    /** Heap that one scope takes: the detector, the budget and the place in the table. */
    public static final int BYTES_PER_SCOPE = 512;

    /** Heap that one booking takes. */
    public static final int BYTES_PER_BOOKED_SLOT = 320;

    /**
     * Heap that one write takes, with its part of what {@link WriteRegister} remembers of retries.
     */
    public static final int BYTES_PER_WRITE =
            RecentEntries.BYTES_PER_ENTRY
                    + RecentEntries.BYTES_PER_ENTRY / WriteRegister.WRITES_PER_RETRY;
}
