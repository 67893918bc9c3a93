package cypressglade.http;

import cypressglade.config.ConfigException;
import cypressglade.config.NodeListParser;
import cypressglade.core.Counters;
import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.net.Connection;
import cypressglade.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;

/**
 * Watches discovery and hands on what it tells; connects again with the last version after any
 * break. Each step of a watch has a limit, so that what a dead one misses is here before it counts
 * as told: the design has the arithmetic, {@link Limits} the figures.
 */
public final class DiscoveryWatch {
    private static final System.Logger LOG = System.getLogger(DiscoveryWatch.class.getName());

    private final EventLoop loop;
    private InetSocketAddress address;
    private NodeListParser lists;
    private final NodeDirectory directory;
    private final Consumer<NodeList> told;
    private final Counters counters;
    private final Limits limits;
    private final CountDownLatch answered = new CountDownLatch(1);
    private Watch current;
    private String logged = "";
    private boolean fromTheStart;
    private int unanswered;

    /**
     * How long each step of a watch may take.
     *
     * @param connect until its connection is up
     * @param answer until the first object of the answer, for the first call after one that was
     *     answered
     * @param mostAnswer the same at the most: it doubles with each call that was not answered, as a
     *     discovery that works through calls one after the other would never come to the end of
     *     those that are given up
     * @param silence between two signs of life, of which one comes every 2 s
     * @param again from a break to the next connection
     */
    record Limits(
            Duration connect,
            Duration answer,
            Duration mostAnswer,
            Duration silence,
            Duration again) {
        private static final Duration CONNECT = Duration.ofMillis(500);
        private static final Duration SILENCE = Duration.ofSeconds(3);
        private static final Duration AGAIN = Duration.ofMillis(200);

        /**
         * An agent on this machine answers at once; once discovery is back, it may be a new call
         * only.
         */
        static final Limits PUSHED =
                new Limits(CONNECT, Duration.ofSeconds(1), Duration.ofSeconds(1), SILENCE, AGAIN);

        /** One discovery for all. */
        static final Limits ASKED =
                new Limits(CONNECT, Duration.ofSeconds(2), Duration.ofSeconds(4), SILENCE, AGAIN);

        /** From the last sign of life of a watch that falls silent until the next call is made. */
        Duration found() {
            return silence.plus(again);
        }

        /** What a call that fails in its worst way takes, until the next one is made. */
        Duration failed() {
            return connect.plus(answer).plus(again);
        }

        private Duration answerAfter(int unansweredCalls) {
            Duration doubled = answer.multipliedBy(1L << Math.min(unansweredCalls, 3));
            return doubled.compareTo(mostAnswer) < 0 ? doubled : mostAnswer;
        }
    }

    /**
     * One that begins with {@link #start}; {@code asked} where lists are not pushed to an agent
     * here.
     */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            NodeListParser lists,
            NodeDirectory directory,
            Consumer<NodeList> told,
            Counters counters,
            boolean asked) {
        this.loop = loop;
        this.address = address;
        this.lists = lists;
        this.directory = directory;
        this.told = told;
        this.counters = counters;
        this.limits = asked ? Limits.ASKED : Limits.PUSHED;
    }

    public void start() {
        loop.execute(this::open);
    }

    /**
     * Waits for the first list, whatever is in it; false where none came in time, as while
     * discovery is down.
     */
    public boolean awaitFirstList(Duration most) throws InterruptedException {
        return answered.await(most.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Takes a new address at once: the old one ends its watches soon, and what the new one has
     * counts as told. Versions of another source need not go on from ours, so its list is asked for
     * whole.
     */
    public void reconfigure(InetSocketAddress next, NodeListParser nextLists) {
        loop.execute(
                () -> {
                    lists = nextLists;
                    if (!next.equals(address)) {
                        address = next;
                        fromTheStart = true;
                        unanswered = 0;
                        if (current != null) {
                            current.drop();
                        }
                        open();
                    }
                });
    }

    private void open() {
        if (current == null) { // else a watch on a new address came first
            current = new Watch();
            current.open();
        }
    }

    /** One watch, on one connection. */
    private final class Watch implements Connection.Listener, JsonFraming.Handler {
        private final ResponseParser parser = new ResponseParser(this::take, Long.MAX_VALUE);
        private final JsonFraming objects = new JsonFraming(this);
        private EventLoop.PendingConnection dial;
        private Connection wire;
        private XnioExecutor.Key limit = () -> false;
        private boolean listed;

        private void open() {
            expect(limits.connect(), "no connection in time");
            dial = loop.connect(address, this::connected, () -> broken("no connection"));
        }

        /** The next step has so long from now; the last one is done. */
        private void expect(Duration most, String otherwise) {
            limit.remove();
            limit = loop.executeAfter(most, () -> broken(otherwise));
        }

        private void connected(Connection up) {
            dial = null;
            if (current != this) {
                up.close();
                return;
            }
            wire = up;
            wire.readInto(this);
            expect(limits.answerAfter(unanswered), "not answered");
            unanswered++;
            wire.send(
                    ResponseParser.ascii(
                            "GET /v1/servers?stream=1&index="
                                    + (fromTheStart ? 0 : directory.version())
                                    + " HTTP/1.1\r\nHost: discovery\r\n\r\n"));
        }

        @Override
        public void received(ByteBuffer in) throws IOException {
            try {
                if (parser.feed(in)) {
                    broken("ended");
                }
            } catch (IOException spoilt) {
                broken(spoilt.getMessage());
            }
        }

        @Override
        public void ended() {
            broken("ended");
        }

        @Override
        public void failed() {
            broken("reset");
        }

        private void take(ByteBuffer part) throws IOException {
            if (parser.status() != 200) {
                throw new IOException("status " + parser.status());
            }
            objects.feed(part);
        }

        @Override
        public void object(byte[] text) throws IOException {
            NodeList list;
            try {
                list = lists.parse(text, 0, text.length);
            } catch (ConfigException bad) {
                throw new IOException(bad.getMessage(), bad);
            }
            told.accept(list);
            fromTheStart = false;
            unanswered = 0;
            logged = "";
            listed = true;
            answered.countDown();
            expect(limits.silence(), "silent");
        }

        /** Only what is whole is a sign of life: half an object may be the last that comes. */
        @Override
        public void lineRead() {
            if (listed) {
                expect(limits.silence(), "silent");
            }
        }

        private void drop() {
            current = null;
            limit.remove();
            if (wire != null) {
                wire.close();
            } else if (dial != null) {
                dial.cancel();
            }
        }

        private void broken(String why) {
            if (current == this) {
                drop();
                counters.add(Counters.Name.WATCH_BROKEN);
                if (!why.equals(
                        logged)) { // an outage is told once, however often it is tried again
                    logged = why;
                    LOG.log(System.Logger.Level.INFO, "discovery watch: {0}", why);
                }
                loop.executeAfter(limits.again(), DiscoveryWatch.this::open);
            }
        }
    }
}
