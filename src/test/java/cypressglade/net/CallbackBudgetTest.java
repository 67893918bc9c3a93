package cypressglade.net;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.StandIn;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** No callback of the I/O thread works for one peer for as long as the peer likes. */
class CallbackBudgetTest {
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int SETTLE_MS = 100;

    private final AtomicLong received = new AtomicLong();
    private final StandIn writer =
            new StandIn() {
                @Override
                protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
                    byte[] block = new byte[BLOCK_BYTES];
                    while (true) {
                        out.write(block);
                    }
                }
            };

    private final Connection.Listener counter =
            new Connection.Listener() {
                @Override
                public void received(ByteBuffer in) {
                    received.addAndGet(in.remaining());
                }

                @Override
                public void ended() {}
            };

    /** Guards against a timer that reads until its peer pauses. */
    @Test
    void readNowEndsBesideAPeerThatWritesAtFullSpeed() throws Exception {
        try (writer;
                EventLoop loop = new EventLoop()) {
            CompletableFuture<Connection> connected = new CompletableFuture<>();
            loop.connect(writer.address(), connected::complete, () -> {});
            Connection connection = connected.get(5, TimeUnit.SECONDS);
            Thread.sleep(SETTLE_MS);
            CompletableFuture<Boolean> isAllRead = new CompletableFuture<>();
            loop.execute(
                    () -> {
                        connection.readInto(counter);
                        isAllRead.complete(connection.readNow());
                        connection.close();
                    });
            isAllRead.get(5, TimeUnit.SECONDS);
            assertThat(received.get())
                    .isBetween(1L, (long) CallbackBudget.MAX_BYTES + EventLoop.INPUT_BUFFER_BYTES);
        }
    }

    /** Guards against a peer that is not looked at because the callback was held up before. */
    @Test
    void readNowLooksAtAPeerHoweverLongItsCallbackHasRun() throws Exception {
        try (StandIn silent = new SilentPeer();
                EventLoop loop = new EventLoop()) {
            CompletableFuture<Connection> connected = new CompletableFuture<>();
            loop.connect(silent.address(), connected::complete, () -> {});
            Connection connection = connected.get(5, TimeUnit.SECONDS);
            CompletableFuture<Boolean> isAllRead = new CompletableFuture<>();
            loop.execute(
                    () -> {
                        connection.readInto(counter);
                        hold();
                        isAllRead.complete(connection.readNow());
                        connection.close();
                    });
            assertThat(isAllRead.get(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Guards against a leave that is not seen because the callback was held up before. */
    @Test
    void readNowSeesAnEndBehindWhatMayBeSentAheadHoweverLongItsCallbackHasRun() throws Exception {
        try (StandIn leaver = new Leaver();
                EventLoop loop = new EventLoop()) {
            CompletableFuture<Connection> connected = new CompletableFuture<>();
            loop.connect(leaver.address(), connected::complete, () -> {});
            Connection connection = connected.get(5, TimeUnit.SECONDS);
            Thread.sleep(SETTLE_MS);
            CompletableFuture<Boolean> isOpen = new CompletableFuture<>();
            loop.execute(
                    () -> {
                        connection.readInto(counter);
                        hold();
                        connection.readNow(BLOCK_BYTES + 1);
                        isOpen.complete(connection.isOpen());
                        connection.close();
                    });
            assertThat(isOpen.get(5, TimeUnit.SECONDS)).isFalse();
            assertThat(received.get()).isEqualTo(BLOCK_BYTES);
        }
    }

    /** Guards against a budget that is not given anew to each callback. */
    @Test
    void eachCallbackHasABudgetOfItsOwn() throws Exception {
        try (writer;
                EventLoop loop = new EventLoop()) {
            LinkedBlockingQueue<Boolean> left = new LinkedBlockingQueue<>();
            for (int i = 0; i < 2; i++) {
                loop.execute(
                        () -> {
                            left.add(loop.budget().hasLeft());
                            loop.budget().spend(CallbackBudget.MAX_BYTES);
                            left.add(loop.budget().hasLeft());
                        });
            }
            for (boolean expected : new boolean[] {true, false, true, false}) {
                assertThat(left.poll(5, TimeUnit.SECONDS)).isEqualTo(expected);
            }
        }
    }

    /** Guards against a thread that is held and does not say by whom. */
    @Test
    void callbackThatHoldsTheThreadIsReportedWithItsOwner() throws Exception {
        try (writer;
                EventLoop loop = new EventLoop()) {
            LinkedBlockingQueue<LoopHold> holds = new LinkedBlockingQueue<>();
            loop.reportHolds(holds::add);
            loop.execute(CallbackBudgetTest::hold);
            LoopHold hold = holds.poll(5, TimeUnit.SECONDS);
            assertThat(Optional.ofNullable(hold).map(LoopHold::owner))
                    .contains("CallbackBudgetTest");
            assertThat(hold.duration().toMillis()).isGreaterThanOrEqualTo(SETTLE_MS);
        }
    }

    /** A peer that sends one block, and leaves. */
    private static final class Leaver extends StandIn {
        @Override
        protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
            out.write(new byte[BLOCK_BYTES]);
        }
    }

    /** A peer that sends nothing. */
    private static final class SilentPeer extends StandIn {
        @Override
        protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
            in.read();
        }
    }

    private static void hold() {
        try {
            Thread.sleep(SETTLE_MS);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
    }
}
