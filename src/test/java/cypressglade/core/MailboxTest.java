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
    private final Mailbox<Integer> mailbox = new Mailbox<>();

    @Test
    void pollReturnsItemsInOrderAndNothingAfterTheTimeout() throws Exception {
        mailbox.add(1);
        mailbox.add(2);
        assertThat(mailbox.poll(Duration.ZERO)).contains(1);
        assertThat(mailbox.poll(LONG)).contains(2);
        assertThat(mailbox.poll(Duration.ZERO)).isEmpty();
        assertThat(mailbox.poll(Duration.ofNanos(300))).isEmpty();
    }

    /** A park permit left over from another wait must not end this one. */
    @Test
    void pollKeepsWaitingAfterASpuriousWakeup() throws Exception {
        Thread consumer = Thread.currentThread();
        LockSupport.unpark(consumer);
        CompletableFuture.runAsync(
                () -> {
                    LockSupport.unpark(consumer);
                    mailbox.add(7);
                });
        assertThat(mailbox.poll(LONG)).contains(7);
    }

    @Test
    void noItemIsLostBetweenManyProducersAndAConsumerWhoseWaitsTimeOut() throws Exception {
        int itemsEach = 5000;
        List<CompletableFuture<Void>> producers =
                IntStream.range(0, 4)
                        .mapToObj(
                                producer ->
                                        CompletableFuture.runAsync(() -> add(producer, itemsEach)))
                        .toList();
        List<Integer> received = new ArrayList<>();
        while (received.size() < 4 * itemsEach) {
            mailbox.poll(Duration.ofNanos(20_000)).ifPresent(received::add);
        }
        producers.forEach(CompletableFuture::join);
        assertThat(received).doesNotHaveDuplicates().hasSize(4 * itemsEach);
        assertThat(received.stream().filter(item -> item < itemsEach)).isSorted();
    }

    private void add(int producer, int itemsEach) {
        IntStream.range(0, itemsEach).forEach(i -> mailbox.add(producer * itemsEach + i));
    }

    @Test
    void interruptEndsTheWait() {
        Thread.currentThread().interrupt();
        assertThatThrownBy(() -> mailbox.poll(LONG)).isInstanceOf(InterruptedException.class);
        assertThat(Thread.currentThread().isInterrupted()).isFalse();
    }
}
