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
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Client of the platform's storage nodes, by HTTP/1.1 (RFC 9112). Its state belongs to the I/O
 * thread; {@link #reconfigure} may be called from any thread.
 */
public final class NodeClient implements NodeLink<NodeRequest> {
    /** The longest answer body; a longer one is an error. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    /**
     * The longest part of an answer that is held back until the answer is whole. The protocol's
     * ordinary answers are no longer than this. A longer one is passed on while it arrives, and its
     * request cannot be sent again from then on.
     */
    private static final int MAX_HELD_BYTES = 64 * 1024;

    /** Bytes of one read of an answer that is held back: what all of them hold grows by little. */
    private static final int HELD_READ_BYTES = 4 * 1024;

    /** Time without input after which an answer that has begun is reported as silent. */
    private static final Duration SILENCE_TIME = Duration.ofMillis(200);

    private final NodePool pool;
    private volatile List<String> loadNames;
    private volatile int maxBufferedBytes;
    private int bufferedBytes;

    /**
     * Creates a client that sends through a pool.
     *
     * @param maxBufferedBytes the bytes of all answers together that are held back; beyond that
     *     each is passed on as it comes
     * @param loadNames the names of the figures in a node's load report ({@code
     *     Settings.loadNames})
     */
    public NodeClient(NodePool pool, int maxBufferedBytes, List<String> loadNames) {
        this.pool = pool;
        this.maxBufferedBytes = maxBufferedBytes;
        this.loadNames = List.copyOf(loadNames);
    }

    /**
     * Changes how many bytes of all answers together are held back, and the names of the figures in
     * a load report.
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
            AttemptObserver observer) {
        return new HttpExchange(node, request::encode, false, deadline, wanted, observer).start();
    }

    @Override
    public void probe(long node, Consumer<AttemptResult> resultConsumer) {
        Instant deadline = MonotonicClock.now().plus(NodePool.PROBE_TIMEOUT);
        new HttpExchange(
                        node,
                        left -> NodeRequest.encodeProbe(),
                        true,
                        deadline,
                        () -> true,
                        resultConsumer::accept)
                .start();
    }

    private final class HttpExchange extends NodePool.Exchange {
        private final Function<Duration, List<ByteBuffer>> message;
        private final boolean isProbe;
        private final ResponseBody body = new ResponseBody();
        private final PassedParts parts = new PassedParts();
        private final ResponseParser parser = new ResponseParser(this::addToBody, MAX_BODY_BYTES);

        HttpExchange(
                long node,
                Function<Duration, List<ByteBuffer>> message,
                boolean isProbe,
                Instant deadline,
                BooleanSupplier wanted,
                AttemptObserver observer) {
            pool.super(node, deadline, wanted, observer);
            this.message = message;
            this.isProbe = isProbe;
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
            try {
                return parser.feed(in) ? Optional.of(status()) : Optional.empty();
            } finally {
                parts.take().ifPresent(this::passOn);
            }
        }

        @Override
        protected Optional<Status> readEndOfStream() {
            return parser.readEndOfStream() ? Optional.of(status()) : Optional.empty();
        }

        @Override
        protected Optional<Duration> silenceTime() {
            return isProbe ? Optional.empty() : Optional.of(SILENCE_TIME);
        }

        @Override
        protected int readLimit() {
            return HELD_READ_BYTES;
        }

        @Override
        protected boolean mustPassOn() {
            return isServable()
                    && (parser.length() > MAX_HELD_BYTES
                            || body.size() > MAX_HELD_BYTES
                            || bufferedBytes > maxBufferedBytes);
        }

        @Override
        protected boolean mayPassOn() {
            return isServable() && parser.length() < 0 && body.size() > 0;
        }

        /** Whether the answer serves its request, as far as it has arrived. */
        private boolean isServable() {
            return !isProbe && parser.hasHead() && parser.status() == 200;
        }

        @Override
        protected OptionalLong answerLength() {
            return parser.length() < 0 ? OptionalLong.empty() : OptionalLong.of(parser.length());
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
            return parser.isComplete() || isPassedOn()
                    ? parser.report().toResponseMetadata(loadNames)
                    : ResponseMetadata.NOTHING;
        }

        private Status status() {
            if (parser.neverRan() && (parser.status() == 503 || parser.status() == 504)) {
                return Status.FULL;
            }
            return parser.status() == 200 ? Status.OK : Status.ERROR;
        }

        private void addToBody(ByteBuffer part) {
            if (isPassedOn()) {
                parts.add(part);
            } else if (isServable()) {
                bufferedBytes -= body.capacity();
                body.append(part, parser.length());
                bufferedBytes += body.capacity();
            }
        }

        @Override
        protected void release() {
            bufferedBytes -= body.capacity();
            body.release();
        }
    }
}
