package cypressglade.net;

import cypressglade.core.Counters;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.NodeLink.ResponseMetadata;
import cypressglade.core.Scheduler.Status;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;

/**
 * Connections to the storage nodes, one request at a time on each. All state is the I/O thread's.
 * Nothing is ever sent again here; an attempt's end says exactly whether its last byte was written.
 */
public final class NodePool {
    public static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);
    private static final Duration MOST_IDLE = Duration.ofSeconds(12);
    private static final Duration SWEEP = Duration.ofSeconds(1);

    /** A send that its connection delays by more would count too late against a volume's limit. */
    private static final Duration MOST_CONNECT = Duration.ofMillis(150);

    private final EventLoop loop;
    private final NodeDirectory directory;
    private final Counters counters;
    private Duration connectLimit;
    private Duration idleLimit;
    private int mostConnections;
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private int connections;

    public NodePool(
            EventLoop loop,
            NodeDirectory directory,
            Counters counters,
            Duration connectTimeout,
            Duration idleAtNode,
            int mostConnections) {
        this.loop = loop;
        this.directory = directory;
        this.counters = counters;
        reconfigure(connectTimeout, idleAtNode, mostConnections);
        loop.executeAfter(SWEEP, this::sweep);
    }

    /** Takes new limits; connections over them go as they become idle. */
    public void reconfigure(Duration connectTimeout, Duration idleAtNode, int most) {
        loop.execute(
                () -> {
                    connectLimit = shorter(connectTimeout, MOST_CONNECT);
                    idleLimit = shorter(idleAtNode.dividedBy(2), MOST_IDLE);
                    mostConnections = most;
                });
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /**
     * A connection between two requests. Whatever comes on it ends it: a node has nothing to say
     * there.
     */
    private final class Idle implements Connection.Listener {
        private final Connection wire;
        private final String use;
        private final long node;
        private final Instant since;

        Idle(Connection wire, String use, long node) {
            this.wire = wire;
            this.use = use;
            this.node = node;
            since = wire.lastActivity(); // one that was taken and not used has rested all along
        }

        @Override
        public void received(ByteBuffer in) {
            counters.add(Counters.Name.STRAY_BYTES);
            discard();
        }

        @Override
        public void ended() {
            discard();
        }

        void discard() {
            idle.get(use).remove(this);
            close(wire);
        }
    }

    /**
     * An idle connection that is still of use: not one that its node may have closed by now, nor
     * one to the process that ran before the node's last start, which may be dead without a word.
     */
    private Optional<Connection> takeIdle(String use, Instant nodeStarted) {
        ArrayDeque<Idle> kept = idle.getOrDefault(use, new ArrayDeque<>());
        Instant oldest = MonotonicClock.now().minus(idleLimit);
        while (!kept.isEmpty()) {
            Idle last = kept.pollLast();
            if (last.since.isBefore(oldest) || last.since.isBefore(nodeStarted)) {
                close(last.wire);
            } else if (last.wire.hasNoInput()) {
                return Optional.of(last.wire);
            } else {
                // Guards against bytes behind an answer that are here but not heard of yet: they
                // would be taken for the next answer.
                counters.add(Counters.Name.STRAY_BYTES);
                close(last.wire);
            }
        }
        return Optional.empty();
    }

    private void keep(Connection wire, String use, long node) {
        Idle kept = new Idle(wire, use, node);
        idle.computeIfAbsent(use, key -> new ArrayDeque<>()).addLast(kept);
        wire.readInto(kept);
    }

    /** The one place where a connection is given back. */
    private void close(Connection wire) {
        connections--;
        wire.close();
    }

    private void sweep() {
        Instant oldest = MonotonicClock.now().minus(idleLimit);
        for (ArrayDeque<Idle> kept : idle.values()) {
            // Nothing more goes to a node that drains or is gone: its connections are of no use to
            // anyone.
            List.copyOf(kept).stream()
                    .filter(
                            one ->
                                    one.since.isBefore(oldest)
                                            || directory.findReady(one.node).isEmpty())
                    .forEach(Idle::discard);
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        loop.executeAfter(SWEEP, this::sweep);
    }

    /**
     * Makes room for a connection at the cost of the one that was idle longest; false where all
     * work.
     */
    private boolean makeRoom() {
        if (connections >= mostConnections) {
            idle.values().stream()
                    .map(ArrayDeque::peekFirst)
                    .filter(Objects::nonNull)
                    .min(Comparator.comparing(kept -> kept.since))
                    .ifPresent(Idle::discard);
        }
        return connections < mostConnections;
    }

    /** One request on a connection, from its start to its one end; each wire says how it is put. */
    public abstract class Exchange implements Connection.Listener {
        private final long node;
        private final Instant until;
        private final BooleanSupplier wanted;
        private final Consumer<NodeLink.AttemptResult> ended;
        private String use;
        private EventLoop.PendingConnection dial;
        private Connection wire;
        private XnioExecutor.Key limit;
        private Instant opened = MonotonicClock.now();
        private boolean begun;
        private int heard;
        private Instant lastHeard = opened;
        private XnioExecutor.Key silence;
        private boolean over;

        protected Exchange(
                long node,
                Instant until,
                BooleanSupplier wanted,
                Consumer<NodeLink.AttemptResult> ended) {
            this.node = node;
            this.until = until;
            this.wanted = wanted;
            this.ended = ended;
        }

        /** Where the node listens on this wire, for what is written in the directory. */
        protected abstract Optional<InetSocketAddress> address(NodeDirectory.ListedNode known);

        /** What sets connections to one address apart, where they are not all alike. */
        protected String purpose() {
            return "";
        }

        /** Makes a new connection ready for its first request. */
        protected void prepare(Connection fresh, Runnable ready, Runnable unusable) {
            ready.run();
        }

        /** The request, in parts that are written one after the other without a copy. */
        protected abstract List<ByteBuffer> message(Duration left);

        /** Takes what came; how the exchange ended once the answer is whole. */
        protected abstract Optional<Status> read(ByteBuffer in) throws IOException;

        /** How long the rest of an answer may stay out once it has begun, where that is bounded. */
        protected Optional<Duration> maxSilence() {
            return Optional.empty();
        }

        /** The connection ended; how the exchange ended if that makes its answer whole. */
        protected Optional<Status> readEndOfStream() {
            return Optional.empty();
        }

        /** Whether the connection may carry another request after a whole answer. */
        protected abstract boolean isReusable();

        protected abstract byte[] answer();

        /** It has ended: what it holds is given back. */
        protected void release() {}

        /** What the answer told beside itself; nothing where it was not read whole. */
        protected ResponseMetadata responseMetadata() {
            return ResponseMetadata.NOTHING;
        }

        /** Starts it; returns at once. */
        public Attempt start() {
            loop.execute(this::open);
            return () -> loop.execute(() -> end(Status.CANCELLED));
        }

        private void open() {
            opened = MonotonicClock.now();
            Optional<NodeDirectory.ListedNode> known = directory.findReady(node);
            Optional<InetSocketAddress> address = known.flatMap(this::address);
            use = address.map(this::use).orElse("");
            Optional<Status> heldBack = heldBack();
            if (heldBack.isPresent()) {
                holdBack(heldBack.get());
                return;
            }
            Optional<Connection> kept = takeIdle(use, known.orElseThrow().monotonicStart());
            if (kept.isPresent()) {
                wire = kept.get();
                begin();
                return;
            }
            if (!makeRoom()) { // guards the descriptors; it says nothing of the node
                holdBack(Status.MOOT);
                return;
            }
            connections++;
            counters.add(Counters.Name.CONNECTIONS_OPENED);
            Duration left = MonotonicClock.until(until);
            boolean requestFirst = left.compareTo(connectLimit) < 0;
            limit(
                    requestFirst ? left : connectLimit,
                    requestFirst ? Status.MOOT : Status.CONNECT_FAILED);
            dial = loop.connect(address.get(), this::connected, this::notConnected);
        }

        private void connected(Connection up) {
            if (over) {
                close(up);
                return;
            }
            wire = up;
            prepare(wire, this::begin, () -> end(Status.CONNECT_FAILED));
        }

        private void notConnected() {
            connections--;
            dial = null;
            end(Status.CONNECT_FAILED);
        }

        private String use(InetSocketAddress address) {
            return address + purpose();
        }

        /**
         * The one place that says whether a request may begin at its node now; why not, where not.
         * By the time that a slow connection is up the node may drain or listen elsewhere, the time
         * may be up, or the client may have left. The last two say nothing of the node.
         */
        private Optional<Status> heldBack() {
            if (MonotonicClock.until(until).isZero() || !wanted.getAsBoolean()) {
                return Optional.of(Status.MOOT);
            }
            return directory
                            .findReady(node)
                            .flatMap(this::address)
                            .map(this::use)
                            .filter(use::equals)
                            .isPresent()
                    ? Optional.empty()
                    : Optional.of(Status.CONNECT_FAILED);
        }

        private void begin() {
            if (over) {
                return;
            }
            Optional<Status> heldBack = heldBack();
            if (heldBack.isPresent()) {
                keep(wire, use, node);
                wire = null;
                holdBack(heldBack.get());
                return;
            }
            Duration left = MonotonicClock.until(until);
            begun = true;
            limit(left, Status.TIMEOUT);
            wire.readInto(this);
            wire.send(message(left));
        }

        private void holdBack(Status status) {
            counters.add(Counters.Name.HELD_BACK_AT_NODE);
            end(status);
        }

        /**
         * What cannot be read is a failed attempt that may have run. It tells that the node lives,
         * so it is an error and not a reset; its connection is of no further use.
         */
        @Override
        public final void received(ByteBuffer in) {
            Optional<Status> whole;
            heard++;
            try {
                whole = read(in);
            } catch (IOException spoilt) {
                spoilt();
                return;
            }
            if (whole.isEmpty()) {
                maxSilence().ifPresent(this::watchSilence);
            } else if (whole.get() == Status.OK && wire.unsentBytes() > 0) {
                spoilt(); // no answer to a request that is not all written
            } else {
                if (!in.hasRemaining() && isReusable() && wire.unsentBytes() == 0) {
                    keep(wire, use, node);
                    wire = null;
                }
                end(whole.get());
            }
        }

        private void spoilt() {
            counters.add(Counters.Name.SPOILT);
            end(written(Status.ERROR));
        }

        /**
         * Guards against an answer that stops halfway on a connection that stays open. One timer an
         * exchange, taken back at its end: one for each part kept the bodies of all that had ended
         * lately in the heap.
         */
        private void watchSilence(Duration most) {
            lastHeard = MonotonicClock.now();
            if (silence == null) {
                silence = loop.executeAfter(most, () -> silent(most));
            }
        }

        private void silent(Duration most) {
            silence = null;
            Duration quiet = Duration.between(lastHeard, MonotonicClock.now());
            if (quiet.compareTo(most) < 0) {
                silence = loop.executeAfter(most.minus(quiet), () -> silent(most));
                return;
            }
            int before = heard;
            wire.readNow(); // what came while this program had no time
            if (!over && heard == before) {
                spoilt();
            }
        }

        @Override
        public final void ended() {
            end(readEndOfStream().orElseGet(() -> written(Status.RESET)));
        }

        /**
         * Guards against the cut part of an answer without a length being served as the whole of
         * it.
         */
        @Override
        public final void failed() {
            end(written(Status.RESET));
        }

        /** Work whose last byte was not written has never run; after that it may have. */
        private Status written(Status status) {
            return begun && !over && wire.unsentBytes() > 0 ? Status.CONNECT_FAILED : status;
        }

        private void limit(Duration left, Status status) {
            if (limit != null) {
                limit.remove();
            }
            limit =
                    loop.executeAfter(
                            left,
                            () -> {
                                if (begun && !over) {
                                    wire.readNow(); // the answer may be here, and not heard of yet
                                }
                                end(written(status));
                            });
        }

        /**
         * The one end of an exchange. Its connection is closed, unless it was kept, before anyone
         * hears.
         */
        private void end(Status status) {
            if (over) {
                return;
            }
            over = true;
            if (limit != null) {
                limit.remove();
            }
            if (silence != null) {
                silence.remove();
            }
            if (wire != null) {
                close(wire);
            } else if (dial != null) {
                dial.cancel();
            }
            Duration took =
                    Duration.between(opened, MonotonicClock.now()).minus(loop.meanLateness());
            NodeLink.AttemptResult ending =
                    NodeLink.AttemptResult.fromResponse(
                            status,
                            answer(),
                            responseMetadata(),
                            took.isNegative() ? Duration.ZERO : took);
            release();
            ended.accept(ending);
        }
    }
}
