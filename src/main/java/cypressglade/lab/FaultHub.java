package cypressglade.lab;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * The links between the members of a fleet of processes, on loopback: each member is known to the
 * others by an address of this hub, and whatever is sent there is passed on, or not, as {@link
 * Faults} says of that one-way link. Datagrams are lost, late, doubled and put out of turn one by
 * one; on TCP, which would send again, only cuts and delays show: while either way is cut nothing
 * moves, and a new connection hangs, as on a lost link.
 *
 * <p>Member {@code n} has to send from {@link #host}, which tells the hub who sends; its port is
 * learned from its first datagram. A passed-on datagram comes from the hub's address of its sender,
 * so that answers come back through the hub. One thread; bounded by {@value #MOST_LATE} datagrams
 * on their way and 64 KiB a connection and way.
 */
public final class FaultHub implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(FaultHub.class.getName());
    private static final int MOST_LATE = 65_536;
    private static final int MOST_HELD = 64 * 1024;
    private static final int MOST_DATAGRAM = 65_536;
    private static final int BIND_TRIES = 16;
    private static final int FIRST_HOST = 10;
    private static final long LOOK_MS = 50;

    private final Selector selector = Selector.open();
    private final List<Door> doors = new ArrayList<>();
    private final Set<Pipe> pipes = new HashSet<>();
    private final Faults faults;
    private final PriorityQueue<Late> late =
            new PriorityQueue<>(
                    Comparator.comparingLong(Late::atNanos).thenComparingLong(Late::number));
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(MOST_DATAGRAM);
    private final Thread thread = new Thread(this::run, "fault hub");
    private volatile boolean closing;
    private long lastNumber;

    /** A datagram on its way. */
    private record Late(long atNanos, long number, int from, int to, byte[] bytes) {}

    /** The hub's address of one member. */
    private static final class Door {
        private final DatagramChannel datagrams;
        private final ServerSocketChannel connections;
        private final InetSocketAddress address;
        private volatile InetSocketAddress real;
        private volatile long sent;

        private Door(DatagramChannel datagrams, ServerSocketChannel connections)
                throws IOException {
            this.datagrams = datagrams;
            this.connections = connections;
            address = (InetSocketAddress) connections.getLocalAddress();
        }
    }

    /** Both ways of one connection. */
    private static final class Pipe {
        private final int asker;
        private final int asked;
        private final SocketChannel[] ends;
        private final List<ArrayDeque<Chunk>> held =
                List.of(new ArrayDeque<>(), new ArrayDeque<>());
        private final int[] bytes = new int[2];
        private final boolean[] ended = new boolean[2];

        private Pipe(int asker, int asked, SocketChannel near, SocketChannel far) {
            this.asker = asker;
            this.asked = asked;
            ends = new SocketChannel[] {near, far};
        }
    }

    private record Chunk(long atNanos, ByteBuffer bytes) {}

    /**
     * Opens an address for each of so many members.
     *
     * @throws IOException where loopback has no room for them
     */
    public FaultHub(int members, long seed) throws IOException {
        faults = new Faults(seed);
        for (int i = 0; i < members; i++) {
            doors.add(open());
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Where member {@code n} has to send from: an address of loopback of its own. */
    public static String host(int member) {
        return "127.0."
                + (1 + (FIRST_HOST + member) / 250)
                + "."
                + (1 + (FIRST_HOST + member) % 250);
    }

    /** Where the others reach a member. */
    public InetSocketAddress address(int member) {
        return doors.get(member).address;
    }

    /** Datagrams that a member has sent, whether they were passed on or not. */
    public long sent(int member) {
        return doors.get(member).sent;
    }

    /** Changes what the links do, on the hub's thread. */
    public void change(Consumer<Faults> change) {
        tasks.add(() -> change.accept(faults));
        selector.wakeup();
    }

    private Door open() throws IOException {
        for (int tries = 1; ; tries++) {
            ServerSocketChannel connections = ServerSocketChannel.open();
            DatagramChannel datagrams = DatagramChannel.open();
            try {
                connections.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                datagrams.bind(connections.getLocalAddress());
                datagrams.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 20);
                connections.configureBlocking(false);
                datagrams.configureBlocking(false);
                Door door = new Door(datagrams, connections);
                int number = doors.size();
                connections.register(selector, SelectionKey.OP_ACCEPT, number);
                datagrams.register(selector, SelectionKey.OP_READ, number);
                return door;
            } catch (IOException taken) { // UDP may have lost the port that TCP got
                connections.close();
                datagrams.close();
                if (tries >= BIND_TRIES) {
                    throw taken;
                }
            }
        }
    }

    private void run() {
        while (!closing) {
            try {
                selector.select(pause());
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.channel() instanceof DatagramChannel datagrams) {
                        receive(datagrams, (int) key.attachment());
                    } else if (key.isValid() && key.isAcceptable()) {
                        accept((ServerSocketChannel) key.channel(), (int) key.attachment());
                    }
                }
                selector.selectedKeys().clear();
                deliver();
                List.copyOf(pipes).forEach(this::pump);
            } catch (IOException | RuntimeException failed) {
                if (!closing) {
                    LOG.log(Level.WARNING, "fault hub", failed);
                }
            }
        }
    }

    /**
     * Until the next datagram is due; with connections open, a moment, as these are looked at in
     * turn.
     */
    private long pause() {
        if (!pipes.isEmpty()) {
            return 1;
        }
        return late.isEmpty()
                ? LOOK_MS
                : Math.max(
                        1,
                        Math.min(
                                LOOK_MS,
                                (late.peek().atNanos - System.nanoTime()) / 1_000_000 + 1));
    }

    private int sender(InetAddress from) {
        for (int i = 0; i < doors.size(); i++) {
            if (host(i).equals(from.getHostAddress())) {
                return i;
            }
        }
        return -1;
    }

    private void receive(DatagramChannel datagrams, int to) throws IOException {
        while (true) {
            buffer.clear();
            InetSocketAddress source = (InetSocketAddress) datagrams.receive(buffer);
            if (source == null) {
                return;
            }
            int from = sender(source.getAddress());
            if (from < 0) {
                continue;
            }
            doors.get(from).real = source;
            doors.get(from).sent++;
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes);
            for (Duration arrival : faults.fate(from, to)) {
                if (late.size() < MOST_LATE) {
                    late.add(
                            new Late(
                                    System.nanoTime() + arrival.toNanos(),
                                    ++lastNumber,
                                    from,
                                    to,
                                    bytes));
                }
            }
        }
    }

    private void deliver() throws IOException {
        while (!late.isEmpty() && late.peek().atNanos <= System.nanoTime()) {
            Late due = late.poll();
            InetSocketAddress real = doors.get(due.to).real;
            if (real != null) {
                doors.get(due.from).datagrams.send(ByteBuffer.wrap(due.bytes), real);
            }
        }
    }

    private void accept(ServerSocketChannel connections, int asked) throws IOException {
        SocketChannel near;
        while ((near = connections.accept()) != null) {
            int asker = sender(((InetSocketAddress) near.getRemoteAddress()).getAddress());
            InetSocketAddress real = doors.get(asked).real;
            if (asker < 0 || real == null) {
                near.close();
                continue;
            }
            near.configureBlocking(false);
            SocketChannel far = SocketChannel.open();
            far.configureBlocking(false);
            try {
                far.connect(real);
                pipes.add(new Pipe(asker, asked, near, far));
            } catch (IOException refused) {
                near.close();
                far.close();
            }
        }
    }

    /** Moves what is due on both ways; a connection ends for both once either side has ended. */
    private void pump(Pipe pipe) {
        Faults.Rule out = faults.rule(pipe.asker, pipe.asked);
        Faults.Rule back = faults.rule(pipe.asked, pipe.asker);
        if (out.cut() || back.cut()) {
            return; // neither bytes nor their acknowledgements arrive
        }
        try {
            if (pipe.ends[1].isConnectionPending() && !pipe.ends[1].finishConnect()) {
                return;
            }
            move(pipe, 0, out.most());
            move(pipe, 1, back.most());
            if (pipe.ended[0] && pipe.held.get(0).isEmpty()
                    || pipe.ended[1] && pipe.held.get(1).isEmpty()) {
                close(pipe);
            }
        } catch (IOException broken) {
            close(pipe);
        }
    }

    private static void move(Pipe pipe, int way, Duration delay) throws IOException {
        ArrayDeque<Chunk> held = pipe.held.get(way);
        if (!pipe.ended[way] && pipe.bytes[way] < MOST_HELD) {
            ByteBuffer in = ByteBuffer.allocate(MOST_HELD - pipe.bytes[way]);
            int got = pipe.ends[way].read(in);
            if (got > 0) {
                held.add(new Chunk(System.nanoTime() + delay.toNanos(), in.flip()));
                pipe.bytes[way] += got;
            }
            pipe.ended[way] = got < 0;
        }
        while (!held.isEmpty() && held.peek().atNanos <= System.nanoTime()) {
            pipe.bytes[way] -= pipe.ends[1 - way].write(held.peek().bytes);
            if (held.peek().bytes.hasRemaining()) {
                return;
            }
            held.poll();
        }
    }

    /** The one place where a connection is given back. */
    private void close(Pipe pipe) {
        pipes.remove(pipe);
        for (SocketChannel end : pipe.ends) {
            try {
                end.close();
            } catch (IOException gone) {
                LOG.log(Level.DEBUG, "fault hub: closing", gone);
            }
        }
    }

    @Override
    public void close() throws IOException {
        closing = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        List.copyOf(pipes).forEach(this::close);
        for (Door door : doors) {
            door.connections.close();
            door.datagrams.close();
        }
        selector.close();
    }
}
