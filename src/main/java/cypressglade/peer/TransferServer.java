package cypressglade.peer;

import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import cypressglade.net.ListeningSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Serves one transfer per connection. The server first sends a nonce, which the request must repeat
 * as a protection against replay. The I/O thread owns all state; the answer is made on another
 * thread and passed back by {@link Reply}.
 */
final class TransferServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 4;
    private static final Duration MAX_CONNECTION_TIME = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final SecureRandom random;
    private final Handler handler;
    private final ListeningSocket listening;
    private final Set<Connection> open = new HashSet<>();

    /** Answers requests. Called on the I/O thread, which it must not block. */
    interface Handler {
        void handleRequest(byte[] request, long nonce, Reply reply);
    }

    /**
     * Accepts the frames of the answer; an empty list closes the connection without an answer. To
     * be called once, from any thread.
     */
    interface Reply extends Consumer<List<byte[]>> {}

    TransferServer(EventLoop loop, InetSocketAddress listen, SecureRandom random, Handler handler)
            throws IOException {
        this.loop = loop;
        this.random = random;
        this.handler = handler;
        listening = loop.listen(listen, this::accepted);
        listening.setMaxConnections(MAX_CONNECTIONS);
    }

    InetSocketAddress address() {
        return listening.address();
    }

    private void accepted(Connection wire) {
        Session session = new Session(wire);
        open.add(wire);
        wire.readInto(session);
        wire.send(FrameCodec.encode(FrameCodec.nonce(session.nonce)));
        // Guards against clients that send nothing, or do not read the answer.
        wire.limitPhase(MAX_CONNECTION_TIME, () -> close(wire));
    }

    /** Closes a connection; the only place that does. */
    private void close(Connection wire) {
        if (open.remove(wire)) {
            wire.close();
        }
    }

    @Override
    public void close() {
        listening.close();
        loop.execute(() -> List.copyOf(open).forEach(this::close));
    }

    private final class Session implements Connection.Listener {
        private final Connection wire;
        private final long nonce = random.nextLong();
        private final FrameCodec frames = new FrameCodec(this::handleFrame);
        private boolean hasRequest;

        Session(Connection wire) {
            this.wire = wire;
        }

        private void handleFrame(byte[] frame) {
            if (!hasRequest) {
                hasRequest = true;
                handler.handleRequest(
                        frame, nonce, frames -> loop.execute(() -> sendAnswer(frames)));
            }
        }

        private void sendAnswer(List<byte[]> answer) {
            if (!open.contains(wire)) {
                return;
            }
            if (answer.isEmpty()) {
                close(wire);
            } else {
                // The client closes the connection once it has the answer; if it does not read, the
                // time limit set in accepted() closes it.
                wire.send(answer.stream().map(FrameCodec::encode).toList());
            }
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            frames.feed(in);
        }

        @Override
        public void ended() {
            close(wire);
        }
    }
}
