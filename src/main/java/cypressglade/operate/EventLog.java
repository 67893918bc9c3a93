package cypressglade.operate;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;

/** The latest of what happened, by number; the oldest give way. Safe for use by several threads. */
public final class EventLog {
    private static final int MOST = 512;

    private final ArrayDeque<Event> kept = new ArrayDeque<>();
    private long last;

    /**
     * Something that happened.
     *
     * @param number counts up from 1 in a life of the program
     * @param name lower case with dots, such as {@code drain.done}
     */
    public record Event(long number, Instant at, String name, Map<String, String> fields) {}

    public synchronized void add(Instant at, String name, Map<String, String> fields) {
        kept.add(new Event(++last, at, name, Map.copyOf(fields)));
        if (kept.size() > MOST) {
            kept.poll();
        }
    }

    /** Those after a number, the oldest first; how many went unseen shows in the numbers. */
    public synchronized List<Event> after(long number) {
        return kept.stream().filter(event -> event.number() > number).toList();
    }
}
