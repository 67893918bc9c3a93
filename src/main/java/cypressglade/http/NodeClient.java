package cypressglade.http;

import cypressglade.core.Counters;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeLink;
import cypressglade.core.NodeList;
import cypressglade.core.Scheduler.Status;
import cypressglade.core.Time;
import cypressglade.net.Loop;
import cypressglade.net.Wire;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.XnioExecutor;

/**
 * Connections to the storage nodes, one request at a time on each. All state is the I/O thread's. Nothing is
 * ever sent again here; an attempt's end says exactly whether its last byte was written.
 */
public final class NodeClient implements NodeLink<HttpWork> {
    private static final Duration PROBE_LIMIT = Duration.ofMillis(250);
    private static final Duration MOST_IDLE = Duration.ofSeconds(12);
    private static final Duration SWEEP = Duration.ofSeconds(1);
    private static final int MOST_BODY = 64 * 1024;
    /** A send that its connection delays by more would count too late against a volume's limit. */
    private static final Duration MOST_CONNECT = Duration.ofMillis(150);

    private final Loop loop;
    private final NodeDirectory directory;
    private final Counters counters;
    private final Duration connectLimit;
    private final Duration idleLimit;
    private final int mostConnections;
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private int connections;

    public NodeClient(Loop loop, NodeDirectory directory, Counters counters, Duration connectTimeout,
            Duration idleAtNode, int mostConnections) {
        this.loop = loop;
        this.directory = directory;
        this.counters = counters;
        this.connectLimit = shorter(connectTimeout, MOST_CONNECT);
        this.idleLimit = shorter(idleAtNode.dividedBy(2), MOST_IDLE);
        this.mostConnections = mostConnections;
        loop.after(SWEEP, this::sweep);
    }

    @Override
    public Attempt send(long node, HttpWork work, Instant until, Consumer<Ending> ended) {
        Exchange exchange = new Exchange(node, work::message, until, ended);
        loop.execute(exchange::start);
        return () -> loop.execute(() -> exchange.end(Status.CANCELLED));
    }

    @Override
    public void probe(long node, Consumer<Ending> ended) {
        loop.execute(new Exchange(node, left -> HttpWork.probe(), Time.now().plus(PROBE_LIMIT), ended)::start);
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** A connection between two requests. Whatever comes on it ends it: a node has nothing to say there. */
    private final class Idle implements Wire.Listener {
        private final Wire wire;
        private final String address;
        private final Instant since = Time.now();

        Idle(Wire wire, String address) {
            this.wire = wire;
            this.address = address;
        }

        @Override
        public void received(ByteBuffer in) {
            discard();
        }

        @Override
        public void ended() {
            discard();
        }

        void discard() {
            idle.get(address).remove(this);
            close(wire);
        }
    }

    private Optional<Wire> takeIdle(String address) {
        ArrayDeque<Idle> kept = idle.get(address);
        return kept == null || kept.isEmpty() ? Optional.empty() : Optional.of(kept.pollLast().wire);
    }

    private void keep(Wire wire, String address) {
        Idle kept = new Idle(wire, address);
        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(kept);
        wire.listen(kept);
    }

    /** The one place where a connection is given back. */
    private void close(Wire wire) {
        connections--;
        wire.close();
    }

    private void sweep() {
        Instant oldest = Time.now().minus(idleLimit);
        for (ArrayDeque<Idle> kept : idle.values()) {
            while (!kept.isEmpty() && kept.peekFirst().since.isBefore(oldest)) {
                kept.peekFirst().discard();
            }
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        loop.after(SWEEP, this::sweep);
    }

    /** Makes room for one more connection, at the cost of the one that was idle longest. */
    private void makeRoom() {
        if (connections >= mostConnections) {
            idle.values().stream().map(ArrayDeque::peekFirst).filter(Objects::nonNull)
                    .min(Comparator.comparing(kept -> kept.since)).ifPresent(Idle::discard);
        }
    }

    /** One request and its answer, or a probe and its. */
    private final class Exchange implements Wire.Listener {
        private final long node;
        private final Function<Duration, ByteBuffer> message;
        private final Instant until;
        private final Consumer<Ending> ended;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final ResponseParser parser = new ResponseParser(this::take);
        private String address;
        private Loop.Dial dial;
        private Wire wire;
        private XnioExecutor.Key limit;
        private boolean begun;
        private boolean tooLong;
        private boolean over;

        Exchange(long node, Function<Duration, ByteBuffer> message, Instant until, Consumer<Ending> ended) {
            this.node = node;
            this.message = message;
            this.until = until;
            this.ended = ended;
        }

        void start() {
            Optional<NodeList.Entry> known = directory.ready(node);
            if (known.isEmpty()) {
                counters.add(Counters.Name.HELD_BACK_AT_NODE);
                end(Status.CONNECT_FAILED);
                return;
            }
            address = known.get().address();
            Optional<Wire> kept = takeIdle(address);
            if (kept.isPresent()) {
                wire = kept.get();
                begin();
                return;
            }
            makeRoom();
            connections++;
            counters.add(Counters.Name.CONNECTIONS_OPENED);
            limit(shorter(connectLimit, Time.until(until)));
            int colon = address.lastIndexOf(':');
            dial = loop.dial(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))), this::connected, this::notConnected);
        }

        private void connected(Wire up) {
            wire = up;
            if (over) {
                close(wire);
            } else {
                begin();
            }
        }

        private void notConnected() {
            connections--;
            end(Status.CONNECT_FAILED);
        }

        /** A slow connect must not send late: the node may drain by now, or the time may be up. */
        private void begin() {
            Duration left = Time.until(until);
            if (left.isZero() || directory.ready(node).isEmpty()) {
                counters.add(Counters.Name.HELD_BACK_AT_NODE);
                end(Status.CONNECT_FAILED);
                return;
            }
            begun = true;
            limit(left);
            wire.listen(this);
            wire.send(message.apply(left));
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            if (parser.feed(in)) {
                answered(!in.hasRemaining());
            }
        }

        @Override
        public void ended() {
            if (parser.ended()) {
                answered(false);
            } else {
                end(lost(Status.RESET));
            }
        }

        private void take(ByteBuffer part) {
            tooLong |= body.size() + part.remaining() > MOST_BODY;
            if (!tooLong) {
                byte[] bytes = new byte[part.remaining()];
                part.get(bytes);
                body.writeBytes(bytes);
            }
        }

        private void answered(boolean clean) {
            Status status = parser.neverRan() && parser.status() >= 500 ? Status.FULL
                    : parser.status() == 200 && !tooLong ? Status.OK : Status.ERROR;
            if (clean && parser.reusable() && wire.unsent() == 0) {
                keep(wire, address);
                wire = null;
            }
            end(status);
        }

        /** Work whose last byte was not written has never run; after that it may have. */
        private Status lost(Status status) {
            return begun && wire.unsent() == 0 ? status : Status.CONNECT_FAILED;
        }

        private void limit(Duration left) {
            if (limit != null) {
                limit.remove();
            }
            limit = loop.after(left, () -> end(lost(Status.TIMEOUT)));
        }

        /** The one end of an exchange. Its connection is closed, unless it was kept, before anyone hears. */
        void end(Status status) {
            if (over) {
                return;
            }
            over = true;
            if (limit != null) {
                limit.remove();
            }
            if (wire != null && !begun) {
                keep(wire, address);
            } else if (wire != null) {
                close(wire);
            } else if (dial != null) {
                dial.cancel();
            }
            ended.accept(status == Status.OK ? new Ending(status, body.toByteArray()) : Ending.of(status));
        }
    }
}
