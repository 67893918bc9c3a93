package cypressglade.operate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Caches the scheduler's status for 250 ms, so that any number of readers cause at most four reads
 * a second, and none while nobody asks. Callers that ask during a read wait for its result. Safe
 * for use by several threads.
 */
public final class StatusCache {
    private static final Duration MAX_AGE = Duration.ofMillis(250);

    private final Consumer<Consumer<SchedulerStatus>> statusReader;
    private final List<Consumer<SchedulerStatus>> waitingConsumers = new ArrayList<>();
    private Optional<SchedulerStatus> latest = Optional.empty();

    /**
     * Creates a cache; {@code statusReader} reads one status and may pass it on from any thread.
     */
    public StatusCache(Consumer<Consumer<SchedulerStatus>> statusReader) {
        this.statusReader = statusReader;
    }

    /** Passes on a status that is less than 250 ms old, on this thread or later on the reader's. */
    public void read(Instant now, Consumer<SchedulerStatus> consumer) {
        Optional<SchedulerStatus> fresh;
        boolean mustRead = false;
        synchronized (this) {
            fresh = latest.filter(status -> status.at().plus(MAX_AGE).isAfter(now));
            if (fresh.isEmpty()) {
                mustRead = waitingConsumers.isEmpty();
                waitingConsumers.add(consumer);
            }
        }
        fresh.ifPresent(consumer);
        if (mustRead) {
            statusReader.accept(this::deliver);
        }
    }

    private void deliver(SchedulerStatus status) {
        List<Consumer<SchedulerStatus>> consumers;
        synchronized (this) {
            latest = Optional.of(status);
            consumers = List.copyOf(waitingConsumers);
            waitingConsumers.clear();
        }
        consumers.forEach(consumer -> consumer.accept(status));
    }
}
