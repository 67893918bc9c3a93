package cypressglade.nbd;

import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
import cypressglade.core.Scheduler.Status;
import cypressglade.net.Connection;
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

/** Storage nodes that are NBD servers, one command at a time on each connection. */
public final class NbdNodeLink implements NodeLink<NbdWork> {
    private static final String PROBE = "/probe";

    private final NodePool pool;
    private volatile NbdConfig config;
    private long lastCookie;

    public NbdNodeLink(NodePool pool, NbdConfig config) {
        this.pool = pool;
        this.config = config;
    }

    /** Takes a new configuration: the next command goes by it. */
    public void use(NbdConfig next) {
        config = next;
    }

    /** Whether a node is one of this front's. */
    public boolean speaksTo(Optional<NodeDirectory.ListedNode> node) {
        return node.isPresent() && config.nodes().containsKey(node.get().id());
    }

    @Override
    public Attempt send(
            long node,
            NbdWork work,
            Instant until,
            BooleanSupplier wanted,
            Consumer<NodeLink.AttemptResult> ended) {
        if (work.onlyNode() != NbdWork.ANY_NODE && work.onlyNode() != node) {
            ended.accept(
                    NodeLink.AttemptResult.withoutResponse(
                            Status.MOOT)); // the node that wrote is not there any more
            return () -> {};
        }
        return new Command(node, work, until, wanted, ended).start();
    }

    @Override
    public void probe(long node, Consumer<NodeLink.AttemptResult> ended) {
        new Handshake(node, ended).start();
    }

    /** A connection's way to a node on this wire, ready for commands on one export. */
    private abstract class NbdExchange extends NodePool.Exchange {
        private final NbdConfig.Export export;

        NbdExchange(
                long node,
                NbdConfig.Export export,
                Instant until,
                BooleanSupplier wanted,
                Consumer<NodeLink.AttemptResult> ended) {
            pool.super(node, until, wanted, ended);
            this.export = export;
        }

        @Override
        protected Optional<InetSocketAddress> address(NodeDirectory.ListedNode known) {
            return Optional.ofNullable(config.nodes().get(known.id()));
        }

        @Override
        protected String purpose() {
            return "/" + export.name();
        }

        @Override
        protected void prepare(Connection fresh, Runnable ready, Runnable unusable) {
            fresh.readInto(new ClientHandshake(fresh, export, ready, unusable));
        }
    }

    private final class Command extends NbdExchange {
        private final NbdWork work;
        private final ReplyParser parser;
        private final long cookie;

        Command(
                long node,
                NbdWork work,
                Instant until,
                BooleanSupplier wanted,
                Consumer<NodeLink.AttemptResult> ended) {
            super(node, work.export(), until, wanted, ended);
            this.work = work;
            synchronized (NbdNodeLink.this) {
                cookie = ++lastCookie;
            }
            parser = new ReplyParser(work, cookie);
        }

        @Override
        protected List<ByteBuffer> message(Duration left) {
            return work.message(cookie);
        }

        @Override
        protected Optional<Status> read(ByteBuffer in) throws IOException {
            return parser.feed(in);
        }

        @Override
        protected boolean isReusable() {
            return true;
        }

        @Override
        protected byte[] answer() {
            return parser.data();
        }
    }

    /** A sign of life: a whole handshake, after which the connection is left in the proper way. */
    private final class Handshake extends NbdExchange {
        Handshake(long node, Consumer<NodeLink.AttemptResult> ended) {
            super(
                    node,
                    config.exports().get(0),
                    MonotonicClock.now().plus(NodePool.PROBE_TIMEOUT),
                    () -> true,
                    ended);
        }

        @Override
        protected String purpose() {
            return PROBE;
        }

        @Override
        protected List<ByteBuffer> message(Duration left) {
            return new NbdWork(
                            config.exports().get(0),
                            Nbd.CMD_DISC,
                            0,
                            0,
                            new byte[0],
                            NbdWork.ANY_NODE)
                    .message(0);
        }

        @Override
        protected Optional<Status> read(ByteBuffer in) throws IOException {
            throw new IOException("a reply to DISC");
        }

        @Override
        protected Optional<Status> readEndOfStream() {
            return Optional.of(Status.OK);
        }

        @Override
        protected boolean isReusable() {
            return false;
        }

        @Override
        protected byte[] answer() {
            return new byte[0];
        }
    }
}
