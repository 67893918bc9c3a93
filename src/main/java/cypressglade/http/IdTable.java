package cypressglade.http;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.time.Duration;

/**
 * A set of ids, each kept for a time, in memory that several processes may share. It is bounded:
 * where a part of it is full, the id that would be dropped first makes room. Every entry is one
 * word, of a part of the id's hash and the time of its end, and is replaced atomically.
 */
final class IdTable {
    private static final int SLOTS = 1 << 15;

    /** The size of the memory, which holds an empty table where all of it is zero. */
    static final int BYTES = SLOTS * Long.BYTES;

    /** Slots that an id may be in, from the one that its hash gives. */
    private static final int PROBES = 16;

    private static final long EMPTY = 0;
    private static final long TICK_MASK = (1L << 24) - 1;

    /** Set in every word, so that none is taken for an empty one. */
    private static final long USED = 1L << 24;

    private static final long NANOS_PER_TICK = 50_000_000;
    private static final VarHandle WORDS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /** An id is kept for two hours at most; an end further away was written days ago. */
    private static final long MAX_TICKS = Duration.ofHours(2).toNanos() / NANOS_PER_TICK;

    private final ByteBuffer memory;

    /**
     * Creates a view of a table.
     *
     * @param memory of {@link #BYTES} bytes, direct or mapped
     */
    IdTable(ByteBuffer memory) {
        this.memory = memory;
    }

    /**
     * Adds an id, by its hash; returns false where it is there. Where two processes add it at the
     * same moment, one of them or none is told that it was added.
     *
     * @param nowNanos the time by {@link System#nanoTime}, which all processes share
     * @param keptNanos for how long the id is kept
     */
    boolean add(long hash, long nowNanos, long keptNanos) {
        long now = tick(nowNanos);
        long keptTicks = Math.min(keptNanos / NANOS_PER_TICK + 1, MAX_TICKS);
        long word = hash & ~TICK_MASK | USED | (now + keptTicks) & TICK_MASK;
        int slot = -1;
        while (slot < 0) {
            if (find(hash, now, -1) >= 0) {
                return false;
            }
            int candidate = replaceableSlot(hash, now);
            if (compareAndSet(candidate, get(candidate), word, hash, now)) {
                slot = candidate;
            }
        }
        if (find(hash, now, slot) >= 0) { // added by another process meanwhile
            WORDS.compareAndSet(memory, slot * Long.BYTES, word, EMPTY);
            return false;
        }
        return true;
    }

    /** Removes an id, by its hash; has no effect where it is not there. */
    void remove(long hash, long nowNanos) {
        int slot = find(hash, tick(nowNanos), -1);
        if (slot >= 0) {
            long word = get(slot);
            if (isSame(word, hash)) {
                WORDS.compareAndSet(memory, slot * Long.BYTES, word, EMPTY);
            }
        }
    }

    /** Copies the ids of another table that are still kept there, where there is a free slot. */
    void addAll(IdTable other, long nowNanos) {
        long now = tick(nowNanos);
        for (int slot = 0; slot < SLOTS; slot++) {
            long word = other.get(slot);
            if (isLive(word, now)) {
                addNear(slot, word, now);
            }
        }
    }

    private void addNear(int slot, long word, long now) {
        for (int i = 0; i < PROBES; i++) {
            int candidate = (slot + i) % SLOTS;
            long present = get(candidate);
            if (!isLive(present, now)
                    && WORDS.compareAndSet(memory, candidate * Long.BYTES, present, word)) {
                return;
            }
        }
    }

    private boolean compareAndSet(int slot, long expected, long word, long hash, long now) {
        boolean isTaken = isLive(expected, now) && isSame(expected, hash);
        return !isTaken && WORDS.compareAndSet(memory, slot * Long.BYTES, expected, word);
    }

    /** The slot that holds the id, other than one; -1 where there is none. */
    private int find(long hash, long now, int except) {
        for (int i = 0; i < PROBES; i++) {
            int slot = slot(hash, i);
            long word = get(slot);
            if (slot != except && isLive(word, now) && isSame(word, hash)) {
                return slot;
            }
        }
        return -1;
    }

    /** A free slot for the id, or the one whose id is dropped first. */
    private int replaceableSlot(long hash, long now) {
        int soonest = slot(hash, 0);
        for (int i = 0; i < PROBES; i++) {
            int slot = slot(hash, i);
            if (!isLive(get(slot), now)) {
                return slot;
            }
            if (ticksLeft(get(slot), now) < ticksLeft(get(soonest), now)) {
                soonest = slot;
            }
        }
        return soonest;
    }

    /** The ids of one hash's low bits stand near each other, in the same order in each table. */
    private static int slot(long hash, int probe) {
        return (int) ((hash + probe) & (SLOTS - 1));
    }

    private long get(int slot) {
        return (long) WORDS.getVolatile(memory, slot * Long.BYTES);
    }

    private static boolean isSame(long word, long hash) {
        return (word & ~TICK_MASK) == (hash & ~TICK_MASK | USED);
    }

    private static boolean isLive(long word, long now) {
        long left = ticksLeft(word, now);
        return word != EMPTY && left > 0 && left <= MAX_TICKS;
    }

    private static long ticksLeft(long word, long now) {
        return (word - now) & TICK_MASK;
    }

    private static long tick(long nanos) {
        return nanos / NANOS_PER_TICK;
    }
}
