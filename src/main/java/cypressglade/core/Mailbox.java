package cypressglade.core;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * What others hand to one thread, in order. Guards against a wait that spins: one whose time runs
 * out while another thread is half way through waking it goes round in the JDK's conditions until
 * that other thread goes on, which it cannot where one thread runs at a time. Here nobody waits for
 * another's next step.
 */
final class Mailbox<T> {
    /** For who has no time of its own to look again. */
    static final Duration LONGEST = Duration.ofDays(1);

    private final ConcurrentLinkedQueue<T> waiting = new ConcurrentLinkedQueue<>();
    private volatile Thread taker;

    /** Adds an item; any thread may, and none is held up. */
    void add(T item) {
        waiting.add(item);
        // set before the taker looks once more, so that one of the two sees the other
        Thread asleep = taker;
        if (asleep != null) {
            LockSupport.unpark(asleep);
        }
    }

    /**
     * The next item, waited for no longer than {@code most}; nothing where none came. One thread
     * alone takes.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    Optional<T> poll(Duration most) throws InterruptedException {
        T next = waiting.poll();
        if (next == null && !most.isZero()) {
            long end = System.nanoTime() + most.toNanos();
            taker = Thread.currentThread();
            try {
                for (next = waiting.poll(); next == null; next = waiting.poll()) {
                    long left = end - System.nanoTime();
                    if (left <= 0) {
                        return Optional.empty();
                    }
                    LockSupport.parkNanos(this, left);
                    if (Thread.interrupted()) {
                        throw new InterruptedException();
                    }
                }
            } finally {
                taker = null;
            }
        }
        return Optional.ofNullable(next);
    }
}
