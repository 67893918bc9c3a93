package cypressglade.peer;

import cypressglade.core.MonotonicClock;
import cypressglade.member.Member;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Asks one instance for what it knows. Frames are checked and read on the owner's thread, one by
 * one as they come, so that what came before a break counts. The ways there and back count as age
 * of all that is told.
 */
final class TransferClient {
    static final Duration MOST = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final Optional<InetSocketAddress> local;
    private final Executor owner;
    private final SecureRandom random;
    private final Supplier<KeyRing> keys;

    /** Hears of one transfer, on the owner's thread. */
    interface Listener {
        /** What the question carries. */
        List<Member> members();

        /** A good frame; its words are aged by their way. */
        void came(Transfer frame);

        /** Told once: nothing where the last frame came, or why it broke off. */
        void over(String fault);
    }

    /**
     * Asks from a local address, which others know this instance by, or from any where there is
     * none.
     *
     * @param owner runs what the listeners hear of
     */
    TransferClient(
            EventLoop loop,
            Optional<InetSocketAddress> local,
            Executor owner,
            SecureRandom random,
            Supplier<KeyRing> keys) {
        this.loop = loop;
        this.local = local;
        this.owner = owner;
        this.random = random;
        this.keys = keys;
    }

    void pull(InetSocketAddress from, int mostWords, Listener listener) {
        loop.execute(() -> new Pull(mostWords, listener).start(from));
    }

    /** The socket is the I/O thread's; what the frames say is the owner's. */
    private final class Pull implements Connection.Listener {
        private final int mostWords;
        private final Listener listener;
        private final Frames frames = new Frames(this::frame);
        private EventLoop.PendingConnection dial;
        private Connection wire;
        private boolean over;
        // The owner's alone.
        private Instant asked;
        private long nonce;
        private int next;
        private boolean told;

        Pull(int mostWords, Listener listener) {
            this.mostWords = mostWords;
            this.listener = listener;
        }

        void start(InetSocketAddress from) {
            loop.executeAfter(MOST, () -> end("no answer in time"));
            dial =
                    loop.connect(
                            local,
                            from,
                            up -> {
                                if (over) {
                                    up.close();
                                    return;
                                }
                                wire = up;
                                wire.readInto(this);
                            },
                            () -> end("no connection"));
        }

        private void frame(byte[] frame) {
            owner.execute(
                    () -> {
                        if (told) {
                            return;
                        }
                        try {
                            if (asked == null) {
                                ask(Frames.nonce(frame));
                            } else {
                                answer(frame);
                            }
                        } catch (Sealed.Refused refused) {
                            tell("refused: " + refused.fault());
                        } catch (IOException unreadable) {
                            tell("unreadable: " + unreadable.getMessage());
                        }
                    });
        }

        private void ask(long theirs) {
            nonce = random.nextLong();
            asked = MonotonicClock.now();
            byte[] question =
                    Sealed.seal(
                            keys.get(),
                            Codec.bytes(
                                    new Transfer(
                                            theirs,
                                            nonce,
                                            mostWords,
                                            true,
                                            listener.members(),
                                            List.of(),
                                            Map.of()),
                                    asked));
            loop.execute(
                    () -> {
                        if (!over) {
                            wire.send(Frames.frame(question));
                        }
                    });
        }

        private void answer(byte[] frame) throws IOException, Sealed.Refused {
            byte[] body = Sealed.open(keys.get(), frame);
            // An age holds for when it was written, which is no sooner than the question went out.
            Transfer transfer = Codec.transfer(body, asked);
            if (transfer.nonce() != nonce || transfer.index() != next++) {
                throw new Sealed.Refused(Sealed.Fault.REPLAYED);
            }
            listener.came(transfer);
            if (transfer.last()) {
                tell("");
            }
        }

        /** On the owner's thread. */
        private void tell(String fault) {
            if (!told) {
                told = true;
                listener.over(fault);
                loop.execute(this::giveBack);
            }
        }

        /** On the I/O thread: what frames came before are heard of first. */
        private void end(String fault) {
            if (!over) {
                owner.execute(() -> tell(fault));
                giveBack();
            }
        }

        private void giveBack() {
            over = true;
            if (wire != null) {
                wire.close();
            } else if (dial != null) {
                dial.cancel();
            }
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            frames.feed(in);
        }

        @Override
        public void ended() {
            end("broke off");
        }
    }
}
