package cypressglade.http;

import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
import cypressglade.core.NodeLink.AttemptResult;
import cypressglade.core.NodeLink.ResponseMetadata;
import cypressglade.core.Scheduler.Status;
import cypressglade.net.NodePool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Client of the platform's storage nodes, by HTTP/1.1 (RFC 9112). Its state belongs to the I/O
 * thread; {@link #reconfigure} may be called from any thread.
 */
public final class NodeClient implements NodeLink<NodeRequest> {
    /**
     * The longest answer body. Nodes send valid answers of some 400 KB although the protocol
     * specifies 64 KiB. A longer body is an error; the bodies of all answers together are bounded
     * by the memory budget.
     */
    private static final int MAX_BODY_BYTES = 2 << 20;

    /** Nodes write an answer in one go, so the rest of one that pauses for longer never comes. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(200);

    private final NodePool pool;
    private volatile List<String> loadNames;
    private volatile int maxBufferedBytes;
    private int bufferedBytes;

    /**
     * Creates a client that sends through a pool.
     *
     * @param maxBufferedBytes the maximum size of all bodies that are being received at a time
     * @param loadNames the names of the figures in a node's load report ({@code
     *     Settings.loadNames})
     */
    public NodeClient(NodePool pool, int maxBufferedBytes, List<String> loadNames) {
        this.pool = pool;
        this.maxBufferedBytes = maxBufferedBytes;
        this.loadNames = List.copyOf(loadNames);
    }

    /**
     * Changes the maximum size of all bodies that are being received, in bytes, and the names of
     * the figures in a load report.
     */
    public void reconfigure(int maxBytes, List<String> names) {
        maxBufferedBytes = maxBytes;
        loadNames = List.copyOf(names);
    }

    @Override
    public Attempt send(
            long node,
            NodeRequest request,
            Instant deadline,
            BooleanSupplier wanted,
            Consumer<AttemptResult> resultConsumer) {
        return new HttpExchange(node, request::encode, deadline, wanted, resultConsumer).start();
    }

    @Override
    public void probe(long node, Consumer<AttemptResult> resultConsumer) {
        Instant deadline = MonotonicClock.now().plus(NodePool.PROBE_TIMEOUT);
        new HttpExchange(
                        node,
                        left -> NodeRequest.encodeProbe(),
                        deadline,
                        () -> true,
                        resultConsumer)
                .start();
    }

    private final class HttpExchange extends NodePool.Exchange {
        private final Function<Duration, List<ByteBuffer>> message;
        private final ResponseBody body = new ResponseBody();
        private final ResponseParser parser = new ResponseParser(this::addToBody, MAX_BODY_BYTES);

        HttpExchange(
                long node,
                Function<Duration, List<ByteBuffer>> message,
                Instant deadline,
                BooleanSupplier wanted,
                Consumer<AttemptResult> resultConsumer) {
            pool.super(node, deadline, wanted, resultConsumer);
            this.message = message;
        }

        @Override
        protected Optional<InetSocketAddress> address(NodeDirectory.ListedNode listedNode) {
            return Optional.of(listedNode.address());
        }

        @Override
        protected List<ByteBuffer> message(Duration left) {
            return message.apply(left);
        }

        @Override
        protected Optional<Status> read(ByteBuffer in) throws IOException {
            return parser.feed(in) ? Optional.of(status()) : Optional.empty();
        }

        @Override
        protected Optional<Status> readEndOfStream() {
            return parser.readEndOfStream() ? Optional.of(status()) : Optional.empty();
        }

        @Override
        protected Optional<Duration> maxSilence() {
            return Optional.of(MAX_SILENCE);
        }

        @Override
        protected boolean isReusable() {
            return parser.isReusable();
        }

        @Override
        protected byte[] answer() {
            return body.toByteArray();
        }

        @Override
        protected ResponseMetadata responseMetadata() {
            return parser.isComplete()
                    ? parser.report().toResponseMetadata(loadNames)
                    : ResponseMetadata.NOTHING;
        }

        private Status status() {
            if (parser.neverRan() && (parser.status() == 503 || parser.status() == 504)) {
                return Status.FULL;
            }
            return parser.status() == 200 ? Status.OK : Status.ERROR;
        }

        private void addToBody(ByteBuffer part) throws IOException {
            bufferedBytes -= body.capacity();
            body.append(part, parser.length());
            bufferedBytes += body.capacity();
            if (bufferedBytes > maxBufferedBytes) {
                throw new IOException("no buffer space left for the response");
            }
        }

        @Override
        protected void release() {
            bufferedBytes -= body.capacity();
        }
    }
}
