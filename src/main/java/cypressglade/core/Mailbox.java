package cypressglade.core;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An unbounded FIFO queue with any number of producers and one consumer. */
final class Mailbox<T> {
    /** For a consumer that has no time of its own at which to check again. */
    static final Duration MAX_WAIT = Duration.ofDays(1);

    private final BlockingQueue<T> items = new LinkedBlockingQueue<>();

    /** Adds an item; callable from any thread. */
    void add(T item) {
        items.add(item);
    }

    /**
     * Removes the next item, waiting up to {@code maxWait} for one; empty where none came.
     *
     * @throws InterruptedException if the thread is interrupted before it has an item
     */
    Optional<T> poll(Duration maxWait) throws InterruptedException {
        return Optional.ofNullable(items.poll(maxWait.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** Removes the next item; empty where there is none now. */
    Optional<T> poll() {
        return Optional.ofNullable(items.poll());
    }
}
