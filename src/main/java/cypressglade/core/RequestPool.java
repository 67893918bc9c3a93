package cypressglade.core;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The tasks of the open requests: each blocks on its own thread, and their number is bounded. */
public final class RequestPool implements AutoCloseable {
    private static final Duration KEEP = Duration.ofSeconds(20);

    private final ThreadPoolExecutor pool;
    private final Counters counters;

    public RequestPool(int most, long stackBytes, Counters counters) {
        this.counters = counters;
        pool = new ThreadPoolExecutor(0, most, KEEP.toMillis(), TimeUnit.MILLISECONDS,
                new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(null, task, "request", stackBytes);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Starts a request's task; false when there is no room, and then nothing has happened to it. */
    public boolean start(RequestLife<?> life) {
        counters.add(Counters.Name.TAKEN);
        try {
            pool.execute(life);
            return true;
        } catch (RejectedExecutionException full) {
            counters.add(Counters.Name.REFUSED_NO_ROOM);
            return false;
        }
    }

    /** Takes a new bound; what runs goes on. */
    public void use(int most) {
        pool.setMaximumPoolSize(most);
    }

    /** How many requests are open. */
    public int open() {
        return pool.getActiveCount();
    }

    @Override
    public void close() {
        pool.shutdownNow();
    }
}
