package cypressglade.core;

import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Records why requests and connections ended as they did, by the ids that clients gave: every
 * close, retry, refusal and failure. The latest entries are kept in memory for {@code GET /recent};
 * what costs a client time or its answer goes to the program's log as well, up to a fixed number of
 * lines of each kind a second. Safe for use by several threads.
 */
public final class RequestLog {
    private static final System.Logger LOG = System.getLogger(RequestLog.class.getName());
    private static final int MAX_ENTRIES = 512;

    /** Characters of an id, and of a cause, that an entry keeps: clients choose the ids. */
    private static final int MAX_ID_LENGTH = 64;

    private static final int MAX_CAUSE_LENGTH = 256;
    private static final int MAX_LINES_PER_PERIOD = 10;
    private static final Duration PERIOD = Duration.ofSeconds(1);

    /** Stands for the id where there is none, such as for a connection between two requests. */
    public static final String NO_ID = "-";

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final Map<Event, LineLimit> limits = new EnumMap<>(Event.class);

    /** What happened to a request or a connection; printed in lower case. */
    public enum Event {
        /** The request was answered as refused: not done, safe to send again. */
        REFUSED,
        /** The request was answered as failed. */
        FAILED,
        /** A further attempt was sent after or beside one that did not serve the request. */
        RETRIED,
        /** An attempt was closed before its end, so that another could begin. */
        GIVEN_UP,
        /** The request failed because the scheduling policy gave no order by its deadline. */
        BY_DEADLINE,
        /** The request was answered after its client's time. */
        LATE,
        /** The request could not be parsed. */
        MALFORMED,
        /** The client disconnected before its answer. */
        GONE,
        /** A client's connection was closed. */
        CLOSED,
        /** The request's task threw an exception, or its client did not read the answer in time. */
        CUT_OFF,
        /** The request was ended because the program stops. */
        STOPPED,
        /** One callback held the I/O thread for long; every connection waited meanwhile. */
        HELD_UP;

        /** Whether it goes to the program's log: what costs a client time or its answer. */
        boolean isLogged() {
            return this == RETRIED
                    || this == GIVEN_UP
                    || this == BY_DEADLINE
                    || this == LATE
                    || this == CUT_OFF
                    || this == STOPPED
                    || this == HELD_UP;
        }
    }

    private record Entry(Instant at, String id, Event event, String cause) {
        @Override
        public String toString() {
            return at + " " + id + " " + event.name().toLowerCase(Locale.ROOT) + ": " + cause;
        }
    }

    /**
     * Records one event.
     *
     * @param id the id that the client gave, or {@link #NO_ID}
     * @param cause why it happened, in a few words
     */
    public synchronized void record(String id, Event event, String cause) {
        Entry entry =
                new Entry(
                        MonotonicClock.now(),
                        shortened(id, MAX_ID_LENGTH),
                        event,
                        shortened(cause, MAX_CAUSE_LENGTH));
        entries.add(entry);
        if (entries.size() > MAX_ENTRIES) {
            entries.poll();
        }
        if (event.isLogged()) {
            logLimited(entry);
        }
    }

    private static String shortened(String text, int maxLength) {
        return text.length() <= maxLength ? text : text.substring(0, maxLength) + "...";
    }

    private void logLimited(Entry entry) {
        LineLimit limit = limits.computeIfAbsent(entry.event(), event -> new LineLimit());
        if (!entry.at().isBefore(limit.periodEnd)) {
            if (limit.suppressed > 0) {
                LOG.log(
                        Level.WARNING,
                        "{0} further lines {1} were not logged",
                        limit.suppressed,
                        entry.event());
            }
            limit.periodEnd = entry.at().plus(PERIOD);
            limit.lines = 0;
            limit.suppressed = 0;
        }
        if (limit.lines++ < MAX_LINES_PER_PERIOD) {
            LOG.log(
                    Level.WARNING,
                    "request {0} {1}: {2}",
                    entry.id(),
                    entry.event(),
                    entry.cause());
        } else {
            limit.suppressed++;
        }
    }

    /** The lines of one kind of event in the current period. */
    private static final class LineLimit {
        private Instant periodEnd = Instant.EPOCH;
        private int lines;
        private int suppressed;
    }

    /** The entries in memory, oldest first, one a line. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        entries.forEach(entry -> text.append(entry).append('\n'));
        return text.toString();
    }
}
