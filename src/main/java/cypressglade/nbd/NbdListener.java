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
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import cypressglade.net.ListeningSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Where NBD clients connect. It decides nothing: each command goes to the core as a request. */
public final class NbdListener implements AutoCloseable {
    private static final int MOST_CLIENTS = 12;
    private static final Duration HANDSHAKE_LIMIT = Duration.ofSeconds(10);

    private final EventLoop loop;
    private volatile NbdConfig config;
    private volatile Settings settings;
    private final Engine engine;
    private final NodeDirectory directory;
    private final Counters counters;
    private final RequestPool pool;
    private final NodeLink<NbdWork> link;
    private final ListeningSocket listening;
    private final Set<Connection> clients = new HashSet<>();
    private volatile boolean leaving;
    private volatile boolean refusing;

    public NbdListener(
            EventLoop loop,
            NbdConfig config,
            Settings settings,
            Engine engine,
            NodeDirectory directory,
            Counters counters,
            RequestPool pool,
            NbdNodeLink link)
            throws IOException {
        this.loop = loop;
        this.config = config;
        this.settings = settings;
        this.engine = engine;
        this.directory = directory;
        this.counters = counters;
        this.pool = pool;
        this.link = link;
        listening = loop.listen(config.listen(), this::accept);
    }

    /** Takes a new configuration and the settings that it names: the next command goes by them. */
    public void use(NbdConfig next, Settings nextSettings) {
        config = next;
        settings = nextSettings;
    }

    public InetSocketAddress address() {
        return listening.address();
    }

    /** From now on a handshake is told that this program shuts down. */
    public void leave() {
        leaving = true;
    }

    /** From now on no command is taken. */
    public void refuseCommands() {
        refusing = true;
    }

    @Override
    public void close() {
        listening.close();
    }

    private void accept(Connection wire) {
        if (clients.size() >= MOST_CLIENTS) {
            wire.close();
            return;
        }
        clients.add(wire);
        ServerHandshake handshake =
                new ServerHandshake(
                        wire,
                        config,
                        this::drains,
                        (export, structured) -> new Transmission(this, wire, export, structured),
                        () -> left(wire));
        loop.executeAfter(
                HANDSHAKE_LIMIT,
                () -> {
                    if (!handshake.over()) {
                        left(wire);
                        wire.close();
                    }
                });
    }

    private boolean drains(Optional<Export> export) {
        return leaving
                || export.isPresent()
                        && export.get().extents().stream()
                                .anyMatch(extent -> directory.isDraining(extent.shard()));
    }

    void left(Connection wire) {
        clients.remove(wire);
    }

    boolean drains(int shard) {
        return leaving || directory.isDraining(shard);
    }

    boolean refusesCommands() {
        return refusing;
    }

    NbdConfig config() {
        return config;
    }

    Settings settings() {
        return settings;
    }

    NodeLink<NbdWork> link() {
        return link;
    }

    /** The most that one request of the core may carry. */
    int mostBytes() {
        return (int) Math.max(1, settings.maxUnits()) * config.unitBytes();
    }

    void execute(Runnable task) {
        loop.execute(task);
    }

    RequestTask<NbdWork> life(
            IoRequest request, NbdWork work, Responder caller, NodeLink<NbdWork> way) {
        return new RequestTask<>(engine, counters, request, work, caller, way);
    }

    boolean start(RequestTask<NbdWork> life) {
        return pool.start(life);
    }
}
