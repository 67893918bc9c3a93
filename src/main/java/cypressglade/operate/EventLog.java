package cypressglade.operate;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;

/**
 * The last {@value #MAX_EVENTS} events, numbered; the oldest are dropped. Safe for use by several
 * threads.
 */
public final class EventLog {
    private static final int MAX_EVENTS = 512;

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long lastNumber;

    /**
     * One event.
     *
     * @param number counts up from 1 from the start of the process
     * @param at the time of the event
     * @param name lower case with dots, such as {@code drain.done}
     * @param fields details by name
     */
    public record Event(long number, Instant at, String name, Map<String, String> fields) {}

    /** Appends an event under the next number. */
    public synchronized void add(Instant at, String name, Map<String, String> fields) {
        events.add(new Event(++lastNumber, at, name, Map.copyOf(fields)));
        if (events.size() > MAX_EVENTS) {
            events.poll();
        }
    }

    /**
     * The stored events after a number, oldest first; a gap in the numbers shows dropped events.
     */
    public synchronized List<Event> after(long number) {
        return events.stream().filter(event -> event.number() > number).toList();
    }
}
