package cypressglade.core;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Event counters since the start of the process: requests received, attempts sent, answers by
 * outcome, and traffic with other instances. Safe for use by several threads.
 */
public final class Counters {
    /** The counters, in the order in which they are printed; printed in lower case. */
    public enum Name {
        /** Well-formed requests that a front handed to the core. */
        TAKEN,
        /** Requests rejected because they could not be parsed or were too large. */
        MALFORMED,
        /** Requests rejected because the bound on open requests, bodies or threads was reached. */
        REFUSED_NO_ROOM,
        /** Requests whose body was not complete when their header had been read. */
        BODIES_AWAITED,
        /** Requests whose client disconnected before the answer. */
        GONE,
        /** Requests answered with a node's answer. */
        ANSWERED_SERVED,
        /** Requests answered as refused: not done, safe to send again. */
        ANSWERED_REFUSED,
        /** Requests answered as failed: they may have taken effect. */
        ANSWERED_FAILED,
        /** Requests failed because the scheduling policy gave no order by their deadline. */
        ANSWERED_BY_DEADLINE,
        /** Requests answered, in whatever way, 100 ms or more after their time. */
        ANSWERED_LATE,
        /** Attempts handed to a link. */
        SENT,
        /** Attempts that ended with {@link Scheduler.Status#OK}; the next seven likewise. */
        ENDED_OK,
        ENDED_ERROR,
        ENDED_FULL,
        ENDED_TIMEOUT,
        ENDED_CONNECT_FAILED,
        ENDED_RESET,
        ENDED_CANCELLED,
        ENDED_MOOT,
        /** Attempts that a link ended without sending their first byte. */
        HELD_BACK_AT_NODE,
        /** Attempts whose answer could not be parsed, and silences of answers that have begun. */
        SPOILT,
        /** Answers passed on while they arrived. */
        STREAMED,
        /** Answers that broke off while they were passed on. */
        STREAMS_BROKEN,
        /** Requests refused or failed as it was not known whether their client was still there. */
        CLIENT_UNKNOWN,
        /** Connections closed to make room for the bytes of others. */
        CLOSED_FOR_ROOM,
        /** Node connections closed because bytes followed a whole answer. */
        STRAY_BYTES,
        /** Probes sent to nodes. */
        PROBES,
        /** Connections opened to nodes. */
        CONNECTIONS_OPENED,
        /** Callbacks that held the I/O thread for 50 ms or more. */
        LOOP_HOLDS,
        /** Milliseconds for which they held it. */
        LOOP_HELD_MS,
        /** Node lists and changes of them that the scheduling policy has processed. */
        LISTS,
        /** Discovery watches that broke. */
        WATCH_BROKEN,
        /** Configuration reloads that took effect. */
        RELOADS,
        /** Configuration reloads that were rejected. */
        RELOADS_REJECTED,
        /** Exceptions thrown while the engine handled an event. */
        MODULE_FAULTS,
        /** Peer observations passed to the scheduling policy. */
        HINTS_TAKEN,
        /** Peer observations dropped because of their age. */
        HINTS_AGED_OUT,
        /** Peer observations that this instance's own answers confirmed. */
        HINTS_CONFIRMED,
        /** Peer observations that this instance's own answers contradicted. */
        HINTS_CONTRADICTED,
        /** Observations received from other instances and stored. */
        WORDS_TAKEN,
        /** Observations received from other instances and not stored. */
        WORDS_REFUSED,
        /** Datagrams received on the peer port. */
        PEER_MESSAGES,
        /** Peer messages that failed verification. */
        PEER_REFUSED,
        /** Messages and other work of the peer thread dropped because its queue was full. */
        PEER_DROPPED,
        /** State transfers served to other instances. */
        TRANSFERS_SERVED,
        /** State transfers received whole from other instances. */
        TRANSFERS_TAKEN,
        /** State transfers from other instances that broke off. */
        TRANSFERS_BROKEN,
        /** Snapshots written. */
        SNAPSHOTS_WRITTEN,
        /** Snapshots that could not be written. */
        SNAPSHOTS_FAILED,
        /** Snapshots found unusable when they were read. */
        SNAPSHOTS_IGNORED,
        /** The storm detector's count of the same name, as are the next five. */
        STORM_DAMPINGS,
        STORM_SLOTS_GIVEN,
        STORM_SLOTS_KEPT,
        STORM_CAME_EARLY,
        STORM_TURNED_AWAY,
        STORM_WRITES_KEPT_ONCE
    }

    /**
     * What is held now of requests that are over, as of the latest request; printed in lower case
     * behind the counters, with the heap.
     */
    public enum Gauge {
        /** Refusals by which retries are recognized. */
        REFUSALS_REMEMBERED,
        /** Volumes whose limits and demand are known. */
        VOLUMES_KNOWN,
        /** Writes that could come again; 0 where the measures against storms are off. */
        WRITES_REMEMBERED,
        /** Retry slots that are booked; 0 where the measures against storms are off. */
        SLOTS_BOOKED
    }

    private static final int BYTES_PER_KB = 1024;

    private final Map<Name, LongAdder> counts = new EnumMap<>(Name.class);
    private final Map<Gauge, AtomicLong> gauges = new EnumMap<>(Gauge.class);

    /** Creates counters that are all zero. */
    public Counters() {
        for (Name name : Name.values()) {
            counts.put(name, new LongAdder());
        }
        for (Gauge gauge : Gauge.values()) {
            gauges.put(gauge, new AtomicLong());
        }
    }

    /** Adds one. */
    public void add(Name name) {
        counts.get(name).increment();
    }

    /** Adds {@code count}. */
    public void add(Name name, long count) {
        counts.get(name).add(count);
    }

    /** Counts the end of one attempt under the {@code ENDED_} counter of its status. */
    public void countAttemptEnd(Scheduler.Status status) {
        add(Name.valueOf("ENDED_" + status.name()));
    }

    /** The count so far; additions of other threads meanwhile may be missing. */
    public long get(Name name) {
        return counts.get(name).sum();
    }

    /** Sets what is held now. */
    public void set(Gauge gauge, long value) {
        gauges.get(gauge).set(value);
    }

    /** What was held when it was last set. */
    public long get(Gauge gauge) {
        return gauges.get(gauge).get();
    }

    /**
     * All counters, then what is held now and the heap, of which garbage is a part, in KB; one line
     * each: the lower-case name, a space, the number.
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach((name, count) -> appendLine(text, name.name(), count.sum()));
        gauges.forEach((gauge, value) -> appendLine(text, gauge.name(), value.get()));
        Runtime runtime = Runtime.getRuntime();
        long used = runtime.totalMemory() - runtime.freeMemory();
        appendLine(text, "HEAP_USED_KB", used / BYTES_PER_KB);
        appendLine(text, "HEAP_MAX_KB", runtime.maxMemory() / BYTES_PER_KB);
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long number) {
        text.append(name.toLowerCase(Locale.ROOT)).append(' ').append(number).append('\n');
    }
}
