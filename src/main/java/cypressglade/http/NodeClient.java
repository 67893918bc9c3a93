package cypressglade.http;

import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
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

/** The platform's storage nodes: HTTP/1.1. */
public final class NodeClient implements NodeLink<HttpWork> {
    /**
     * Answers of some 400 KB were seen where the protocol speaks of 64 KiB: such an answer is a
     * good one. Beyond this it is none, and all that are coming in together stay within the budget.
     */
    private static final int MOST_BODY = 2 << 20;

    /** An answer is written at once: where its rest stays out for so long, it never comes. */
    private static final Duration MOST_SILENCE = Duration.ofMillis(200);

    private final NodePool pool;
    private volatile List<String> loadNames;
    private volatile int mostComing;
    private int coming;

    /**
     * Nodes behind a pool, whose answers may take so much room while they come, and whose load
     * reports name these figures ({@code Settings.loadNames}).
     */
    public NodeClient(NodePool pool, int mostComing, List<String> loadNames) {
        this.pool = pool;
        this.mostComing = mostComing;
        this.loadNames = List.copyOf(loadNames);
    }

    /** Takes a new bound on what is coming in, and the names of a load report. */
    public void reconfigure(int most, List<String> names) {
        mostComing = most;
        loadNames = List.copyOf(names);
    }

    @Override
    public Attempt send(
            long node,
            HttpWork work,
            Instant until,
            BooleanSupplier wanted,
            Consumer<NodeLink.AttemptResult> ended) {
        return new HttpExchange(node, work::message, until, wanted, ended).start();
    }

    @Override
    public void probe(long node, Consumer<NodeLink.AttemptResult> ended) {
        Instant until = MonotonicClock.now().plus(NodePool.PROBE_TIMEOUT);
        new HttpExchange(node, left -> HttpWork.probe(), until, () -> true, ended).start();
    }

    private final class HttpExchange extends NodePool.Exchange {
        private final Function<Duration, List<ByteBuffer>> message;
        private final Body body = new Body();
        private final ResponseParser parser = new ResponseParser(this::take, MOST_BODY);

        HttpExchange(
                long node,
                Function<Duration, List<ByteBuffer>> message,
                Instant until,
                BooleanSupplier wanted,
                Consumer<NodeLink.AttemptResult> ended) {
            pool.super(node, until, wanted, ended);
            this.message = message;
        }

        @Override
        protected Optional<InetSocketAddress> address(NodeDirectory.ListedNode known) {
            return Optional.of(known.address());
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
            return Optional.of(MOST_SILENCE);
        }

        @Override
        protected boolean isReusable() {
            return parser.isReusable();
        }

        @Override
        protected byte[] answer() {
            return body.bytes();
        }

        @Override
        protected NodeLink.ResponseMetadata responseMetadata() {
            return parser.isComplete()
                    ? parser.report().toResponseMetadata(loadNames)
                    : NodeLink.ResponseMetadata.NOTHING;
        }

        private Status status() {
            if (parser.neverRan() && (parser.status() == 503 || parser.status() == 504)) {
                return Status.FULL;
            }
            return parser.status() == 200 ? Status.OK : Status.ERROR;
        }

        private void take(ByteBuffer part) throws IOException {
            coming -= body.room();
            body.add(part, parser.length());
            coming += body.room();
            if (coming > mostComing) {
                throw new IOException("no room for the answer");
            }
        }

        @Override
        protected void release() {
            coming -= body.room();
        }
    }
}
