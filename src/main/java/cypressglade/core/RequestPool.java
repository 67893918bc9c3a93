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
 * The open requests, whose number is bounded, and the threads that run them. A request gets a
 * thread of its own once it is sent to a node; while it waits for the scheduling policy it has
 * none, so that a refusal costs no thread switch besides the one to the engine. Safe for use by
 * several threads.
 */
public final class RequestPool implements AutoCloseable {
    /** How long an idle thread is kept; its stack stays in memory for that long. */
    private static final Duration THREAD_KEEP_ALIVE = Duration.ofSeconds(5);

    private final ThreadPoolExecutor threads;
    private final Counters counters;
    private final Set<RequestTask<?>> waiting = ConcurrentHashMap.newKeySet();
    private final Set<RequestTask<?>> running = ConcurrentHashMap.newKeySet();
    private final AtomicInteger open = new AtomicInteger();
    private volatile int maxOpen;

    /**
     * Creates an empty pool.
     *
     * @param maxOpen bound on open requests, and on those of them that have a thread
     * @param stackBytes stack size of a request's thread in bytes; 0 for the JVM's default
     */
    public RequestPool(int maxOpen, long stackBytes, Counters counters) {
        this.maxOpen = maxOpen;
        this.counters = counters;
        threads =
                new ThreadPoolExecutor(
                        0,
                        maxOpen,
                        THREAD_KEEP_ALIVE.toMillis(),
                        TimeUnit.MILLISECONDS,
                        new SynchronousQueue<>(),
                        task -> {
                            Thread thread = new Thread(null, task, "request", stackBytes);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Opens a request and submits it to the engine. Returns false, without any effect on the
     * request, where the bound on open requests is reached.
     */
    public boolean start(RequestTask<?> task) {
        counters.add(Counters.Name.TAKEN);
        if (open.incrementAndGet() > maxOpen) {
            open.decrementAndGet();
            counters.add(Counters.Name.REFUSED_NO_ROOM);
            return false;
        }
        waiting.add(task);
        task.submit(this);
        return true;
    }

    /**
     * Runs a request on a thread. Where none is free, as can be while another request is just
     * ending, it releases the request and returns false.
     */
    boolean execute(RequestTask<?> task) {
        running.add(task);
        waiting.remove(task);
        try {
            threads.execute(task);
            return true;
        } catch (RejectedExecutionException full) {
            counters.add(Counters.Name.REFUSED_NO_ROOM);
            release(task);
            return false;
        }
    }

    /** Removes a request that has ended; the only place that does, called once a request. */
    void release(RequestTask<?> task) {
        waiting.remove(task);
        running.remove(task);
        open.decrementAndGet();
    }

    /**
     * Fails the requests that the scheduling policy gave no order for by their deadline. To be
     * called periodically.
     */
    public void expireOverdue(Instant now) {
        waiting.forEach(task -> task.expireIfOverdue(now));
    }

    /** Answers every open request at once, because the process is about to be killed. */
    public void stopAll() {
        waiting.forEach(RequestTask::stop);
        running.forEach(RequestTask::stop);
    }

    /**
     * Changes the bounds on open requests and on those of them that have a thread. Requests that
     * are open already go on.
     */
    public void resize(int newMaxOpen, int maxThreads) {
        maxOpen = newMaxOpen;
        threads.setMaximumPoolSize(maxThreads);
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
