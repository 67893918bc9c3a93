package cypressglade.nbd;

import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.IoRequest;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
import cypressglade.core.RequestPool;
import cypressglade.core.RequestTask;
import cypressglade.core.Responder;
import cypressglade.core.Scheduler.Settings;
import cypressglade.nbd.NbdConfig.Export;
import cypressglade.net.ByteBudget;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import cypressglade.net.ListeningSocket;
import cypressglade.net.TurnQueue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Accepts NBD clients. Makes no scheduling decisions: each command, or each part of one, goes to
 * the core as a request. Connections are handled on the I/O thread; {@link #reconfigure}, {@link
 * #refuseHandshakes} and {@link #refuseCommands} may be called from any thread.
 */
public final class NbdListener implements AutoCloseable {
    private static final int MAX_CLIENTS = 12;

    /** Bytes of one read during the handshake, so that a few options are handled in an event. */
    private static final int HANDSHAKE_READ_BYTES = 512;

    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(10);

    private final EventLoop loop;
    private volatile Configuration configuration;
    private final Engine engine;
    private final NodeDirectory directory;
    private final Counters counters;
    private final RequestPool pool;
    private final NodeLink<NodeCommand> link;
    private final ByteBudget inputBudget;
    private final TurnQueue turns;
    private final ListeningSocket listening;
    private final Set<Connection> clients = new HashSet<>();
    private volatile boolean refusingHandshakes;
    private volatile boolean refusingCommands;

    /**
     * What is in force, replaced as a whole: the front's configuration names parts of the settings.
     */
    record Configuration(NbdConfig front, Settings settings) {
        /** Returns the largest number of bytes that one request to the core may read or write. */
        int maxRequestBytes() {
            return (int) Math.max(1, settings.maxUnits()) * front.unitBytes();
        }
    }

    /**
     * Starts to accept clients on the configured address.
     *
     * @param inputBudget the bytes that the input of all clients may occupy
     * @param turns in which the clients' commands are handled
     * @throws IOException if the address cannot be bound
     */
    public NbdListener(
            EventLoop loop,
            NbdConfig config,
            Settings settings,
            Engine engine,
            NodeDirectory directory,
            Counters counters,
            RequestPool pool,
            NbdNodeLink link,
            ByteBudget inputBudget,
            TurnQueue turns)
            throws IOException {
        this.loop = loop;
        this.configuration = new Configuration(config, settings);
        this.engine = engine;
        this.directory = directory;
        this.counters = counters;
        this.pool = pool;
        this.link = link;
        this.inputBudget = inputBudget;
        this.turns = turns;
        listening = loop.listen(config.listen(), this::accept);
    }

    /** Sets a new configuration and its settings, which apply from the next command. */
    public void reconfigure(NbdConfig next, Settings nextSettings) {
        configuration = new Configuration(next, nextSettings);
    }

    /** Returns the address that the listener is bound to. */
    public InetSocketAddress address() {
        return listening.address();
    }

    /** Rejects handshakes from now on, with the error that this server is shutting down. */
    public void refuseHandshakes() {
        refusingHandshakes = true;
    }

    /** Rejects commands from now on, with {@code NBD_ESHUTDOWN}. */
    public void refuseCommands() {
        refusingCommands = true;
    }

    @Override
    public void close() {
        listening.close();
    }

    private void accept(Connection connection) {
        if (clients.size() >= MAX_CLIENTS) {
            connection.close();
            return;
        }
        clients.add(connection);
        connection.setReadLimit(HANDSHAKE_READ_BYTES);
        connection.limitPhase(
                HANDSHAKE_TIMEOUT,
                () -> {
                    removeClient(connection);
                    connection.close();
                });
        new ServerHandshake(
                connection,
                configuration.front(),
                this::isDraining,
                (export, structured) -> startTransmission(connection, export, structured),
                () -> removeClient(connection));
    }

    private Transmission startTransmission(
            Connection connection, Export export, boolean structured) {
        connection.endPhase();
        return new Transmission(this, connection, export, structured);
    }

    private boolean isDraining(Optional<Export> export) {
        return refusingHandshakes
                || export.isPresent()
                        && export.get().extents().stream()
                                .anyMatch(extent -> directory.isDraining(extent.shard()));
    }

    void removeClient(Connection connection) {
        clients.remove(connection);
    }

    boolean isDraining(int shard) {
        return refusingHandshakes || directory.isDraining(shard);
    }

    boolean refusesCommands() {
        return refusingCommands;
    }

    Configuration configuration() {
        return configuration;
    }

    ByteBudget inputBudget() {
        return inputBudget;
    }

    TurnQueue turns() {
        return turns;
    }

    NodeLink<NodeCommand> link() {
        return link;
    }

    void execute(Runnable task) {
        loop.execute(task);
    }

    RequestTask<NodeCommand> createTask(
            IoRequest request,
            NodeCommand command,
            Responder responder,
            NodeLink<NodeCommand> nodeLink) {
        return new RequestTask<>(engine, counters, request, command, responder, nodeLink);
    }

    boolean start(RequestTask<NodeCommand> task) {
        return pool.start(task);
    }
}
