package cypressglade.recent;

import java.util.Arrays;
import java.util.function.LongConsumer;

/**
 * A hash table from a number to three others that holds a fixed number of entries, in the order in
 * which they were put. All of its memory is taken at its creation, {@link #BYTES_PER_ENTRY} for
 * each entry; where it is full a new entry takes the place of the oldest. Every operation on one
 * entry takes constant time on average. Not safe for use by several threads.
 */
public final class RecentEntries {
    /** Heap that one entry takes at the most, its part of the index included. */
    public static final int BYTES_PER_ENTRY = 4 * Long.BYTES + 5 * Integer.BYTES;

    private static final int NONE = -1;

    /** From the finalizer of MurmurHash3: spreads what differs in few bits. */
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;

    private static final int MIX_SHIFT = 33;

    private final long[] keys;
    private final long[] firsts;
    private final long[] seconds;
    private final long[] thirds;
    private final int[] older; // neighbours in the order of entry
    private final int[] newer;
    private final int[] chained; // next entry of the same bucket, or the next free one
    private final int[] buckets;
    private final int mask;
    private int free;
    private int oldest = NONE;
    private int newest = NONE;
    private int size;

    /** One entry, as it stood when it was read. */
    public record Entry(long key, long first, long second, long third) {}

    /**
     * Creates an empty table.
     *
     * @param capacity entries that it holds at the most, at least 1
     */
    public RecentEntries(int capacity) {
        keys = new long[capacity];
        firsts = new long[capacity];
        seconds = new long[capacity];
        thirds = new long[capacity];
        older = new int[capacity];
        newer = new int[capacity];
        chained = new int[capacity];
        // Between one half and one bucket for each entry, as the number is a power of two.
        buckets = new int[Integer.highestOneBit(capacity)];
        mask = buckets.length - 1;
        clear();
    }

    /** Removes all entries. */
    public void clear() {
        Arrays.fill(buckets, NONE);
        for (int i = 0; i < chained.length; i++) {
            chained[i] = i + 1 < chained.length ? i + 1 : NONE;
        }
        free = 0;
        oldest = NONE;
        newest = NONE;
        size = 0;
    }

    /** Number of entries. */
    public int size() {
        return size;
    }

    /** Number of entries at the most. */
    public int capacity() {
        return keys.length;
    }

    /** Whether the next new key takes the place of the oldest entry. */
    public boolean isFull() {
        return size == keys.length;
    }

    /** Puts an entry as the newest, in place of an earlier one of its key or of the oldest. */
    public void put(long key, long first, long second, long third) {
        int known = find(key);
        if (known != NONE) {
            removeAt(known);
        } else if (isFull()) {
            removeAt(oldest);
        }
        int at = free;
        free = chained[at];
        keys[at] = key;
        firsts[at] = first;
        seconds[at] = second;
        thirds[at] = third;
        int bucket = bucket(key);
        chained[at] = buckets[bucket];
        buckets[bucket] = at;
        older[at] = newest;
        newer[at] = NONE;
        if (newest == NONE) {
            oldest = at;
        } else {
            newer[newest] = at;
        }
        newest = at;
        size++;
    }

    /** Replaces the third number of a key's entry, which keeps its place; ignored without one. */
    public void setThird(long key, long third) {
        int at = find(key);
        if (at != NONE) {
            thirds[at] = third;
        }
    }

    /** Returns the entry of a key; null where there is none. */
    public Entry get(long key) {
        return entryAt(find(key));
    }

    /** Removes and returns the entry of a key; null where there is none. */
    public Entry remove(long key) {
        int at = find(key);
        Entry found = entryAt(at);
        if (at != NONE) {
            removeAt(at);
        }
        return found;
    }

    /** Returns the entry that was put first; null where there is none. */
    public Entry oldest() {
        return entryAt(oldest);
    }

    /**
     * Calls {@code reader} with each key, oldest first; the table must not be changed meanwhile.
     */
    public void forEachKey(LongConsumer reader) {
        for (int at = oldest; at != NONE; at = newer[at]) {
            reader.accept(keys[at]);
        }
    }

    private Entry entryAt(int at) {
        return at == NONE ? null : new Entry(keys[at], firsts[at], seconds[at], thirds[at]);
    }

    private int find(long key) {
        int at = buckets[bucket(key)];
        while (at != NONE && keys[at] != key) {
            at = chained[at];
        }
        return at;
    }

    private int bucket(long key) {
        long mixed = (key ^ key >>> MIX_SHIFT) * MIX_FACTOR;
        return (int) (mixed ^ mixed >>> MIX_SHIFT) & mask;
    }

    private void removeAt(int at) {
        unchain(at);
        unlink(at);
        chained[at] = free;
        free = at;
        size--;
    }

    private void unchain(int at) {
        int bucket = bucket(keys[at]);
        if (buckets[bucket] == at) {
            buckets[bucket] = chained[at];
            return;
        }
        int before = buckets[bucket];
        while (chained[before] != at) {
            before = chained[before];
        }
        chained[before] = chained[at];
    }

    private void unlink(int at) {
        if (older[at] == NONE) {
            oldest = newer[at];
        } else {
            newer[older[at]] = newer[at];
        }
        if (newer[at] == NONE) {
            newest = older[at];
        } else {
            older[newer[at]] = older[at];
        }
    }
}
