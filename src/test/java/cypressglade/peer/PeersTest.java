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
import cypressglade.peer.PeersConfig.Network;
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

/** Tests instances that communicate over real sockets. */
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

    private PeersConfig networked(String name, Duration wait, InetSocketAddress... seeds) {
        return new PeersConfig(
                name,
                Optional.of(
                        new Network(
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
     * Sends a request to both nodes, so that the site learns which one is silent; returns the
     * number of requests that the silent one received.
     */
    private int learn(Site site) throws Exception {
        assertThat(ask(site, 0)).isEqualTo(200);
        assertThat(ask(site, 1)).isNotEqualTo(200);
        assertThat(silent.arrivals).isNotEmpty();
        return silent.arrivals.size();
    }

    @Test
    void newInstanceSendsNothingToANodeThatTheRunningOneFoundSilent() throws Exception {
        Site running = site(networked("a", LONG));
        int sent = learn(running);
        PeersConfig second = networked("b", LONG, running.serve.peerAddress().orElseThrow());
        Site.await(
                () -> report(running).observations().stream().anyMatch(NodeObservation::isSilent));
        Site newInstance = site(second);
        assertThat(count(newInstance, Name.HINTS_TAKEN)).isPositive();
        assertThat(ask(newInstance, 0)).isEqualTo(200);
        assertThat(ask(newInstance, 1)).isEqualTo(503);
        assertThat(silent.arrivals).hasSize(sent);
        Site.await(() -> report(running).members().size() == 2);
        assertThat(report(newInstance).counters()).containsEntry("shares_cold_among", 2L);
        open.remove(newInstance);
        newInstance.close();
        Site.await(() -> report(running).members().get(1).state() == State.LEFT);
    }

    private PeerReport report(Site site) {
        try {
            return PeerReport.fetch(site.serve.peerAddress().orElseThrow(), keys);
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** An instance that is started again uses its snapshot, but not one of another name. */
    @ParameterizedTest
    @CsvSource({"a, true", "b, false"})
    void restartLearnsFromItsOwnSnapshot(String name, boolean learns) throws Exception {
        Site first = site(alone("a"));
        int sent = learn(first);
        Site.await(() -> count(first, Name.SNAPSHOTS_WRITTEN) >= 2);
        // the first keeps running: a killed one would write nothing more either
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
     * If a peer accepts the connection and sends nothing, or is not running, the listeners still
     * open in time.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void startWaitsForAPeerNoLongerThanConfigured(boolean isRunning) throws Exception {
        if (!isRunning) {
            silent.close();
        }
        Instant started = Instant.now();
        Site site = site(networked("a", Duration.ofMillis(200), silent.address()));
        assertThat(Duration.between(started, Instant.now())).isLessThan(Duration.ofSeconds(3));
        assertThat(ask(site, 0)).isEqualTo(200);
        Site.await(() -> count(site, Name.TRANSFERS_BROKEN) > 0);
    }

    /**
     * Sends the first frame of a transfer and then closes the connection, stalls, sends implausible
     * values, or replays an answer that was meant for another.
     */
    private final class FaultyPeer extends StandIn {
        private final String behavior;
        private final CountDownLatch proceed = new CountDownLatch(1);

        FaultyPeer(String behavior) {
            this.behavior = behavior;
            open.add(this);
        }

        @Override
        protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
            frame(out, FrameCodec.nonce(42));
            byte[] request = new byte[in.readInt()];
            in.readFully(request);
            Instant now = MonotonicClock.now();
            TransferFrame decoded = Codec.decodeTransfer(SealedMessage.open(keys, request), now);
            NodeObservation observation =
                    observation("s-1", behavior.equals("lies") ? Double.NaN : 5000, now, "z", 1);
            byte[] first =
                    SealedMessage.seal(
                            keys,
                            Codec.encode(
                                    new TransferFrame(
                                            decoded.clientNonce()
                                                    + (behavior.equals("replays") ? 1 : 0),
                                            0,
                                            0,
                                            behavior.equals("lies") || behavior.equals("replays"),
                                            List.of(),
                                            behavior.equals("goes on")
                                                    ? List.of()
                                                    : List.of(observation),
                                            Map.of()),
                                    now));
            frame(out, first);
            if (behavior.equals("goes on")) {
                proceed.await();
                List<NodeObservation> later =
                        Stream.of("s-0", "s-1")
                                .map(id -> observation(id, 5000, now, "y", 2))
                                .toList();
                TransferFrame last =
                        new TransferFrame(
                                decoded.clientNonce(), 0, 1, true, List.of(), later, Map.of());
                frame(out, SealedMessage.seal(keys, Codec.encode(last, now)));
            }
            if (!behavior.equals("breaks off")) {
                in.read();
            }
        }

        private static NodeObservation observation(
                String id, double serviceTime, Instant now, String issuer, long generation) {
            return new NodeObservation(
                    id,
                    0,
                    serviceTime,
                    0,
                    0,
                    0,
                    9,
                    Duration.ofSeconds(1),
                    now.minusSeconds(1),
                    new Origin(issuer, generation));
        }

        private void frame(DataOutputStream out, byte[] frame) throws IOException {
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
        }
    }

    @ParameterizedTest
    @CsvSource({"breaks off, 1, 0", "stalls, 1, 0", "replays, 0, 0", "lies, 0, 1"})
    void onlyValidFramesReceivedBeforeATransferFailsAreUsed(
            String behavior, long hints, long refused) throws Exception {
        Site site = site(networked("a", LONG, new FaultyPeer(behavior).address()));
        Site.await(
                () -> count(site, Name.TRANSFERS_BROKEN) + count(site, Name.TRANSFERS_TAKEN) > 0);
        assertThat(count(site, Name.HINTS_TAKEN)).isEqualTo(hints);
        assertThat(count(site, Name.WORDS_REFUSED)).isGreaterThanOrEqualTo(refused);
        assertThat(ask(site, 0)).isEqualTo(200);
    }

    /**
     * A node changes while an observation of it is in transit: observations of an earlier start of
     * the node, or of one that drains, give no hint.
     */
    @ParameterizedTest
    @CsvSource({"active, 0, 2", "leaving, 0, 1", "left, 0, 1", "active, 1700000000000, 1"})
    void outdatedObservationsOfChangedNodesGiveNoHints(String state, long startedMs, long hints)
            throws Exception {
        FaultyPeer peer = new FaultyPeer("goes on");
        Site site = site(networked("a", Duration.ZERO, peer.address()));
        Site.await(() -> peer.connections.get() == 1);
        site.tell(42, Site.entry(1, silent.hostPort(), state, startedMs));
        peer.proceed.countDown();
        // the hints of both nodes are decided at once
        Site.await(() -> count(site, Name.HINTS_TAKEN) > 0);
        assertThat(count(site, Name.HINTS_TAKEN)).isEqualTo(hints);
    }

    /** A peer of which the test makes each datagram. */
    private final class DatagramPeer implements AutoCloseable {
        private final DatagramSocket socket = new DatagramSocket(ANY);
        private final InetSocketAddress to;

        DatagramPeer(Site site) throws IOException {
            to = site.serve.peerAddress().orElseThrow();
            socket.setSoTimeout(5000);
            open.add(this);
        }

        void send(byte[] bytes) throws IOException {
            socket.send(new DatagramPacket(bytes, bytes.length, to));
        }

        byte[] ping(KeyRing ring, long generation, long sequenceNumber) {
            Member self =
                    new Member(
                            "h",
                            (InetSocketAddress) socket.getLocalSocketAddress(),
                            77,
                            0,
                            State.ALIVE);
            return SealedMessage.seal(
                    ring,
                    Codec.encode(
                            new Envelope(
                                    77,
                                    generation,
                                    sequenceNumber,
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
    void messagesAreAcceptedOnceAndOnlyForTheCurrentGeneration() throws Exception {
        Site site = site(networked("a", LONG));
        DatagramPeer peer = new DatagramPeer(site);
        peer.send(peer.ping(keys, 0, 1));
        Envelope reply = Codec.decodeEnvelope(SealedMessage.open(keys, peer.next()));
        assertThat(reply.message()).isEmpty();
        assertThat(reply.receiverGeneration()).isEqualTo(77);
        assertThat(report(site).members()).hasSize(1);
        byte[] good = peer.ping(keys, reply.senderGeneration(), 2);
        peer.send(good);
        Envelope ack = Codec.decodeEnvelope(SealedMessage.open(keys, peer.next()));
        assertThat(ack.message().orElseThrow().kind()).isEqualTo(Kind.ACK);
        assertThat(report(site).members()).extracting(Member::name).containsExactly("a", "h");
        long refused = count(site, Name.PEER_REFUSED);
        peer.send(good);
        Site.await(() -> count(site, Name.PEER_REFUSED) == refused + 1);
    }

    @Test
    void badDatagramsAreCountedAndChangeNothing() throws Exception {
        Site site = site(networked("a", LONG));
        DatagramPeer peer = new DatagramPeer(site);
        peer.send(new byte[] {9, 1, 2, 3, 4});
        assertThat(peer.next()).isEqualTo(SealedMessage.versionMismatch());
        KeyRing wrong = KeyRing.parse("w", "1 " + "0c".repeat(32));
        peer.send(peer.ping(wrong, 0, 1));
        peer.send(new byte[0]);
        peer.send(new byte[20_000]);
        peer.send(SealedMessage.seal(keys, new byte[] {1, 2, 3}));
        Site.await(() -> count(site, Name.PEER_REFUSED) >= 4);
        peer.socket.setSoTimeout(50);
        assertThatThrownBy(peer::next).isInstanceOf(SocketTimeoutException.class);
        assertThat(report(site).members()).hasSize(1);
        assertThatThrownBy(() -> PeerReport.fetch(site.serve.peerAddress().orElseThrow(), wrong))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("same key file");
        assertThat(ask(site, 0)).isEqualTo(200);
    }

    /** Datagrams that cannot be queued are dropped and counted, to protect memory and requests. */
    @Test
    void floodOfDatagramsDoesNotStopRequests() throws Exception {
        Site site = site(networked("a", LONG));
        DatagramPeer peer = new DatagramPeer(site);
        byte[] bytes = peer.ping(keys, 3, 1);
        for (int i = 0; i < 5000; i++) {
            peer.send(bytes);
            if (i % 500 == 0) {
                assertThat(ask(site, 0)).isEqualTo(200);
            }
        }
        Site.await(() -> count(site, Name.PEER_MESSAGES) > 0);
        assertThat(ask(site, 0)).isEqualTo(200);
    }

    @Test
    void keysAreReplacedWithoutARestart() throws Exception {
        Site site = site(networked("a", LONG));
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
                            Optional.empty(), Optional.of(networked("a", LONG)), Optional.empty()));
            assertThat(PeerReport.fetch(at, KeyRing.parse("k", steps.get(i - 1))).members())
                    .hasSize(1);
        }
        assertThatThrownBy(() -> PeerReport.fetch(at, KeyRing.parse("k", steps.get(0))))
                .isInstanceOf(IOException.class);
    }

    /**
     * A verdict is accepted if it is signed with a key of the ring and issued by a name of the
     * roster; without the key it is not even decoded.
     */
    @Test
    void verdictsOfUnknownKeysOrNamesAreRejected() throws Exception {
        Network defaults = networked("a", LONG).network().orElseThrow();
        SharingSettings settings =
                new SharingSettings(Set.of("a", "h"), 0.25, 2, Duration.ofSeconds(1));
        Network sharing =
                new Network(
                        defaults.listenAddress(),
                        defaults.advertisedAddress(),
                        defaults.seeds(),
                        keys,
                        defaults.refreshInterval(),
                        true,
                        defaults.swimSettings(),
                        true,
                        Optional.of(settings));
        Site site = site(new PeersConfig("a", Optional.of(sharing), Optional.empty(), 100, LONG));
        DatagramPeer peer = new DatagramPeer(site);
        peer.send(peer.ping(keys, 0, 1));
        long generation =
                Codec.decodeEnvelope(SealedMessage.open(keys, peer.next())).senderGeneration();
        long refused = count(site, Name.PEER_REFUSED);
        peer.send(verdict(KeyRing.parse("w", "1 " + "0c".repeat(32)), generation, 2, "h", "s-0"));
        Site.await(() -> count(site, Name.PEER_REFUSED) == refused + 1);
        peer.send(verdict(keys, generation, 3, "x", "s-0"));
        Site.await(() -> report(site).counters().get("shared_turned_away") == 1);
        assertThat(report(site).counters()).containsEntry("verdicts_held", 0L);
        assertThat(ask(site, 0)).isEqualTo(200);
        peer.send(verdict(keys, generation, 4, "h", "s-0"));
        Site.await(() -> report(site).counters().get("verdicts_held") == 1);
        assertThat(ask(site, 0)).as("its node is excluded now").isEqualTo(503);
    }

    private static byte[] verdict(
            KeyRing ring, long generation, long sequenceNumber, String issuer, String node) {
        Verdict verdict = new Verdict("node " + node, "exclude", Instant.now(), issuer, 1);
        Notice notice = new Notice(0, Map.of(), List.of(), List.of(verdict));
        Envelope envelope =
                new Envelope(77, generation, sequenceNumber, Optional.empty(), Optional.of(notice));
        return SealedMessage.seal(ring, Codec.encode(envelope));
    }
}
