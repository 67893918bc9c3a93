package cypressglade.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import cypressglade.learn.NodeObservation;
import cypressglade.learn.Origin;
import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.MemberUpdate;
import cypressglade.member.Message;
import cypressglade.peer.SealedMessage.Fault;
import cypressglade.peer.SealedMessage.RejectedException;
import cypressglade.share.Notice;
import cypressglade.share.Notice.Fragment;
import cypressglade.share.Verdicts.Verdict;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the encoding and the signatures of messages between instances, and which are rejected. */
class CodecTest {
    static final String KEY = "1 " + "0a".repeat(32);
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Member MEMBER =
            new Member("i-1", new InetSocketAddress("127.0.0.1", 40_000), -5, 3, State.SUSPECT);
    private static final Envelope ENVELOPE =
            new Envelope(
                    -1,
                    Long.MIN_VALUE,
                    9,
                    Optional.of(
                            new Message(
                                    Message.Kind.PING_REQ,
                                    7,
                                    "i-2",
                                    new InetSocketAddress("127.0.0.2", 1),
                                    List.of(
                                            new MemberUpdate(MEMBER, "i-9"),
                                            new MemberUpdate(MEMBER, "i-1")))));

    static NodeObservation observation(int number) {
        return new NodeObservation(
                "s-" + number,
                1_700_000_000_000_000L,
                5000,
                250,
                0.5,
                0.25,
                40,
                Duration.ZERO,
                NOW.minusMillis(50),
                new Origin("i-1", 77));
    }

    private static TransferFrame transfer(int observationCount) {
        return new TransferFrame(
                1,
                2,
                3,
                true,
                List.of(MEMBER),
                IntStream.range(0, observationCount).mapToObj(CodecTest::observation).toList(),
                Map.of("a", 5L));
    }

    @Test
    void decodedBodiesEqualTheEncodedAndAreNeverYounger() throws Exception {
        assertThat(Codec.decodeEnvelope(Codec.encode(ENVELOPE))).isEqualTo(ENVELOPE);
        TransferFrame read =
                Codec.decodeTransfer(Codec.encode(transfer(2), NOW), NOW.plusSeconds(60));
        assertThat(read.observations())
                .extracting(observation -> observation.age(NOW.plusSeconds(60)))
                .containsOnly(Duration.ofMillis(51));
        assertThat(read)
                .usingRecursiveComparison()
                .ignoringFieldsOfTypes(Instant.class)
                .isEqualTo(transfer(2));
        byte[] snapshot = Codec.encodeSnapshot("me", transfer(1).observations(), NOW);
        assertThat(Codec.decodeSnapshot(snapshot, "me", Duration.ofSeconds(5), NOW).orElseThrow())
                .extracting(observation -> observation.age(NOW))
                .containsExactly(Duration.ofMillis(5051));
        assertThat(Codec.decodeSnapshot(snapshot, "you", Duration.ZERO, NOW)).isEmpty();
    }

    @Test
    void decodedNoticesAndVerdictsEqualTheEncoded() throws Exception {
        Verdict verdict = new Verdict("node s-1", "exclude", NOW, "m-1", 3);
        Notice notice =
                new Notice(
                        -7,
                        Map.of(5L, -1L, 6L, 3L),
                        List.of(
                                new Fragment(
                                        "m-1",
                                        5,
                                        0,
                                        2,
                                        9,
                                        Map.of(
                                                "v 3b4d60021",
                                                0.1,
                                                "n 1700000000000000 s-5be2a07c",
                                                3.0))),
                        List.of(verdict));
        Envelope envelope = new Envelope(1, 2, 3, Optional.empty(), Optional.of(notice));
        assertThat(Codec.decodeEnvelope(Codec.encode(envelope))).isEqualTo(envelope);
        assertThat(Codec.decodeVerdicts(Codec.encodeVerdicts(List.of(verdict))))
                .containsExactly(verdict);
        TransferFrame sent =
                new TransferFrame(
                        1, 2, 3, true, List.of(MEMBER), List.of(), Map.of(), List.of(verdict));
        assertThat(Codec.decodeTransfer(Codec.encode(sent, NOW), NOW)).isEqualTo(sent);
        Verdict tooLong = new Verdict("node " + "s".repeat(130), "exclude", NOW, "m-1", 3);
        assertThatThrownBy(() -> Codec.decodeVerdicts(Codec.encodeVerdicts(List.of(tooLong))))
                .isInstanceOf(IOException.class);
    }

