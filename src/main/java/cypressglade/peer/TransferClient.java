package cypressglade.peer;

import cypressglade.core.MonotonicClock;
import cypressglade.member.Member;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import cypressglade.peer.SealedMessage.Fault;
import cypressglade.peer.SealedMessage.RejectedException;
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
import org.xnio.XnioExecutor;

/**
 * Requests members, observations and verdicts from another instance over TCP. Frames are verified
 * and decoded on the owner's thread, one by one as they arrive, so that those received before a
 * failure are used. The round-trip time is added to the age of all observations.
 */
final class TransferClient {
    /** Maximum duration of a transfer, from the start of the connection. */
    static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final Optional<InetSocketAddress> local;
    private final Executor owner;
    private final SecureRandom random;
    private final Supplier<KeyRing> keys;

    /** Receives the events of one transfer, on the owner's thread. */
    interface Listener {
        /** The members to send with the request. */
        List<Member> members();

        /** Called for each valid frame; its observations are aged by the round-trip time. */
        void frameReceived(TransferFrame frame);

        /**
         * Called once, at the end.
         *
         * @param failure why the transfer failed; empty if the last frame was received
         */
        void finished(String failure);
    }

    /**
     * Creates a client.
     *
     * @param local address to connect from, by which others know this instance; any if empty
     * @param owner runs the listeners
     * @param keys supplies the key ring that is valid at the moment of the call
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

    /** Starts a transfer; may be called from any thread. */
    void pull(InetSocketAddress from, int maxObservations, Listener listener) {
        loop.execute(() -> new Pull(maxObservations, listener).start(from));
    }

    /** One transfer. The I/O thread owns the connection, the owner's thread the contents. */
    private final class Pull implements Connection.Listener {
        private final int maxObservations;
        private final Listener listener;
        private final FrameCodec frames = new FrameCodec(this::handleFrame);
        private XnioExecutor.Key timeout;
        private EventLoop.PendingConnection dial;
        private Connection wire;
        private boolean closed;
        // Used only by the owner's thread.
        private Instant requestedAt;
        private long clientNonce;
        private int nextIndex;
        private boolean isFinished;

        Pull(int maxObservations, Listener listener) {
            this.maxObservations = maxObservations;
            this.listener = listener;
        }

        void start(InetSocketAddress from) {
            timeout = loop.executeAfter(TIMEOUT, () -> fail("no answer in time"));
            dial =
                    loop.connect(
                            local,
                            from,
                            opened -> {
                                if (closed) {
                                    opened.close();
                                    return;
                                }
                                wire = opened;
                                wire.readInto(this);
                            },
                            () -> fail("could not connect"));
        }

        private void handleFrame(byte[] frame) {
            owner.execute(
                    () -> {
                        if (isFinished) {
                            return;
                        }
                        try {
                            if (requestedAt == null) {
                                sendRequest(FrameCodec.nonce(frame));
                            } else {
                                handleResponse(frame);
                            }
                        } catch (RejectedException rejected) {
                            finish("rejected: " + rejected.fault());
                        } catch (IOException unreadable) {
                            finish("unreadable: " + unreadable.getMessage());
                        }
                    });
        }

        private void sendRequest(long serverNonce) {
            clientNonce = random.nextLong();
            requestedAt = MonotonicClock.now();
            byte[] request =
                    SealedMessage.seal(
                            keys.get(),
                            Codec.encode(
                                    new TransferFrame(
                                            serverNonce,
                                            clientNonce,
                                            maxObservations,
                                            true,
                                            listener.members(),
                                            List.of(),
                                            Map.of()),
                                    requestedAt));
            loop.execute(
                    () -> {
                        if (!closed) {
                            wire.send(FrameCodec.encode(request));
                        }
                    });
        }

        private void handleResponse(byte[] frame) throws IOException, RejectedException {
            byte[] body = SealedMessage.open(keys.get(), frame);
            // Ages count from when the frame was written, which was after the request was sent.
            TransferFrame transfer = Codec.decodeTransfer(body, requestedAt);
            if (transfer.echoedNonce() != clientNonce || transfer.index() != nextIndex++) {
                throw new RejectedException(Fault.REPLAYED);
            }
            listener.frameReceived(transfer);
            if (transfer.last()) {
                finish("");
            }
        }

        /** Called on the owner's thread. */
        private void finish(String failure) {
            if (!isFinished) {
                isFinished = true;
                listener.finished(failure);
                loop.execute(this::closeConnection);
            }
        }

        /** Called on the I/O thread; the frames received before are handled first. */
        private void fail(String failure) {
            if (!closed) {
                owner.execute(() -> finish(failure));
                closeConnection();
            }
        }

        private void closeConnection() {
            closed = true;
            timeout.remove();
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
            fail("connection closed before the last frame");
        }
    }
}
