package cypressglade.core;

import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Locale;

/**
 * Why requests and connections ended as they did, by the ids that clients gave: every close, retry,
 * refusal and failure. The latest are kept for who asks ({@code GET /recent}); what should not
 * happen goes to the log as well, a bounded number of lines a second. Safe for use by several
 * threads.
 */
public final class RequestLog {
    private static final System.Logger LOG = System.getLogger(RequestLog.class.getName());
    private static final int MOST_KEPT = 512;
    private static final int MOST_LINES = 10;
    private static final Duration PERIOD = Duration.ofSeconds(1);

    /** Stands for the id where there is none, as of a connection between two requests. */
    public static final String NO_ID = "-";

    private final ArrayDeque<Entry> kept = new ArrayDeque<>();
    private Instant periodEnd = Instant.EPOCH;
    private int lines;
    private int unsaid;

    /** What became of a request or a connection. */
    public enum Event {
        REFUSED,
        FAILED,
        RETRIED,
        BY_DEADLINE,
        MALFORMED,
        GONE,
        CLOSED,
        CUT_OFF,
        STOPPED;

        /** Whether a request may have gone without what it is owed. */
        boolean isUnexpected() {
            return this == BY_DEADLINE || this == CUT_OFF || this == STOPPED;
        }
    }

    private record Entry(Instant at, String id, RequestLog.Event what, String why) {
        @Override
        public String toString() {
            return at + " " + id + " " + what.name().toLowerCase(Locale.ROOT) + ": " + why;
        }
    }

    /** Notes what became of it; {@code why} names the cause in a few words. */
    public synchronized void record(String id, RequestLog.Event what, String why) {
        Entry entry = new Entry(MonotonicClock.now(), id, what, why);
        kept.add(entry);
        if (kept.size() > MOST_KEPT) {
            kept.poll();
        }
        if (what.isUnexpected()) {
            tell(entry);
        }
    }

    private void tell(Entry entry) {
        if (!entry.at().isBefore(periodEnd)) {
            if (unsaid > 0) {
                LOG.log(Level.WARNING, "{0} more such requests were not named", unsaid);
            }
            periodEnd = entry.at().plus(PERIOD);
            lines = 0;
            unsaid = 0;
        }
        if (lines++ < MOST_LINES) {
            LOG.log(Level.WARNING, "request {0} {1}: {2}", entry.id(), entry.what(), entry.why());
        } else {
            unsaid++;
        }
    }

    /** The latest, the oldest first, one a line. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        kept.forEach(entry -> text.append(entry).append('\n'));
        return text.toString();
    }
}
