package cypressglade.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import cypressglade.learn.NodeObservation;
import cypressglade.learn.Origin;
import cypressglade.member.Member;
import cypressglade.member.MemberUpdate;
import cypressglade.member.Message;
import cypressglade.share.Notice;
import cypressglade.share.Notice.Fragment;
import cypressglade.share.SharingProtocol;
import cypressglade.share.Verdicts.Verdict;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes and decodes the bodies of datagrams, transfer frames and snapshots as CBOR (RFC 8949).
 *
 * <p>Each body is a map with keys of one letter; decoders skip unknown keys. An address is a byte
 * string (port, then IP address, both in network byte order) and an age is in milliseconds. A
 * decoder throws {@link IOException} if a body is malformed, lacks a required key or exceeds one of
 * the bounds below; it does not check whether values are plausible.
 */
final class Codec {
    /** Maximum number of node observations in one body. */
    static final int MAX_OBSERVATIONS = 12_288;

    private static final int MAX_MEMBERS = 4096;
    private static final int MAX_COUNTERS = 64;
    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_NESTING_DEPTH = 8;
    private static final long MAX_AGE_MILLIS = Duration.ofDays(10).toMillis();
    private static final int MAX_PORT = 65_535;
    private static final int MAX_VERDICTS = 8192;
    private static final int MAX_WINDOWS = 64;
    private static final int MAX_FRAGMENTS = 64;
    private static final double MAX_UNITS = 1e12;
    private static final long MAX_TIMESTAMP_MILLIS = 253_402_300_799_000L; // end of the year 9999
    private static final CBORFactory CBOR =
            CBORFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                    .maxStringLength(MAX_TEXT_LENGTH)
                                    .maxNameLength(MAX_TEXT_LENGTH)
                                    .build())
                    .build();

    private Codec() {}

    /** Writes the fields of one map. */
    private interface MapWriter {
        void write(JsonGenerator out) throws IOException;
    }

    /**
     * Reads one field of a map; the parser's current token is the field's value. Returns false if
     * the key is unknown, and the value is then skipped.
     */
    private interface FieldReader {
        boolean read(String name, JsonParser in) throws IOException;
    }

    /** Reads one item of a list; the parser's current token is the item. */
    private interface ItemReader<T> {
        T read(JsonParser in) throws IOException;
    }

    // ---- bodies

    /** Encodes the body of a datagram. */
    static byte[] encode(Envelope envelope) {
        return encodeMap(
                out -> {
                    writeNumber(out, "f", envelope.senderGeneration());
                    writeNumber(out, "t", envelope.receiverGeneration());
                    writeNumber(out, "n", envelope.sequenceNumber());
                    if (envelope.message().isPresent()) {
                        Message message = envelope.message().get();
                        writeNumber(out, "k", message.kind().ordinal());
                        writeNumber(out, "i", message.sequenceNumber());
                        if (!message.target().isEmpty()) {
                            writeText(out, "g", message.target());
                        }
                        if (message.targetAddress() != null) {
                            writeAddress(out, message.targetAddress());
                        }
                        out.writeArrayFieldStart("u");
                        for (MemberUpdate update : message.updates()) {
                            writeMember(out, update.member(), update.reportedBy());
                        }
                        out.writeEndArray();
                    }
                    if (envelope.notice().isPresent()) {
                        out.writeObjectFieldStart("s");
                        writeNotice(out, envelope.notice().get());
                        out.writeEndObject();
                    }
                });
    }

    /**
     * Decodes the body of a datagram.
     *
     * @throws IOException if the body is malformed
     */
    static Envelope decodeEnvelope(byte[] body) throws IOException {
        var read =
                new Object() {
                    long senderGeneration, receiverGeneration, sequenceNumber, messageNumber;
                    int kind = -1;
                    String target = "";
                    InetSocketAddress targetAddress;
                    List<MemberUpdate> updates = List.of();
                    Optional<Notice> notice = Optional.empty();
                };
        decodeMap(
                body,
                (name, in) -> {
                    switch (name) {
                        case "f" -> read.senderGeneration = readLong(in);
                        case "t" -> read.receiverGeneration = readLong(in);
                        case "n" -> read.sequenceNumber = readLong(in);
                        case "k" -> read.kind = (int) readLong(in);
                        case "i" -> read.messageNumber = readLong(in);
                        case "g" -> read.target = readText(in);
                        case "a" -> read.targetAddress = readAddress(in);
                        case "u" -> read.updates = readList(in, MAX_MEMBERS, Codec::readMember);
                        case "s" -> read.notice = Optional.of(readNotice(in));
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.kind < 0) {
            return new Envelope(
                    read.senderGeneration,
                    read.receiverGeneration,
                    read.sequenceNumber,
                    Optional.empty(),
                    read.notice);
        }
        if (read.kind >= Message.Kind.values().length || read.updates.isEmpty()) {
            throw new IOException("a message of an unknown kind, or without member updates");
        }
        return new Envelope(
                read.senderGeneration,
                read.receiverGeneration,
                read.sequenceNumber,
                Optional.of(
                        new Message(
                                Message.Kind.values()[read.kind],
                                read.messageNumber,
                                read.target,
                                read.targetAddress,
                                read.updates)),
                read.notice);
    }

    /** Encodes a transfer frame, with the ages of the observations at {@code now}. */
    static byte[] encode(TransferFrame frame, Instant now) {
        return encodeMap(
                out -> {
                    writeNumber(out, "n", frame.echoedNonce());
                    writeNumber(out, "a", frame.clientNonce());
                    writeNumber(out, "i", frame.index());
                    out.writeBooleanField("z", frame.last());
                    out.writeArrayFieldStart("m");
                    for (Member member : frame.members()) {
                        writeMember(out, member, "");
                    }
                    out.writeEndArray();
                    writeObservations(out, frame.observations(), now);
                    out.writeObjectFieldStart("c");
                    for (Map.Entry<String, Long> counter : frame.counters().entrySet()) {
                        writeNumber(out, counter.getKey(), counter.getValue());
                    }
                    out.writeEndObject();
                    writeVerdicts(out, frame.verdicts());
                });
    }

    /**
     * Decodes a transfer frame; the ages in it are taken as of {@code now}.
     *
     * @throws IOException if the body is malformed
     */
    static TransferFrame decodeTransfer(byte[] body, Instant now) throws IOException {
        var read =
                new Object() {
                    long echoedNonce, clientNonce;
                    int index;
                    boolean last;
                    List<Member> members = List.of();
                    List<NodeObservation> observations = List.of();
                    final Map<String, Long> counters = new LinkedHashMap<>();
                    List<Verdict> verdicts = List.of();
                };
        decodeMap(
                body,
                (name, in) -> {
                    switch (name) {
                        case "n" -> read.echoedNonce = readLong(in);
                        case "a" -> read.clientNonce = readLong(in);
                        case "i" ->
                                read.index =
                                        Math.toIntExact(bounded(readLong(in), Integer.MAX_VALUE));
                        case "z" -> read.last = in.getBooleanValue();
                        case "m" ->
                                read.members =
                                        readList(
                                                in, MAX_MEMBERS, each -> readMember(each).member());
                        case "w" ->
                                read.observations =
                                        readList(
                                                in,
                                                MAX_OBSERVATIONS,
                                                each -> readObservation(each, now));
                        case "c" ->
                                readFields(
                                        in,
                                        (counter, value) -> {
                                            if (read.counters.size() >= MAX_COUNTERS) {
                                                throw new IOException("too many counters");
                                            }
                                            read.counters.put(counter, readLong(value));
                                            return true;
                                        });
                        case "v" -> read.verdicts = readList(in, MAX_VERDICTS, Codec::readVerdict);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        return new TransferFrame(
                read.echoedNonce,
                read.clientNonce,
                read.index,
                read.last,
                read.members,
                read.observations,
                read.counters,
                read.verdicts);
    }

    /** Encodes verdicts for a snapshot. */
    static byte[] encodeVerdicts(List<Verdict> verdicts) {
        return encodeMap(out -> writeVerdicts(out, verdicts));
    }

    /**
     * Decodes a snapshot of verdicts.
     *
     * @throws IOException if the body is malformed
     */
    static List<Verdict> decodeVerdicts(byte[] body) throws IOException {
        List<Verdict> read = new ArrayList<>();
        decodeMap(
                body,
                (name, in) ->
                        name.equals("v")
                                && read.addAll(readList(in, MAX_VERDICTS, Codec::readVerdict)));
        return read;
    }

    /** Encodes observations for a snapshot, with the name of the instance that writes it. */
    static byte[] encodeSnapshot(String name, List<NodeObservation> observations, Instant now) {
        return encodeMap(
                out -> {
                    writeText(out, "s", name);
                    writeObservations(out, observations, now);
                });
    }

    /**
     * Decodes a snapshot of observations and adds the snapshot's age to the age of each. Returns
     * empty if the snapshot was written by an instance of another name.
     *
     * @throws IOException if the body is malformed
     */
    static Optional<List<NodeObservation>> decodeSnapshot(
            byte[] body, String name, Duration snapshotAge, Instant now) throws IOException {
        var read =
                new Object() {
                    String name = "";
                    List<NodeObservation> observations = List.of();
                };
        decodeMap(
                body,
                (field, in) -> {
                    switch (field) {
                        case "s" -> read.name = readText(in);
                        case "w" ->
                                read.observations =
                                        readList(
                                                in,
                                                MAX_OBSERVATIONS,
                                                each ->
                                                        readObservation(
                                                                each, now.minus(snapshotAge)));
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        return read.name.equals(name) ? Optional.of(read.observations) : Optional.empty();
    }

    // ---- sharing of limits and verdicts

    private static void writeNotice(JsonGenerator out, Notice notice) throws IOException {
        writeNumber(out, "d", notice.digest());
        out.writeArrayFieldStart("h");
        for (Map.Entry<Long, Long> report : notice.heldReports().entrySet()) {
            out.writeNumber(report.getKey());
            out.writeNumber(report.getValue());
        }
        out.writeEndArray();
        out.writeArrayFieldStart("p");
        for (Fragment fragment : notice.fragments()) {
            out.writeStartObject();
            writeText(out, "n", fragment.name());
            writeNumber(out, "w", fragment.window());
            writeNumber(out, "i", fragment.index());
            writeNumber(out, "o", fragment.count());
            writeNumber(out, "h", fragment.aliveBits());
            out.writeObjectFieldStart("k");
            for (Map.Entry<String, Double> entry : fragment.demand().entrySet()) {
                // As double, not float, so that all members compute the same shares.
                out.writeNumberField(entry.getKey(), entry.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        out.writeEndArray();
        writeVerdicts(out, notice.verdicts());
    }

    private static Notice readNotice(JsonParser in) throws IOException {
        var read =
                new Object() {
                    long digest;
                    List<Long> heldReports = List.of();
                    List<Fragment> fragments = List.of();
                    List<Verdict> verdicts = List.of();
                };
        readFields(
                in,
                (name, value) -> {
                    switch (name) {
                        case "d" -> read.digest = readLong(value);
                        case "h" ->
                                read.heldReports =
                                        readList(value, 2 * MAX_WINDOWS, Codec::readLong);
                        case "p" ->
                                read.fragments =
                                        readList(value, MAX_FRAGMENTS, Codec::readFragment);
                        case "v" ->
                                read.verdicts = readList(value, MAX_VERDICTS, Codec::readVerdict);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        Map<Long, Long> heldReports = new HashMap<>();
        for (int i = 0; i + 1 < read.heldReports.size(); i += 2) {
            heldReports.put(read.heldReports.get(i), read.heldReports.get(i + 1));
        }
        return new Notice(read.digest, heldReports, read.fragments, read.verdicts);
    }

    private static Fragment readFragment(JsonParser in) throws IOException {
        var read =
                new Object() {
                    String name = "";
                    long window, index, count, aliveBits;
                    final Map<String, Double> demand = new HashMap<>();
                };
        readFields(
                in,
                (name, value) -> {
                    switch (name) {
                        case "n" -> read.name = readText(value);
                        case "w" -> read.window = readLong(value);
                        case "i" -> read.index = bounded(readLong(value), MAX_FRAGMENTS);
                        case "o" -> read.count = bounded(readLong(value), MAX_FRAGMENTS);
                        case "h" -> read.aliveBits = readLong(value);
                        case "k" ->
                                readFields(
                                        value,
                                        (key, units) -> {
                                            double demand = readDouble(units);
                                            if (!(demand >= 0 && demand < MAX_UNITS)
                                                    || read.demand.size()
                                                            >= SharingProtocol.MAX_KEYS) {
                                                throw new IOException(
                                                        "a demand out of range, or too many");
                                            }
                                            read.demand.put(key, demand);
                                            return true;
                                        });
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        return new Fragment(
                read.name,
                read.window,
                (int) read.index,
                (int) read.count,
                read.aliveBits,
                read.demand);
    }

    private static void writeVerdicts(JsonGenerator out, List<Verdict> verdicts)
            throws IOException {
        if (verdicts.isEmpty()) {
            return;
        }
        out.writeArrayFieldStart("v");
        for (Verdict verdict : verdicts) {
            out.writeStartObject();
            writeText(out, "s", verdict.subject());
            writeText(out, "w", verdict.action());
            writeNumber(out, "a", verdict.issuedAt().toEpochMilli());
            writeText(out, "b", verdict.issuer());
            writeNumber(out, "n", verdict.sequence());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static Verdict readVerdict(JsonParser in) throws IOException {
        var read =
                new Object() {
                    String subject = "", action = "", issuer = "";
                    long issuedAt, sequence;
                };
        readFields(
                in,
                (name, value) -> {
                    switch (name) {
                        case "s" -> read.subject = readText(value);
                        case "w" -> read.action = readText(value);
                        case "a" -> read.issuedAt = bounded(readLong(value), MAX_TIMESTAMP_MILLIS);
                        case "b" -> read.issuer = readText(value);
                        case "n" -> read.sequence = bounded(readLong(value), Long.MAX_VALUE - 1);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.subject.isEmpty()
                || read.action.isEmpty()
                || read.subject.length() > SharingProtocol.MAX_TEXT_LENGTH
                || read.action.length() > SharingProtocol.MAX_TEXT_LENGTH) {
            throw new IOException(
                    "a verdict without subject or action, or with one that is too long");
        }
        return new Verdict(
                read.subject,
                read.action,
                Instant.ofEpochMilli(read.issuedAt),
                read.issuer,
                read.sequence);
    }

    // ---- observations and members

    private static void writeObservations(
            JsonGenerator out, List<NodeObservation> observations, Instant now) throws IOException {
        out.writeArrayFieldStart("w");
        for (NodeObservation observation : observations) {
            out.writeStartObject();
            writeText(out, "n", observation.nodeId());
            writeNumber(out, "t", observation.startedMicros());
            out.writeNumberField("p", (float) observation.serviceTimePerUnitMicros());
            out.writeNumberField("b", (float) observation.backlogMicros());
            out.writeNumberField("s", (float) observation.latencyRatio());
            out.writeNumberField("e", (float) observation.errorRatio());
            writeNumber(out, "a", observation.answerCount());
            writeNumber(out, "q", observation.silentFor().toMillis());
            // Rounded up, so that an observation never looks younger than it is.
            writeNumber(out, "g", observation.age(now).toMillis() + 1);
            writeText(out, "o", observation.origin().name());
            writeNumber(out, "l", observation.origin().generation());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static NodeObservation readObservation(JsonParser in, Instant now) throws IOException {
        var read =
                new Object() {
                    String node = "", origin = "";
                    long started, answers, silent, age = -1, generation;
                    double serviceTime = Double.NaN, backlog, latencyRatio, errorRatio;
                };
        readFields(
                in,
                (name, value) -> {
                    switch (name) {
                        case "n" -> read.node = readText(value);
                        case "t" -> read.started = readLong(value);
                        case "p" -> read.serviceTime = readDouble(value);
                        case "b" -> read.backlog = readDouble(value);
                        case "s" -> read.latencyRatio = readDouble(value);
                        case "e" -> read.errorRatio = readDouble(value);
                        case "a" -> read.answers = readLong(value);
                        case "q" -> read.silent = bounded(readLong(value), MAX_AGE_MILLIS);
                        case "g" -> read.age = bounded(readLong(value), MAX_AGE_MILLIS);
                        case "o" -> read.origin = readText(value);
                        case "l" -> read.generation = readLong(value);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.age < 0) {
            throw new IOException("an observation without an age");
        }
        return new NodeObservation(
                read.node,
                read.started,
                read.serviceTime,
                read.backlog,
                read.latencyRatio,
                read.errorRatio,
                (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, read.answers)),
                Duration.ofMillis(read.silent),
                now.minusMillis(read.age),
                new Origin(read.origin, read.generation));
    }

    private static void writeMember(JsonGenerator out, Member member, String reportedBy)
            throws IOException {
        out.writeStartObject();
        writeText(out, "n", member.name());
        writeAddress(out, member.address());
        writeNumber(out, "l", member.generation());
        writeNumber(out, "i", member.incarnation());
        writeNumber(out, "s", member.state().ordinal());
        if (!reportedBy.isEmpty()) {
            writeText(out, "b", reportedBy);
        }
        out.writeEndObject();
    }

    private static MemberUpdate readMember(JsonParser in) throws IOException {
        var read =
                new Object() {
                    String name = "", reportedBy = "";
                    InetSocketAddress address;
                    long generation, incarnation, state = -1;
                };
        readFields(
                in,
                (name, value) -> {
                    switch (name) {
                        case "n" -> read.name = readText(value);
                        case "a" -> read.address = readAddress(value);
                        case "l" -> read.generation = readLong(value);
                        case "i" -> read.incarnation = bounded(readLong(value), Long.MAX_VALUE / 2);
                        case "s" -> read.state = readLong(value);
                        case "b" -> read.reportedBy = readText(value);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.name.isEmpty()
                || read.address == null
                || read.state < 0
                || read.state >= Member.State.values().length) {
            throw new IOException("a member without a name or address, or without a known state");
        }
        return new MemberUpdate(
                new Member(
                        read.name,
                        read.address,
                        read.generation,
                        read.incarnation,
                        Member.State.values()[(int) read.state]),
                read.reportedBy);
    }

    // ---- CBOR

    private static byte[] encodeMap(MapWriter content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartObject();
            content.write(out);
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("cannot write to memory", impossible);
        }
        return bytes.toByteArray();
    }

    private static void writeNumber(JsonGenerator out, String name, long value) throws IOException {
        out.writeNumberField(name, value);
    }

    private static void writeText(JsonGenerator out, String name, String value) throws IOException {
        out.writeStringField(name, value);
    }

    private static void writeAddress(JsonGenerator out, InetSocketAddress address)
            throws IOException {
        byte[] ip = address.getAddress().getAddress();
        byte[] bytes = new byte[ip.length + 2];
        System.arraycopy(ip, 0, bytes, 2, ip.length);
        bytes[0] = (byte) (address.getPort() >> 8);
        bytes[1] = (byte) address.getPort();
        out.writeBinaryField("a", bytes);
    }

    private static InetSocketAddress readAddress(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IOException("an address that is not a byte string");
        }
        byte[] bytes = in.getBinaryValue();
        if (bytes.length != 6 && bytes.length != 18) {
            throw new IOException("an address of " + bytes.length + " bytes");
        }
        int port = (bytes[0] & 0xff) << 8 | bytes[1] & 0xff;
        if (port == 0 || port > MAX_PORT) {
            throw new IOException("port 0");
        }
        return new InetSocketAddress(
                InetAddress.getByAddress(Arrays.copyOfRange(bytes, 2, bytes.length)), port);
    }

    private static void decodeMap(byte[] body, FieldReader reader) throws IOException {
        try (JsonParser in = CBOR.createParser(body)) {
            in.nextToken();
            readFields(in, reader);
            if (in.nextToken() != null) {
                throw new IOException("trailing data after the body");
            }
        }
    }

    private static void readFields(JsonParser in, FieldReader reader) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a map");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (in.nextToken() == null) {
                throw new IOException("a truncated map");
            }
            if (!reader.read(name, in)) {
                in.skipChildren();
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("a truncated map");
        }
    }

    private static <T> List<T> readList(JsonParser in, int max, ItemReader<T> item)
            throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("not a list");
        }
        List<T> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() == null || items.size() >= max) {
                throw new IOException("a list that is truncated, or longer than " + max);
            }
            items.add(item.read(in));
        }
        return items;
    }

    private static long readLong(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("not an integer");
        }
        return in.getLongValue();
    }

    private static double readDouble(JsonParser in) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new IOException("not a number");
        }
        return in.getDoubleValue();
    }

    private static String readText(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new IOException("not a text string");
        }
        return in.getText();
    }

    private static long bounded(long value, long max) throws IOException {
        if (value < 0 || value > max) {
            throw new IOException("a number below 0 or above " + max);
        }
        return value;
    }
}
