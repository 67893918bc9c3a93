package cypressglade.recent;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.recent.RecentEntries.Entry;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RecentEntriesTest {
    private static final int STEPS = 20_000;

    /** Guards against an index and an order of entry that tell different things, at any size. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 17, 64, 1000})
    void holdsWhatAMapInOrderOfEntryHolds(int capacity) {
        Random random = new Random(capacity);
        RecentEntries table = new RecentEntries(capacity);
        Map<Long, Entry> expected = new LinkedHashMap<>();
        for (int step = 0; step < STEPS; step++) {
            long key = random.nextInt(2 * capacity + 1) * (random.nextBoolean() ? 1L : 1L << 40);
            if (random.nextInt(3) == 0) {
                assertThat(table.remove(key)).isEqualTo(expected.remove(key));
            } else {
                table.put(key, step, -step, 2 * step);
                expected.remove(key);
                if (expected.size() == capacity) {
                    expected.remove(expected.keySet().iterator().next());
                }
                expected.put(key, new Entry(key, step, -step, 2 * step));
            }
            assertThat(table.get(key)).isEqualTo(expected.get(key));
            assertThat(table.size()).isEqualTo(expected.size());
            assertThat(table.oldest())
                    .isEqualTo(expected.isEmpty() ? null : expected.values().iterator().next());
        }
        Map<Long, Entry> found = new LinkedHashMap<>();
        table.forEachKey(key -> found.put(key, table.get(key)));
        assertThat(found.values()).containsExactlyElementsOf(expected.values());
    }

    /**
     * Guards against a bucket that all keys of a kind share, so that each search reads them all.
     */
    @Test
    void keysThatDifferInTheirHighBitsAloneAreFoundAsFast() {
        RecentEntries table = new RecentEntries(1 << 16);
        long begin = System.nanoTime();
        for (long key = 0; key < 1 << 16; key++) {
            table.put(key << 48, key, key, key);
        }
        assertThat(System.nanoTime() - begin).isLessThan(2_000_000_000L);
        assertThat(table.get(7L << 48)).isEqualTo(new Entry(7L << 48, 7, 7, 7));
    }
}
