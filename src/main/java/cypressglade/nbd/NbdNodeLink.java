package cypressglade.nbd;

import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
import cypressglade.core.NodeLink.AttemptResult;
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

/**
 * Sends commands to storage nodes that are NBD servers, one command at a time on each connection.
 * Connections are pooled by node and export, as a handshake opens one export.
 */
public final class NbdNodeLink implements NodeLink<NodeCommand> {
    private static final String PROBE_PURPOSE = "/probe";

    private final NodePool pool;
    private volatile NbdConfig config;
    private long lastCookie;

    /** Creates a link to the nodes in {@code config} that takes its connections from a pool. */
    public NbdNodeLink(NodePool pool, NbdConfig config) {
        this.pool = pool;
        this.config = config;
    }

    /** Sets a new configuration, which applies from the next command. */
    public void reconfigure(NbdConfig next) {
        config = next;
    }

    /** Returns whether a node is listed in this front's configuration. */
    public boolean isNbdNode(Optional<NodeDirectory.ListedNode> node) {
        return node.isPresent() && config.nodes().containsKey(node.get().id());
    }

    @Override
    public Attempt send(
            long node,
            NodeCommand command,
            Instant deadline,
            BooleanSupplier isWanted,
            AttemptObserver observer) {
        if (command.requiredNode() != NodeCommand.ANY_NODE && command.requiredNode() != node) {
            observer.ended(
                    AttemptResult.withoutResponse(
                            Status.MOOT)); // the node with the writes to flush is gone
            return () -> {};
        }
        return new CommandExchange(node, command, deadline, isWanted, observer).start();
    }

    @Override
    public void probe(long node, Consumer<AttemptResult> ended) {
        new ProbeExchange(node, ended).start();
    }

    /** An exchange on a connection whose handshake opens one export. */
    private abstract class NbdExchange extends NodePool.Exchange {
        private final NbdConfig.Export export;

        NbdExchange(
                long node,
                NbdConfig.Export export,
                Instant deadline,
                BooleanSupplier isWanted,
                AttemptObserver observer) {
            pool.super(node, deadline, isWanted, observer);
            this.export = export;
        }

        @Override
        protected Optional<InetSocketAddress> address(NodeDirectory.ListedNode listedNode) {
            return Optional.ofNullable(config.nodes().get(listedNode.id()));
        }

        @Override
        protected String purpose() {
            return "/" + export.name();
        }

        @Override
        protected void prepare(Connection connection, Runnable onReady, Runnable onFailure) {
            connection.readInto(new ClientHandshake(connection, export, onReady, onFailure));
        }
    }

    private final class CommandExchange extends NbdExchange {
        private final NodeCommand command;
        private final ReplyParser parser;
        private final long cookie;

        CommandExchange(
                long node,
                NodeCommand command,
                Instant deadline,
                BooleanSupplier isWanted,
                AttemptObserver observer) {
            super(node, command.export(), deadline, isWanted, observer);
            this.command = command;
            synchronized (NbdNodeLink.this) {
                cookie = ++lastCookie;
            }
            parser = new ReplyParser(command, cookie);
        }

        @Override
        protected List<ByteBuffer> message(Duration left) {
            return command.encode(cookie);
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

    /**
     * A probe: completes a handshake and ends the connection by {@code NBD_CMD_DISC}. The node
     * answers it by closing the connection.
     */
    private final class ProbeExchange extends NbdExchange {
        ProbeExchange(long node, Consumer<AttemptResult> ended) {
            super(
                    node,
                    config.exports().get(0),
                    MonotonicClock.now().plus(NodePool.PROBE_TIMEOUT),
                    () -> true,
                    ended::accept);
        }

        @Override
        protected String purpose() {
            return PROBE_PURPOSE;
        }

        @Override
        protected List<ByteBuffer> message(Duration left) {
            return new NodeCommand(
                            config.exports().get(0),
                            NbdProtocol.CMD_DISC,
                            0,
                            0,
                            new byte[0],
                            NodeCommand.ANY_NODE)
                    .encode(0);
        }

        @Override
        protected Optional<Status> read(ByteBuffer in) throws IOException {
            throw new IOException("unexpected reply to NBD_CMD_DISC");
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
