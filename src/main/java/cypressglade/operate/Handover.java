package cypressglade.operate;

/**
 * How many processes serve as one scheduler while an upgrade hands over, from what each process
 * sees in the directory that they share. No I/O: the caller looks, this decides.
 *
 * <p>The process that serves holds a lock there; one that starts beside it cannot take the lock and
 * says so by a mark. Both count two from then on, each taking half of the instance's limits, until
 * the lock is free (the first is gone) and the newcomer has taken it.
 */
public final class Handover {
    private Handover() {}

    /**
     * The processes that serve as this instance.
     *
     * @param holdsLock whether this process holds the lock: it is alone unless a newcomer is marked
     * @param newcomerMarked whether a live process other than this one is marked as starting beside
     * @return 1 or 2
     */
    public static int processes(boolean holdsLock, boolean newcomerMarked) {
        return holdsLock && !newcomerMarked ? 1 : 2;
    }
}
