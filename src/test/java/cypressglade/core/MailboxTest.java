package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class MailboxTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private final Mailbox<Integer> box = new Mailbox<>();

    @Test
    void givesWhatIsThereInOrderAndNothingAfterItsTime() throws Exception {
        box.add(1);
        box.add(2);
        assertThat(box.poll(Duration.ZERO)).contains(1);
        assertThat(box.poll(LONG)).contains(2);
        assertThat(box.poll(Duration.ZERO)).isEmpty();
        assertThat(box.poll(Duration.ofNanos(300))).isEmpty();
    }

    /** A permit that is left over from another wait must not end this one. */
    @Test
    void waitsOnThroughAWakeThatBroughtNothing() throws Exception {
        Thread taker = Thread.currentThread();
        LockSupport.unpark(taker);
        CompletableFuture.runAsync(
                () -> {
                    LockSupport.unpark(taker);
                    box.add(7);
                });
        assertThat(box.poll(LONG)).contains(7);
    }

    @Test
    void nothingIsLostBetweenManyThatAddAndOneWhoseWaitsRunOut() throws Exception {
        int each = 5000;
        List<CompletableFuture<Void>> adding =
                IntStream.range(0, 4)
                        .mapToObj(from -> CompletableFuture.runAsync(() -> add(from, each)))
                        .toList();
        List<Integer> got = new ArrayList<>();
        while (got.size() < 4 * each) {
            box.poll(Duration.ofNanos(20_000)).ifPresent(got::add);
        }
        adding.forEach(CompletableFuture::join);
        assertThat(got).doesNotHaveDuplicates().hasSize(4 * each);
        assertThat(got.stream().filter(item -> item < each)).isSorted();
    }

    private void add(int from, int each) {
        IntStream.range(0, each).forEach(i -> box.add(from * each + i));
    }

    @Test
    void anInterruptEndsTheWait() {
        Thread.currentThread().interrupt();
        assertThatThrownBy(() -> box.poll(LONG)).isInstanceOf(InterruptedException.class);
        assertThat(Thread.currentThread().isInterrupted()).isFalse();
    }
}
