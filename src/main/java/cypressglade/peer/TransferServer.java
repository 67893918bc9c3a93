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
 * Takes one question a connection and sends its answer: a nonce goes out first, the question must
 * name it. All state is the I/O thread's; the answer is made elsewhere and comes back by {@link
 * Reply}.
 */
final class TransferServer implements AutoCloseable {
    private static final int MOST_OPEN = 4;
    private static final Duration MOST_OPEN_FOR = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final SecureRandom random;
    private final Handler handler;
    private final ListeningSocket listening;
    private final Set<Connection> open = new HashSet<>();

    /** Makes answers; called on the I/O thread, which it must not hold up. */
    interface Handler {
        void asked(byte[] question, long nonce, Reply reply);
    }

    /**
     * Takes the frames of the answer, or none for a question that gets none; from any thread, once.
     */
    interface Reply extends Consumer<List<byte[]>> {}

    TransferServer(EventLoop loop, InetSocketAddress listen, SecureRandom random, Handler handler)
            throws IOException {
        this.loop = loop;
        this.random = random;
        this.handler = handler;
        listening = loop.listen(listen, this::accepted);
        listening.setMaxConnections(MOST_OPEN);
    }

    InetSocketAddress address() {
        return listening.address();
    }

    private void accepted(Connection wire) {
        Served served = new Served(wire);
        open.add(wire);
        wire.readInto(served);
        wire.send(Frames.frame(Frames.nonce(served.nonce)));
        // Guards against who connects and says nothing, or asks and does not read.
        loop.executeAfter(MOST_OPEN_FOR, () -> end(wire));
    }

    /** The one place where a connection is given back. */
    private void end(Connection wire) {
        if (open.remove(wire)) {
            wire.close();
        }
    }

    @Override
    public void close() {
        listening.close();
        loop.execute(() -> List.copyOf(open).forEach(this::end));
    }

    private final class Served implements Connection.Listener {
        private final Connection wire;
        private final long nonce = random.nextLong();
        private final Frames frames = new Frames(this::question);
        private boolean asked;

        Served(Connection wire) {
            this.wire = wire;
        }

        private void question(byte[] frame) {
            if (!asked) {
                asked = true;
                handler.asked(frame, nonce, answer -> loop.execute(() -> answer(answer)));
            }
        }

        private void answer(List<byte[]> answer) {
            if (!open.contains(wire)) {
                return;
            }
            if (answer.isEmpty()) {
                end(wire);
            } else {
                // The asker closes once it has it all; whoever does not read is closed by the bound
                // above.
                wire.send(answer.stream().map(Frames::frame).toList());
            }
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            frames.feed(in);
        }

        @Override
        public void ended() {
            end(wire);
        }
    }
}
