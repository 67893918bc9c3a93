package cypressglade.core;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * A FIFO queue with any number of producers and one consumer, whose producers never block.
 *
 * <p>It replaces the blocking queues of the JDK because a timed wait on their conditions can spin:
 * when the time runs out while another thread is halfway through the wake-up, the waiting thread
 * loops until that thread goes on, which it cannot do where only one thread runs at a time. Here no
 * thread waits for another one's next step.
 */
final class Mailbox<T> {
    /** For a consumer that has no time of its own at which to check again. */
    static final Duration MAX_WAIT = Duration.ofDays(1);

    private final ConcurrentLinkedQueue<T> items = new ConcurrentLinkedQueue<>();
    private volatile Thread consumer;

    /** Adds an item; callable from any thread, never blocks. */
    void add(T item) {
        items.add(item);
        // The consumer sets its field before it checks the queue once more, so either it sees the
        // item or this thread sees the consumer.
        Thread waiting = consumer;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
    }

    /**
     * Removes the next item, waiting up to {@code maxWait} for one; empty where none came. Only one
     * thread may call it.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    Optional<T> poll(Duration maxWait) throws InterruptedException {
        T next = items.poll();
        if (next == null && !maxWait.isZero()) {
            long end = System.nanoTime() + maxWait.toNanos();
            consumer = Thread.currentThread();
            try {
                for (next = items.poll(); next == null; next = items.poll()) {
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
                consumer = null;
            }
        }
        return Optional.ofNullable(next);
    }
}
