package cypressglade.core;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What the program took in, sent and answered, by outcome. */
public final class Counters {
    /** The names, in the order in which they are printed. */
    public enum Name {
        TAKEN,
        MALFORMED,
        REFUSED_NO_ROOM,
        BODIES_AWAITED,
        GONE,
        ANSWERED_SERVED,
        ANSWERED_REFUSED,
        ANSWERED_FAILED,
        ANSWERED_BY_DEADLINE,
        SENT,
        ENDED_OK,
        ENDED_ERROR,
        ENDED_FULL,
        ENDED_TIMEOUT,
        ENDED_CONNECT_FAILED,
        ENDED_RESET,
        ENDED_CANCELLED,
        ENDED_MOOT,
        HELD_BACK_AT_NODE,
        SPOILT,
        STRAY_BYTES,
        PROBES,
        CONNECTIONS_OPENED,
        LISTS,
        WATCH_BROKEN,
        RELOADS,
        RELOADS_REJECTED,
        MODULE_FAULTS,
        HINTS_TAKEN,
        HINTS_AGED_OUT,
        HINTS_CONFIRMED,
        HINTS_CONTRADICTED,
        WORDS_TAKEN,
        WORDS_REFUSED,
        PEER_MESSAGES,
        PEER_REFUSED,
        PEER_DROPPED,
        TRANSFERS_SERVED,
        TRANSFERS_TAKEN,
        TRANSFERS_BROKEN,
        SNAPSHOTS_WRITTEN,
        SNAPSHOTS_FAILED,
        SNAPSHOTS_IGNORED,
        STORM_DAMPINGS,
        STORM_SLOTS_GIVEN,
        STORM_SLOTS_KEPT,
        STORM_CAME_EARLY,
        STORM_TURNED_AWAY,
        STORM_WRITES_KEPT_ONCE
    }

    private final Map<Name, LongAdder> counts = new EnumMap<>(Name.class);

    public Counters() {
        for (Name name : Name.values()) {
            counts.put(name, new LongAdder());
        }
    }

    public void add(Name name) {
        counts.get(name).increment();
    }

    public void add(Name name, long count) {
        counts.get(name).add(count);
    }

    /** Counts how an attempt ended. */
    public void countAttemptEnd(Scheduler.Status status) {
        add(Name.valueOf("ENDED_" + status.name()));
    }

    public long get(Name name) {
        return counts.get(name).sum();
    }

    /** One line a counter. */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) ->
                        text.append(name.name().toLowerCase(Locale.ROOT))
                                .append(' ')
                                .append(count.sum())
                                .append('\n'));
        return text.toString();
    }
}
