package cypressglade.peer;

import static cypressglade.standin.HttpPeer.answer;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cypressglade.cli.OperatorFiles;
import cypressglade.core.Counters.Name;
import cypressglade.core.MonotonicClock;
import cypressglade.learn.NodeObservation;
import cypressglade.learn.Origin;
import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.MemberUpdate;
import cypressglade.member.Message;
import cypressglade.member.Message.Kind;
import cypressglade.member.SwimSettings;
import cypressglade.share.Notice;
import cypressglade.share.SharingSettings;
import cypressglade.share.Verdicts.Verdict;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.Site;
import cypressglade.standin.StandIn;
import cypressglade.standin.StorageNode;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Instances that talk, on real sockets. */
class PeersTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final Duration LONG = Duration.ofSeconds(20);

    private final HttpPeer node = new HttpPeer(answer(200, "", "the data"));
    private final StorageNode silent = new StorageNode(0, true);
    private final List<AutoCloseable> open = new ArrayList<>(List.of(node, silent));
    private KeyRing keys;
    @TempDir private Path directory;

    @BeforeEach
    void readKeys() throws IOException {
        keys = KeyRing.parse("k", CodecTest.KEY);
    }

    @AfterEach
    void close() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    private PeersConfig talking(String name, Duration wait, InetSocketAddress... seeds) {
        return new PeersConfig(
                name,
                Optional.of(
                        new PeersConfig.Network(
                                ANY,
                                Optional.empty(),
                                List.of(seeds),
                                keys,
                                Duration.ofSeconds(1),
                                true,
                                SwimSettings.defaults(),
                                false,
                                Optional.empty())),
                Optional.empty(),
                100,
                wait);
    }

    private PeersConfig alone(String name) {
        return new PeersConfig(
                name,
                Optional.empty(),
                Optional.of(
                        new PeersConfig.Snapshots(
                                directory, Duration.ofSeconds(1), Duration.ofMinutes(1))),
                100,
                Duration.ofMillis(200));
    }

    private Site site(PeersConfig peers) throws Exception {
        Site site =
                new Site(
                        List.of(node.hostPort(), silent.hostPort()),
                        new OperatorFiles(Optional.empty(), Optional.of(peers), Optional.empty()));
        open.add(site);
        return site;
    }

    private static int ask(Site site, int shard) throws IOException {
        return site.ask(
                        Site.request(
                                "GET",
                                "/job-read/00000003b4d60021/7f3a9c21e0b4d655",
                                Site.headers(
                                        900, "standard", "units=2,shard=" + shard + ",hosts=1"),
                                ""))
                .status();
    }

    private static long count(Site site, Name name) {
        return site.serve.counters().get(name);
    }

    /**
     * Asks both nodes, so that the site knows which of them is silent; returns what the silent one
     * was sent.
     */
    private int learn(Site site) throws Exception {
        assertThat(ask(site, 0)).isEqualTo(200);
        assertThat(ask(site, 1)).isNotEqualTo(200);
        assertThat(silent.arrivals).isNotEmpty();
        return silent.arrivals.size();
    }

    @Test
    void newInstanceSendsNothingToANodeThatTheRunningOneFoundSilent() throws Exception {
        Site running = site(talking("a", LONG));
        int sent = learn(running);
        PeersConfig second = talking("b", LONG, running.serve.peerAddress().orElseThrow());
        Site.await(
                () -> report(running).observations().stream().anyMatch(NodeObservation::isSilent));
        Site taught = site(second);
        assertThat(count(taught, Name.HINTS_TAKEN)).isPositive();
        assertThat(ask(taught, 0)).isEqualTo(200);
        assertThat(ask(taught, 1)).isEqualTo(503);
        assertThat(silent.arrivals).hasSize(sent);
        Site.await(() -> report(running).members().size() == 2);
        assertThat(report(taught).counters()).containsEntry("shares_cold_among", 2L);
        open.remove(taught);
        taught.close();
        Site.await(() -> report(running).members().get(1).state() == State.LEFT);
    }

    private PeerReport report(Site site) {
        try {
            return PeerReport.fetch(site.serve.peerAddress().orElseThrow(), keys);
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** Killed or stopped and started again: from its own snapshot, unless that is another's. */
    @ParameterizedTest
    @CsvSource({"a, true", "b, false"})
    void restartLearnsFromItsOwnSnapshot(String name, boolean learns) throws Exception {
        Site first = site(alone("a"));
        int sent = learn(first);
        Site.await(() -> count(first, Name.SNAPSHOTS_WRITTEN) >= 2);
        // the first runs on, as a killed one would write nothing more either
        Site again = site(alone(name));
        if (learns) {
            Site.await(() -> count(again, Name.HINTS_TAKEN) == 2);
            assertThat(ask(again, 1)).isEqualTo(503);
            assertThat(silent.arrivals).hasSize(sent);
        } else {
            assertThat(count(again, Name.SNAPSHOTS_IGNORED)).isEqualTo(2);
            assertThat(ask(again, 0)).isEqualTo(200);
            assertThat(count(again, Name.HINTS_TAKEN)).isZero();
        }
    }

    /**
     * A peer that takes the connection and is silent, or is not there: the doors open all the same,
     * in time.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void startWaitsForAPeerNoLongerThanItsBound(boolean there) throws Exception {
        if (!there) {
            silent.close();
        }
        Instant started = Instant.now();
        Site site = site(talking("a", Duration.ofMillis(200), silent.address()));
        assertThat(Duration.between(started, Instant.now())).isLessThan(Duration.ofSeconds(3));
        assertThat(ask(site, 0)).isEqualTo(200);
        Site.await(() -> count(site, Name.TRANSFERS_BROKEN) > 0);
    }

    /**
     * Answers the first frame of a transfer and then breaks off, stalls, lies, or replays what it
     * said to another.
     */
    private final class BadPeer extends StandIn {
        private final String way;
        private final CountDownLatch goOn = new CountDownLatch(1);

        BadPeer(String way) {
            this.way = way;
            open.add(this);
        }

        @Override
        protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
            frame(out, Frames.nonce(42));
            byte[] question = new byte[in.readInt()];
            in.readFully(question);
            Instant now = MonotonicClock.now();
            Transfer asked = Codec.transfer(Sealed.open(keys, question), now);
            NodeObservation word = word("s-1", way.equals("lies") ? Double.NaN : 5000, now, "z", 1);
            byte[] first =
                    Sealed.seal(
                            keys,
                            Codec.bytes(
                                    new Transfer(
                                            asked.ask() + (way.equals("replays") ? 1 : 0),
                                            0,
                                            0,
                                            way.equals("lies") || way.equals("replays"),
                                            List.of(),
                                            way.equals("goes on") ? List.of() : List.of(word),
                                            Map.of()),
                                    now));
            frame(out, first);
            if (way.equals("goes on")) {
                goOn.await();
                List<NodeObservation> later =
                        Stream.of("s-0", "s-1").map(id -> word(id, 5000, now, "y", 2)).toList();
                Transfer last = new Transfer(asked.ask(), 0, 1, true, List.of(), later, Map.of());
                frame(out, Sealed.seal(keys, Codec.bytes(last, now)));
            }
            if (!way.equals("breaks off")) {
                in.read();
            }
        }

        private static NodeObservation word(
                String id, double pace, Instant now, String by, long life) {
            return new NodeObservation(
                    id,
                    0,
                    pace,
                    0,
                    0,
                    0,
                    9,
                    Duration.ofSeconds(1),
                    now.minusSeconds(1),
                    new Origin(by, life));
        }

        private void frame(DataOutputStream out, byte[] frame) throws IOException {
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
        }
    }

    @ParameterizedTest
    @CsvSource({"breaks off, 1, 0", "stalls, 1, 0", "replays, 0, 0", "lies, 0, 1"})
    void whatCameBeforeATransferBrokeCountsAndNothingElse(String way, long hints, long refused)
            throws Exception {
        Site site = site(talking("a", LONG, new BadPeer(way).address()));
        Site.await(
                () -> count(site, Name.TRANSFERS_BROKEN) + count(site, Name.TRANSFERS_TAKEN) > 0);
        assertThat(count(site, Name.HINTS_TAKEN)).isEqualTo(hints);
        assertThat(count(site, Name.WORDS_REFUSED)).isGreaterThanOrEqualTo(refused);
        assertThat(ask(site, 0)).isEqualTo(200);
    }

    /**
     * The node changes while word of it is on its way: word of an earlier run, or of one that
     * drains, is not taught.
     */
    @ParameterizedTest
    @CsvSource({"active, 0, 2", "leaving, 0, 1", "left, 0, 1", "active, 1700000000000, 1"})
    void nodesThatChangeMidTransferAreNotTaughtByOldWord(String state, long startedMs, long hints)
            throws Exception {
        BadPeer peer = new BadPeer("goes on");
        Site site = site(talking("a", Duration.ZERO, peer.address()));
        Site.await(() -> peer.connections.get() == 1);
        site.tell(42, Site.entry(1, silent.hostPort(), state, startedMs));
        peer.goOn.countDown();
        Site.await(
                () ->
                        count(site, Name.HINTS_TAKEN)
                                > 0); // what is taught of both nodes is decided at once
        assertThat(count(site, Name.HINTS_TAKEN)).isEqualTo(hints);
    }

    /** A peer made by hand, datagram by datagram. */
    private final class Hand implements AutoCloseable {
        private final DatagramSocket socket = new DatagramSocket(ANY);
        private final InetSocketAddress to;

        Hand(Site site) throws IOException {
            to = site.serve.peerAddress().orElseThrow();
            socket.setSoTimeout(5000);
            open.add(this);
        }

        void send(byte[] bytes) throws IOException {
            socket.send(new DatagramPacket(bytes, bytes.length, to));
        }

        byte[] ping(KeyRing with, long life, long number) {
            Member self =
                    new Member(
                            "h",
                            (InetSocketAddress) socket.getLocalSocketAddress(),
                            77,
                            0,
                            State.ALIVE);
            return Sealed.seal(
                    with,
                    Codec.bytes(
                            new Envelope(
                                    77,
                                    life,
                                    number,
                                    Optional.of(
                                            new Message(
                                                    Kind.PING,
                                                    5,
                                                    "",
                                                    null,
                                                    List.of(new MemberUpdate(self, "h")))))));
        }

        byte[] next() throws IOException {
            DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
            socket.receive(packet);
            return Arrays.copyOf(packet.getData(), packet.getLength());
        }

        @Override
        public void close() {
            socket.close();
        }
    }

    @Test
    void messagesCountOnceAndOnlyForTheLifeThatTheyAreMeantFor() throws Exception {
        Site site = site(talking("a", LONG));
        Hand hand = new Hand(site);
        hand.send(hand.ping(keys, 0, 1));
        Envelope life = Codec.envelope(Sealed.open(keys, hand.next()));
        assertThat(life.message()).isEmpty();
        assertThat(life.to()).isEqualTo(77);
        assertThat(report(site).members()).hasSize(1);
        byte[] good = hand.ping(keys, life.from(), 2);
        hand.send(good);
        Envelope ack = Codec.envelope(Sealed.open(keys, hand.next()));
        assertThat(ack.message().orElseThrow().kind()).isEqualTo(Kind.ACK);
        assertThat(report(site).members()).extracting(Member::name).containsExactly("a", "h");
        long refused = count(site, Name.PEER_REFUSED);
        hand.send(good);
        Site.await(() -> count(site, Name.PEER_REFUSED) == refused + 1);
    }

    @Test
    void badDatagramsAreCountedAndDisturbNothing() throws Exception {
        Site site = site(talking("a", LONG));
        Hand hand = new Hand(site);
        hand.send(new byte[] {9, 1, 2, 3, 4});
        assertThat(hand.next()).isEqualTo(Sealed.no());
        KeyRing wrong = KeyRing.parse("w", "1 " + "0c".repeat(32));
        hand.send(hand.ping(wrong, 0, 1));
        hand.send(new byte[0]);
        hand.send(new byte[20_000]);
        hand.send(Sealed.seal(keys, new byte[] {1, 2, 3}));
        Site.await(() -> count(site, Name.PEER_REFUSED) >= 4);
        hand.socket.setSoTimeout(50);
        assertThatThrownBy(hand::next).isInstanceOf(SocketTimeoutException.class);
        assertThat(report(site).members()).hasSize(1);
        assertThatThrownBy(() -> PeerReport.fetch(site.serve.peerAddress().orElseThrow(), wrong))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("same key file");
        assertThat(ask(site, 0)).isEqualTo(200);
    }

    /** Guards memory and the requests: what cannot be taken in is dropped and counted. */
    @Test
    void floodOfDatagramsDoesNotStopRequests() throws Exception {
        Site site = site(talking("a", LONG));
        Hand hand = new Hand(site);
        byte[] bytes = hand.ping(keys, 3, 1);
        for (int i = 0; i < 5000; i++) {
            hand.send(bytes);
            if (i % 500 == 0) {
                assertThat(ask(site, 0)).isEqualTo(200);
            }
        }
        Site.await(() -> count(site, Name.PEER_MESSAGES) > 0);
        assertThat(ask(site, 0)).isEqualTo(200);
    }

    @Test
    void keysChangeInServiceOneInstanceAfterTheOther() throws Exception {
        Site site = site(talking("a", LONG));
        InetSocketAddress at = site.serve.peerAddress().orElseThrow();
        String next = "2 " + "0b".repeat(32);
        List<String> steps =
                List.of(
                        CodecTest.KEY,
                        CodecTest.KEY + "\n" + next,
                        next + "\n" + CodecTest.KEY,
                        next);
        for (int i = 1; i < steps.size(); i++) {
            keys = KeyRing.parse("k", steps.get(i));
            site.serve.use(
                    site.config,
                    new OperatorFiles(
                            Optional.empty(), Optional.of(talking("a", LONG)), Optional.empty()));
            assertThat(PeerReport.fetch(at, KeyRing.parse("k", steps.get(i - 1))).members())
                    .hasSize(1);
        }
        assertThatThrownBy(() -> PeerReport.fetch(at, KeyRing.parse("k", steps.get(0))))
                .isInstanceOf(IOException.class);
    }

    /**
     * A verdict counts with a key of the ring and a name of the roster; without the first it is not
     * even read.
     */
    @Test
    void aVerdictOfAStrangersKeyOrNameIsTurnedAway() throws Exception {
        PeersConfig.Network plain = talking("a", LONG).network().orElseThrow();
        SharingSettings terms =
                new SharingSettings(Set.of("a", "h"), 0.25, 2, Duration.ofSeconds(1));
        PeersConfig.Network sharing =
                new PeersConfig.Network(
                        plain.listenAddress(),
                        plain.advertisedAddress(),
                        plain.seeds(),
                        keys,
                        plain.refreshInterval(),
                        true,
                        plain.swimSettings(),
                        true,
                        Optional.of(terms));
        Site site = site(new PeersConfig("a", Optional.of(sharing), Optional.empty(), 100, LONG));
        Hand hand = new Hand(site);
        hand.send(hand.ping(keys, 0, 1));
        long life = Codec.envelope(Sealed.open(keys, hand.next())).from();
        long refused = count(site, Name.PEER_REFUSED);
        hand.send(verdict(KeyRing.parse("w", "1 " + "0c".repeat(32)), life, 2, "h", "s-0"));
        Site.await(() -> count(site, Name.PEER_REFUSED) == refused + 1);
        hand.send(verdict(keys, life, 3, "x", "s-0"));
        Site.await(() -> report(site).counters().get("shared_turned_away") == 1);
        assertThat(report(site).counters()).containsEntry("verdicts_held", 0L);
        assertThat(ask(site, 0)).isEqualTo(200);
        hand.send(verdict(keys, life, 4, "h", "s-0"));
        Site.await(() -> report(site).counters().get("verdicts_held") == 1);
        assertThat(ask(site, 0)).as("its node is excluded now").isEqualTo(503);
    }

    private static byte[] verdict(KeyRing with, long life, long number, String by, String node) {
        Verdict verdict = new Verdict("node " + node, "exclude", Instant.now(), by, 1);
        Notice notice = new Notice(0, Map.of(), List.of(), List.of(verdict));
        Envelope envelope = new Envelope(77, life, number, Optional.empty(), Optional.of(notice));
        return Sealed.seal(with, Codec.bytes(envelope));
    }
}
