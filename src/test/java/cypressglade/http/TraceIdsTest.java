package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** The table of trace ids in use: an id is registered once, and the table is bounded. */
class TraceIdsTest {
    private static final Duration DEADLINE = Duration.ofSeconds(20);

    private final TraceIds ids = new TraceIds(DEADLINE, Optional::empty);

    @Test
    void idIsRegisteredOnceUntilItIsReleased() {
        assertThat(ids.register("a")).isTrue();
        assertThat(ids.register("a")).isFalse();
        ids.release("a");
        assertThat(ids.register("a")).isTrue();
    }

    /** Guards against rejecting requests because others with long deadlines fill the table. */
    @Test
    void fullTableAcceptsNewIds() {
        for (int i = 0; i < 200_000; i++) {
            assertThat(ids.register("id" + i)).isTrue();
            assertThat(ids.register("id" + i)).as("the newest id is registered").isFalse();
        }
    }

    /** Guards against dropping ids that are kept while there is room for them. */
    @Test
    void tableKeepsTenThousandIds() {
        for (int i = 0; i < 10_000; i++) {
            assertThat(ids.register("id" + i)).isTrue();
        }
        for (int i = 0; i < 10_000; i++) {
            assertThat(ids.register("id" + i)).as("id " + i).isFalse();
        }
    }

    /** Guards against ids that one process registers and another does not know. */
    @Test
    void idsAreSharedOnceTheMemoryCanBeHad() {
        ByteBuffer memory = ByteBuffer.allocateDirect(IdTable.BYTES);
        AtomicReference<Optional<ByteBuffer>> shared = new AtomicReference<>(Optional.empty());
        TraceIds late = new TraceIds(DEADLINE, shared::get);
        TraceIds other = new TraceIds(DEADLINE, () -> Optional.of(memory));
        assertThat(late.register("before")).isTrue();
        shared.set(Optional.of(memory));
        late.share();
        assertThat(other.register("before")).isFalse();
        assertThat(other.register("after")).isTrue();
        assertThat(late.register("after")).isFalse();
    }

    /** Guards against an id that is forgotten before, or kept long after, its time. */
    @Test
    void idIsKeptForItsTime() {
        long second = Duration.ofSeconds(1).toNanos();
        IdTable table = new IdTable(ByteBuffer.allocateDirect(IdTable.BYTES));
        long now = System.nanoTime();
        assertThat(table.add(7, now, 10 * second)).isTrue();
        assertThat(table.add(7, now + 10 * second, 10 * second)).isFalse();
        assertThat(table.add(7, now + 11 * second, 10 * second)).isTrue();
    }

    /** Guards against forgetting ids of a process whose settings have longer deadlines. */
    @Test
    void idOfAProcessWithLongerDeadlinesIsKnown() {
        ByteBuffer memory = ByteBuffer.allocateDirect(IdTable.BYTES);
        TraceIds longer = new TraceIds(DEADLINE, () -> Optional.of(memory));
        TraceIds shorter = new TraceIds(Duration.ofMillis(100), () -> Optional.of(memory));
        assertThat(longer.register("a")).isTrue();
        assertThat(shorter.register("a")).isFalse();
    }
}