    @Test
    void unknownKeysAreSkippedWhateverTheirValue() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new CBORFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeObjectFieldStart("new");
            out.writeArrayFieldStart("x");
            out.writeNumber(1);
            out.writeEndArray();
            out.writeEndObject();
            out.writeNumberField("f", 5);
            out.writeStringField("later", "y");
            out.writeEndObject();
        }
        assertThat(Codec.decodeEnvelope(bytes.toByteArray()))
                .isEqualTo(new Envelope(5, 0, 0, Optional.empty()));
    }

    /**
     * Truncated, changed and random bodies are decoded or fail with IOException; nothing else is
     * thrown, and decoding ends.
     */
    @Test
    void garbledBodiesAreRejectedOrDecoded() {
        Random random = new Random(5);
        byte[] good = Codec.encode(transfer(3), NOW);
        int refused = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = random.nextInt(3) == 0 ? new byte[random.nextInt(200)] : good.clone();
            if (bad.length < good.length) {
                random.nextBytes(bad);
            } else if (random.nextBoolean()) {
                bad = Arrays.copyOf(bad, random.nextInt(bad.length));
            } else {
                bad[random.nextInt(bad.length)] = (byte) random.nextInt();
                bad[random.nextInt(bad.length)] = (byte) random.nextInt();
            }
            try {
                Codec.decodeTransfer(bad, NOW)
                        .observations()
                        .forEach(observation -> observation.isPlausible(NOW));
                Codec.decodeEnvelope(bad);
            } catch (IOException unreadable) {
                refused++;
            }
        }
        assertThat(refused).isGreaterThan(19_000);
    }

    private static Fault fault(KeyRing keys, byte[] sealed) {
        try {
            SealedMessage.open(keys, sealed);
            return null;
        } catch (RejectedException rejected) {
            return rejected.fault();
        }
    }

    /** A change of any one bit fails the signature, or the checks before it. */
    @Test
    void changedMessagesAndThoseOfOtherKeysAreRejected() throws Exception {
        KeyRing keys = KeyRing.parse("k", KEY);
        byte[] sealed = SealedMessage.seal(keys, Codec.encode(ENVELOPE));
        assertThat(SealedMessage.open(keys, sealed)).isEqualTo(Codec.encode(ENVELOPE));
        for (int i = 0; i < sealed.length; i++) {
            byte[] changed = sealed.clone();
            changed[i] ^= 1;
            assertThat(fault(keys, changed))
                    .isEqualTo(i == 0 ? Fault.NO : i == 1 ? Fault.KEY : Fault.SIGNATURE);
        }
        assertThat(fault(keys, Arrays.copyOf(sealed, 33))).isEqualTo(Fault.SHORT);
        assertThat(fault(keys, new byte[0])).isEqualTo(Fault.SHORT);
        assertThat(fault(keys, new byte[] {2})).isEqualTo(Fault.VERSION);
        assertThat(fault(keys, SealedMessage.versionMismatch())).isEqualTo(Fault.NO);
        assertThat(fault(KeyRing.parse("k", "1 " + "0b".repeat(32)), sealed))
                .isEqualTo(Fault.SIGNATURE);
    }

    /** Replaces a key in three steps; instances one step apart accept each other's messages. */
    @Test
    void messagesAreAcceptedWhileAKeyIsReplaced() throws Exception {
        String other = "2 " + "0b".repeat(32);
        List<KeyRing> steps =
                List.of(
                        KeyRing.parse("k", KEY),
                        KeyRing.parse("k", KEY + "\n" + other),
                        KeyRing.parse("k", other + "\n" + KEY),
                        KeyRing.parse("k", other));
        for (int i = 0; i + 1 < steps.size(); i++) {
            assertThat(fault(steps.get(i), SealedMessage.seal(steps.get(i + 1), new byte[1])))
                    .isNull();
            assertThat(fault(steps.get(i + 1), SealedMessage.seal(steps.get(i), new byte[1])))
                    .isNull();
        }
        assertThat(fault(steps.get(3), SealedMessage.seal(steps.get(0), new byte[1])))
                .isEqualTo(Fault.KEY);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            '' | k: has 0 keys
            1 | k:1: is not ID HEX
            256 0a | k:1: is not ID HEX
            # c\\n1 0a0a | k:2: the key is not 16 to 128 bytes
            1 zz | k:1: the key
            @\\n@ | k:2: the ID 1 is there twice
            @\\n2 @\\n | k:2: is not ID HEX
            """)
    void errorsOfUnusableKeyFilesNameTheLine(String text, String message) {
        assertThatThrownBy(() -> KeyRing.parse("k", text.replace("\\n", "\n").replace("@", KEY)))
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith(message);
    }

    @ParameterizedTest
    @CsvSource({"0", "-1", "65537", "2147483647"})
    void frameLengthsOutOfBoundsFailBeforeAllocation(int length) {
        FrameCodec frames = new FrameCodec(frame -> {});
        assertThatThrownBy(() -> frames.feed(java.nio.ByteBuffer.allocate(4).putInt(length).flip()))
                .isInstanceOf(IOException.class)
                .hasMessageContaining(Integer.toString(length));
    }
}
