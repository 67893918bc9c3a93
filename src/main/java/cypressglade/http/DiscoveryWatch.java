package cypressglade.http;

import cypressglade.config.ConfigException;
import cypressglade.config.NodeListParser;
import cypressglade.core.Counters;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.core.Time;
import cypressglade.net.Loop;
import cypressglade.net.Wire;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/** Watches discovery and hands on what it tells; connects again with the last version after any break. */
public final class DiscoveryWatch {
    private static final Duration AGAIN = Duration.ofMillis(200);
    private static final Duration LOOK = Duration.ofMillis(250);
    /**
     * A line comes every 2 s even while nothing changes. What a silent watch misses counts as told 6 s after
     * it fell silent: by then it has to be found silent, opened anew, and answered.
     */
    private static final Duration SILENCE = Duration.ofMillis(4500);
    /** The first line of a call: discovery may work through others' before, one after the other. */
    private static final Duration FIRST = Duration.ofSeconds(7);
    private static final int MOST_LINE = 1 << 20;
    private static final System.Logger LOG = System.getLogger(DiscoveryWatch.class.getName());

    private final Loop loop;
    private InetSocketAddress address;
    private NodeListParser lists;
    private final NodeDirectory directory;
    private final Consumer<NodeList> told;
    private final Counters counters;
    private Watch current;
    private String logged = "";
    private boolean fromTheStart;

    public DiscoveryWatch(Loop loop, InetSocketAddress address, NodeListParser lists, NodeDirectory directory,
            Consumer<NodeList> told, Counters counters) {
        this.loop = loop;
        this.address = address;
        this.lists = lists;
        this.directory = directory;
        this.told = told;
        this.counters = counters;
    }

    public void start() {
        loop.execute(() -> {
            open();
            look();
        });
    }

    /**
     * Takes a new address at once: the old one ends its watches soon, and what the new one has counts as
     * told.
     * Versions of another source need not go on from ours, so its list is asked for whole.
     */
    public void use(InetSocketAddress next, NodeListParser nextLists) {
        loop.execute(() -> {
            lists = nextLists;
            if (!next.equals(address)) {
                address = next;
                fromTheStart = true;
                if (current != null) {
                    current.drop();
                }
                open();
            }
        });
    }

    private void open() {
        if (current != null) { // a watch on a new address came first
            return;
        }
        Watch watch = new Watch();
        current = watch;
        loop.dial(address, watch::connected, () -> watch.broken("no connection"));
    }

    private void look() {
        if (current != null && current.heard.plus(current.begun ? SILENCE : FIRST).isBefore(Time.now())) {
            current.broken("silent");
        }
        loop.after(LOOK, this::look);
    }

    /** One watch, on one connection. */
    private final class Watch implements Wire.Listener {
        private final ResponseParser parser = new ResponseParser(this::take, Long.MAX_VALUE);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Wire wire;
        private Instant heard = Time.now();
        private boolean begun;
        private String fault;

        void connected(Wire up) {
            if (current != this) {
                up.close();
                return;
            }
            wire = up;
            wire.listen(this);
            wire.send(ResponseParser.ascii("GET /v1/servers?stream=1&index="
                    + (fromTheStart ? 0 : directory.version())
                    + " HTTP/1.1\r\nHost: discovery\r\n\r\n"));
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            heard = Time.now();
            begun = true;
            logged = "";
            boolean whole = parser.feed(in);
            if (fault != null || whole) {
                throw new IOException(fault == null ? "ended" : fault);
            }
        }

        @Override
        public void ended() {
            broken(fault == null ? "ended" : fault);
        }

        private void take(ByteBuffer part) {
            while (part.hasRemaining() && fault == null) {
                byte next = part.get();
                if (next != '\n') {
                    line.write(next);
                    fault = line.size() > MOST_LINE ? "a line is too long" : null;
                } else {
                    object(line.toByteArray());
                    line.reset();
                }
            }
        }

        private void object(byte[] text) {
            if (parser.status() != 200) {
                fault = "status " + parser.status();
            } else if (!new String(text, StandardCharsets.ISO_8859_1).isBlank()) {
                try {
                    told.accept(lists.parse(text, 0, text.length));
                    fromTheStart = false;
                } catch (ConfigException bad) {
                    fault = bad.getMessage();
                }
            }
        }

        private void drop() {
            current = null;
            if (wire != null) {
                wire.close();
            }
        }

        private void broken(String why) {
            if (current == this) {
                drop();
                counters.add(Counters.Name.WATCH_BROKEN);
                if (!why.equals(logged)) { // an outage is told once, however often it is tried again
                    logged = why;
                    LOG.log(System.Logger.Level.INFO, "discovery watch: {0}", why);
                }
                loop.after(AGAIN, DiscoveryWatch.this::open);
            }
        }
    }
}
