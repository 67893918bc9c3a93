package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open requests, whose number is bounded. One that is sent somewhere blocks on a thread of its
 * own; one that waits for the module's word has none, so that a refusal costs no change of threads
 * but the module's.
 */
public final class RequestPool implements AutoCloseable {
    /** How long a thread waits for its next request; its stack stays in memory for that long. */
    private static final Duration KEEP = Duration.ofSeconds(5);

    private final ThreadPoolExecutor threads;
    private final Counters counters;
    private final Set<RequestTask<?>> waiting = ConcurrentHashMap.newKeySet();
    private final Set<RequestTask<?>> working = ConcurrentHashMap.newKeySet();
    private final AtomicInteger open = new AtomicInteger();
    private volatile int most;

    public RequestPool(int most, long stackBytes, Counters counters) {
        this.most = most;
        this.counters = counters;
        threads =
                new ThreadPoolExecutor(
                        0,
                        most,
                        KEEP.toMillis(),
                        TimeUnit.MILLISECONDS,
                        new SynchronousQueue<>(),
                        task -> {
                            Thread thread = new Thread(null, task, "request", stackBytes);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Takes a request; false when there is no room, and then nothing has happened to it. */
    public boolean start(RequestTask<?> life) {
        counters.add(Counters.Name.TAKEN);
        if (open.incrementAndGet() > most) {
            open.decrementAndGet();
            counters.add(Counters.Name.REFUSED_NO_ROOM);
            return false;
        }
        waiting.add(life);
        life.submit(this);
        return true;
    }

    /** Puts a request on a thread; false, and it is over, where none is free: one ends just now. */
    boolean execute(RequestTask<?> life) {
        working.add(life);
        waiting.remove(life);
        try {
            threads.execute(life);
            return true;
        } catch (RejectedExecutionException full) {
            counters.add(Counters.Name.REFUSED_NO_ROOM);
            release(life);
            return false;
        }
    }

    /** The one place where a request's room is given back. */
    void release(RequestTask<?> life) {
        waiting.remove(life);
        working.remove(life);
        open.decrementAndGet();
    }

    /**
     * Answers those that the module left without a word past their deadline: to be called now and
     * then.
     */
    public void expireOverdue(Instant now) {
        waiting.forEach(life -> life.expireIfOverdue(now));
    }

    /** Has each open request answered now, as the program is about to be killed. */
    public void stopAll() {
        waiting.forEach(RequestTask::stop);
        working.forEach(RequestTask::stop);
    }

    /**
     * Takes new bounds, on requests that are open and on those of them that have a thread; what
     * runs goes on.
     */
    public void resize(int mostOpen, int mostThreads) {
        most = mostOpen;
        threads.setMaximumPoolSize(mostThreads);
    }

    /** How many requests are open. */
    public int openCount() {
        return open.get();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
