package cypressglade.operate;

/**
 * Decides how many processes serve as one instance during an upgrade, from the state of the
 * directory that they share. No I/O: the caller reads the directory.
 *
 * <p>The serving process holds a lock in that directory; a process that starts beside it cannot
 * take the lock and creates a mark file. From then on both count two processes, and each uses half
 * of the instance's limits, until the first has exited and the second has taken the lock.
 */
public final class Handover {
    private Handover() {}

    /**
     * The number of processes that serve as this instance.
     *
     * @param holdsLock whether this process holds the lock: it is alone unless a second process has
     *     a mark
     * @param isSuccessorMarked whether another live process has a mark
     * @return 1 or 2
     */
    public static int processes(boolean holdsLock, boolean isSuccessorMarked) {
        return holdsLock && !isSuccessorMarked ? 1 : 2;
    }
}
