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
public final class Pictures {
    private static final Duration GAP = Duration.ofMillis(250);

    private final Consumer<Consumer<Picture>> source;
    private final List<Consumer<Picture>> waiting = new ArrayList<>();
    private Optional<Picture> last = Optional.empty();

    /** {@code source} makes one picture and hands it over, on whichever thread. */
    public Pictures(Consumer<Consumer<Picture>> source) {
        this.source = source;
    }

    /** Hands over a picture that is at most a quarter of a second old, at once or soon. */
    public void look(Instant now, Consumer<Picture> seen) {
        Optional<Picture> fresh;
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

    private void made(Picture picture) {
        List<Consumer<Picture>> all;
        synchronized (this) {
            last = Optional.of(picture);
            all = List.copyOf(waiting);
            waiting.clear();
        }
        all.forEach(seen -> seen.accept(picture));
    }
}
