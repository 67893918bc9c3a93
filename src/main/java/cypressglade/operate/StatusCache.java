package cypressglade.operate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Makes pictures only while somebody looks, and no more than four a second however many look:
 * whoever asks within that time of the last gets the last, whoever asks while one is made waits for
 * it. Safe for several threads.
 */
public final class StatusCache {
    private static final Duration GAP = Duration.ofMillis(250);

    private final Consumer<Consumer<SchedulerStatus>> source;
    private final List<Consumer<SchedulerStatus>> waiting = new ArrayList<>();
    private Optional<SchedulerStatus> last = Optional.empty();

    /** {@code source} makes one picture and hands it over, on whichever thread. */
    public StatusCache(Consumer<Consumer<SchedulerStatus>> source) {
        this.source = source;
    }

    /** Hands over a picture that is at most a quarter of a second old, at once or soon. */
    public void read(Instant now, Consumer<SchedulerStatus> seen) {
        Optional<SchedulerStatus> fresh;
        boolean first = false;
        synchronized (this) {
            fresh = last.filter(picture -> picture.at().plus(GAP).isAfter(now));
            if (fresh.isEmpty()) {
                first = waiting.isEmpty();
                waiting.add(seen);
            }
        }
        fresh.ifPresent(seen);
        if (first) {
            source.accept(this::made);
        }
    }

    private void made(SchedulerStatus picture) {
        List<Consumer<SchedulerStatus>> all;
        synchronized (this) {
            last = Optional.of(picture);
            all = List.copyOf(waiting);
            waiting.clear();
        }
        all.forEach(seen -> seen.accept(picture));
    }
}
