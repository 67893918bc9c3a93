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
import cypressglade.share.SharingProtocol;
import cypressglade.share.Verdicts.Verdict;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What is said, in CBOR (RFC 8949): maps with names of one letter, in which a name that is not
 * known is skipped. Addresses are bytes, ages are milliseconds. What has another form, lacks a name
 * that it must have, or holds more than the bounds here, is an {@link IOException}; whether figures
 * make sense is not judged.
 */
final class Codec {
    /** Words that one body may hold. */
    static final int MOST_WORDS = 12_288;

    private static final int MOST_MEMBERS = 4096;
    private static final int MOST_FIGURES = 64;
    private static final int MOST_TEXT = 256;
    private static final int MOST_DEPTH = 8;
    private static final long MOST_AGE_MS = Duration.ofDays(10).toMillis();
    private static final int MOST_PORT = 65_535;
    private static final int MOST_VERDICTS = 8192;
    private static final int MOST_WINDOWS = 64;
    private static final int MOST_PIECES = 64;
    private static final double MOST_UNITS = 1e12;
    private static final long MOST_AT_MS = 253_402_300_799_000L; // the end of the year 9999
    private static final CBORFactory CBOR =
            CBORFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MOST_DEPTH)
                                    .maxStringLength(MOST_TEXT)
                                    .maxNameLength(MOST_TEXT)
                                    .build())
                    .build();

    private Codec() {}

    /** Writes the members of one map. */
    private interface Writing {
        void write(JsonGenerator out) throws IOException;
    }

    /**
     * Takes one member of a map, whose value is the parser's current token; false where it is not
     * known.
     */
    private interface Reading {
        boolean read(String name, JsonParser in) throws IOException;
    }

    private interface Item<T> {
        T read(JsonParser in) throws IOException;
    }

    // ---- bodies

    static byte[] bytes(Envelope envelope) {
        return body(
                out -> {
                    number(out, "f", envelope.from());
                    number(out, "t", envelope.to());
                    number(out, "n", envelope.number());
                    if (envelope.message().isPresent()) {
                        Message message = envelope.message().get();
                        number(out, "k", message.kind().ordinal());
                        number(out, "i", message.sequenceNumber());
                        if (!message.target().isEmpty()) {
                            text(out, "g", message.target());
                        }
                        if (message.targetAddress() != null) {
                            address(out, message.targetAddress());
                        }
                        out.writeArrayFieldStart("u");
                        for (MemberUpdate news : message.updates()) {
                            member(out, news.member(), news.reportedBy());
                        }
                        out.writeEndArray();
                    }
                    if (envelope.notice().isPresent()) {
                        out.writeObjectFieldStart("s");
                        notice(out, envelope.notice().get());
                        out.writeEndObject();
                    }
                });
    }

    static Envelope envelope(byte[] body) throws IOException {
        var read =
                new Object() {
                    long from, to, number, message;
                    int kind = -1;
                    String target = "";
                    InetSocketAddress targetAt;
                    List<MemberUpdate> news = List.of();
                    Optional<Notice> notice = Optional.empty();
                };
        map(
                body,
                (name, in) -> {
                    switch (name) {
                        case "f" -> read.from = whole(in);
                        case "t" -> read.to = whole(in);
                        case "n" -> read.number = whole(in);
                        case "k" -> read.kind = (int) whole(in);
                        case "i" -> read.message = whole(in);
                        case "g" -> read.target = text(in);
                        case "a" -> read.targetAt = address(in);
                        case "u" -> read.news = list(in, MOST_MEMBERS, Codec::news);
                        case "s" -> read.notice = Optional.of(notice(in));
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.kind < 0) {
            return new Envelope(read.from, read.to, read.number, Optional.empty(), read.notice);
        }
        if (read.kind >= Message.Kind.values().length || read.news.isEmpty()) {
            throw new IOException("a message of no known kind, or of nobody");
        }
        return new Envelope(
                read.from,
                read.to,
                read.number,
                Optional.of(
                        new Message(
                                Message.Kind.values()[read.kind],
                                read.message,
                                read.target,
                                read.targetAt,
                                read.news)),
                read.notice);
    }

    static byte[] bytes(Transfer transfer, Instant now) {
        return body(
                out -> {
                    number(out, "n", transfer.nonce());
                    number(out, "a", transfer.ask());
                    number(out, "i", transfer.index());
                    out.writeBooleanField("z", transfer.last());
                    out.writeArrayFieldStart("m");
                    for (Member member : transfer.members()) {
                        member(out, member, "");
                    }
                    out.writeEndArray();
                    words(out, transfer.words(), now);
                    out.writeObjectFieldStart("c");
                    for (Map.Entry<String, Long> figure : transfer.figures().entrySet()) {
                        number(out, figure.getKey(), figure.getValue());
                    }
                    out.writeEndObject();
                    verdicts(out, transfer.verdicts());
                });
    }

    static Transfer transfer(byte[] body, Instant now) throws IOException {
        var read =
                new Object() {
                    long nonce, ask;
                    int index;
                    boolean last;
                    List<Member> members = List.of();
                    List<NodeObservation> words = List.of();
                    final Map<String, Long> figures = new LinkedHashMap<>();
                    List<Verdict> verdicts = List.of();
                };
        map(
                body,
                (name, in) -> {
                    switch (name) {
                        case "n" -> read.nonce = whole(in);
                        case "a" -> read.ask = whole(in);
                        case "i" ->
                                read.index = Math.toIntExact(bounded(whole(in), Integer.MAX_VALUE));
                        case "z" -> read.last = in.getBooleanValue();
                        case "m" ->
                                read.members = list(in, MOST_MEMBERS, each -> news(each).member());
                        case "w" -> read.words = list(in, MOST_WORDS, each -> word(each, now));
                        case "c" ->
                                members(
                                        in,
                                        (figure, value) -> {
                                            if (read.figures.size() >= MOST_FIGURES) {
                                                throw new IOException("too many figures");
                                            }
                                            read.figures.put(figure, whole(value));
                                            return true;
                                        });
                        case "v" -> read.verdicts = list(in, MOST_VERDICTS, Codec::verdict);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        return new Transfer(
                read.nonce,
                read.ask,
                read.index,
                read.last,
                read.members,
                read.words,
                read.figures,
                read.verdicts);
    }

    /** Verdicts as a snapshot holds them. */
    static byte[] verdicts(List<Verdict> verdicts) {
        return body(out -> verdicts(out, verdicts));
    }

    static List<Verdict> verdicts(byte[] body) throws IOException {
        List<Verdict> read = new ArrayList<>();
        map(
                body,
                (name, in) ->
                        name.equals("v") && read.addAll(list(in, MOST_VERDICTS, Codec::verdict)));
        return read;
    }

    /** Words as a snapshot holds them, with the name of the instance whose snapshot it is. */
    static byte[] snapshot(String name, List<NodeObservation> words, Instant now) {
        return body(
                out -> {
                    text(out, "s", name);
                    words(out, words, now);
                });
    }

    /** A snapshot's words, each older by the given span; nothing where it is another instance's. */
    static Optional<List<NodeObservation>> snapshot(
            byte[] body, String name, Duration since, Instant now) throws IOException {
        var read =
                new Object() {
                    String name = "";
                    List<NodeObservation> words = List.of();
                };
        map(
                body,
                (field, in) -> {
                    switch (field) {
                        case "s" -> read.name = text(in);
                        case "w" ->
                                read.words =
                                        list(in, MOST_WORDS, each -> word(each, now.minus(since)));
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        return read.name.equals(name) ? Optional.of(read.words) : Optional.empty();
    }

    // ---- what is shared

    private static void notice(JsonGenerator out, Notice notice) throws IOException {
        number(out, "d", notice.digest());
        out.writeArrayFieldStart("h");
        for (Map.Entry<Long, Long> held : notice.heldReports().entrySet()) {
            out.writeNumber(held.getKey());
            out.writeNumber(held.getValue());
        }
        out.writeEndArray();
        out.writeArrayFieldStart("p");
        for (Notice.Fragment piece : notice.fragments()) {
            out.writeStartObject();
            text(out, "n", piece.name());
            number(out, "w", piece.window());
            number(out, "i", piece.index());
            number(out, "o", piece.count());
            number(out, "h", piece.aliveBits());
            out.writeObjectFieldStart("k");
            for (Map.Entry<String, Double> wanted : piece.demand().entrySet()) {
                out.writeNumberField(
                        wanted.getKey(), wanted.getValue()); // whole: all have to reckon alike
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        out.writeEndArray();
        verdicts(out, notice.verdicts());
    }

    private static Notice notice(JsonParser in) throws IOException {
        var read =
                new Object() {
                    long digest;
                    List<Long> held = List.of();
                    List<Notice.Fragment> pieces = List.of();
                    List<Verdict> verdicts = List.of();
                };
        members(
                in,
                (name, value) -> {
                    switch (name) {
                        case "d" -> read.digest = whole(value);
                        case "h" -> read.held = list(value, 2 * MOST_WINDOWS, Codec::whole);
                        case "p" -> read.pieces = list(value, MOST_PIECES, Codec::piece);
                        case "v" -> read.verdicts = list(value, MOST_VERDICTS, Codec::verdict);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        Map<Long, Long> held = new HashMap<>();
        for (int i = 0; i + 1 < read.held.size(); i += 2) {
            held.put(read.held.get(i), read.held.get(i + 1));
        }
        return new Notice(read.digest, held, read.pieces, read.verdicts);
    }

    private static Notice.Fragment piece(JsonParser in) throws IOException {
        var read =
                new Object() {
                    String name = "";
                    long window, number, of, heard;
                    final Map<String, Double> wanted = new HashMap<>();
                };
        members(
                in,
                (name, value) -> {
                    switch (name) {
                        case "n" -> read.name = text(value);
                        case "w" -> read.window = whole(value);
                        case "i" -> read.number = bounded(whole(value), MOST_PIECES);
                        case "o" -> read.of = bounded(whole(value), MOST_PIECES);
                        case "h" -> read.heard = whole(value);
                        case "k" ->
                                members(
                                        value,
                                        (key, units) -> {
                                            double wanted = real(units);
                                            if (!(wanted >= 0 && wanted < MOST_UNITS)
                                                    || read.wanted.size()
                                                            >= SharingProtocol.MAX_KEYS) {
                                                throw new IOException(
                                                        "a demand that is none, or too many");
                                            }
                                            read.wanted.put(key, wanted);
                                            return true;
                                        });
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        return new Notice.Fragment(
                read.name, read.window, (int) read.number, (int) read.of, read.heard, read.wanted);
    }

    private static void verdicts(JsonGenerator out, List<Verdict> verdicts) throws IOException {
        if (verdicts.isEmpty()) {
            return;
        }
        out.writeArrayFieldStart("v");
        for (Verdict verdict : verdicts) {
            out.writeStartObject();
            text(out, "s", verdict.subject());
            text(out, "w", verdict.action());
            number(out, "a", verdict.issuedAt().toEpochMilli());
            text(out, "b", verdict.issuer());
            number(out, "n", verdict.sequence());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static Verdict verdict(JsonParser in) throws IOException {
        var read =
                new Object() {
                    String subject = "", word = "", by = "";
                    long at, number;
                };
        members(
                in,
                (name, value) -> {
                    switch (name) {
                        case "s" -> read.subject = text(value);
                        case "w" -> read.word = text(value);
                        case "a" -> read.at = bounded(whole(value), MOST_AT_MS);
                        case "b" -> read.by = text(value);
                        case "n" -> read.number = bounded(whole(value), Long.MAX_VALUE - 1);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.subject.isEmpty()
                || read.word.isEmpty()
                || read.subject.length() > SharingProtocol.MAX_TEXT_LENGTH
                || read.word.length() > SharingProtocol.MAX_TEXT_LENGTH) {
            throw new IOException("a verdict on nothing, or of too many letters");
        }
        return new Verdict(
                read.subject, read.word, Instant.ofEpochMilli(read.at), read.by, read.number);
    }

    // ---- words and members

    private static void words(JsonGenerator out, List<NodeObservation> words, Instant now)
            throws IOException {
        out.writeArrayFieldStart("w");
        for (NodeObservation word : words) {
            out.writeStartObject();
            text(out, "n", word.nodeId());
            number(out, "t", word.startedMicros());
            out.writeNumberField("p", (float) word.serviceTimePerUnitMicros());
            out.writeNumberField("b", (float) word.backlogMicros());
            out.writeNumberField("s", (float) word.latencyRatio());
            out.writeNumberField("e", (float) word.errorRatio());
            number(out, "a", word.answerCount());
            number(out, "q", word.silentFor().toMillis());
            number(out, "g", word.age(now).toMillis() + 1); // rounded up: it never looks younger
            text(out, "o", word.origin().name());
            number(out, "l", word.origin().generation());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static NodeObservation word(JsonParser in, Instant now) throws IOException {
        var read =
                new Object() {
                    String node = "", origin = "";
                    long started, answers, silent, age = -1, life;
                    double pace = Double.NaN, backlog, strain, errors;
                };
        members(
                in,
                (name, value) -> {
                    switch (name) {
                        case "n" -> read.node = text(value);
                        case "t" -> read.started = whole(value);
                        case "p" -> read.pace = real(value);
                        case "b" -> read.backlog = real(value);
                        case "s" -> read.strain = real(value);
                        case "e" -> read.errors = real(value);
                        case "a" -> read.answers = whole(value);
                        case "q" -> read.silent = bounded(whole(value), MOST_AGE_MS);
                        case "g" -> read.age = bounded(whole(value), MOST_AGE_MS);
                        case "o" -> read.origin = text(value);
                        case "l" -> read.life = whole(value);
                        default -> {
                            return false;
                        }
                    }
                    return true;
                });
        if (read.age < 0) {
            throw new IOException("a word without an age");
        }
        return new NodeObservation(
                read.node,
                read.started,
                read.pace,
                read.backlog,
                read.strain,
                read.errors,
                (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, read.answers)),
                Duration.ofMillis(read.silent),
                now.minusMillis(read.age),
                new Origin(read.origin, read.life));
    }

    private static void member(JsonGenerator out, Member member, String by) throws IOException {
        out.writeStartObject();
        text(out, "n", member.name());
        address(out, member.address());
        number(out, "l", member.generation());
        number(out, "i", member.incarnation());
        number(out, "s", member.state().ordinal());
        if (!by.isEmpty()) {
            text(out, "b", by);
        }
        out.writeEndObject();
    }

    private static MemberUpdate news(JsonParser in) throws IOException {
        var read =
                new Object() {
                    String name = "", by = "";
                    InetSocketAddress address;
                    long life, incarnation, state = -1;
                };
        members(
                in,
                (name, value) -> {
                    switch (name) {
                        case "n" -> read.name = text(value);
                        case "a" -> read.address = address(value);
                        case "l" -> read.life = whole(value);
                        case "i" -> read.incarnation = bounded(whole(value), Long.MAX_VALUE / 2);
                        case "s" -> read.state = whole(value);
                        case "b" -> read.by = text(value);
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
            throw new IOException("a member without name, address or state");
        }
        return new MemberUpdate(
                new Member(
                        read.name,
                        read.address,
                        read.life,
                        read.incarnation,
                        Member.State.values()[(int) read.state]),
                read.by);
    }

    // ---- CBOR

    private static byte[] body(Writing writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartObject();
            writing.write(out);
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory", impossible);
        }
        return bytes.toByteArray();
    }

    private static void number(JsonGenerator out, String name, long value) throws IOException {
        out.writeNumberField(name, value);
    }

    private static void text(JsonGenerator out, String name, String value) throws IOException {
        out.writeStringField(name, value);
    }

    private static void address(JsonGenerator out, InetSocketAddress address) throws IOException {
        byte[] ip = address.getAddress().getAddress();
        byte[] bytes = new byte[ip.length + 2];
        System.arraycopy(ip, 0, bytes, 2, ip.length);
        bytes[0] = (byte) (address.getPort() >> 8);
        bytes[1] = (byte) address.getPort();
        out.writeBinaryField("a", bytes);
    }

    private static InetSocketAddress address(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IOException("an address that is not bytes");
        }
        byte[] bytes = in.getBinaryValue();
        if (bytes.length != 6 && bytes.length != 18) {
            throw new IOException("an address of " + bytes.length + " bytes");
        }
        int port = (bytes[0] & 0xff) << 8 | bytes[1] & 0xff;
        if (port == 0 || port > MOST_PORT) {
            throw new IOException("port 0");
        }
        return new InetSocketAddress(
                InetAddress.getByAddress(java.util.Arrays.copyOfRange(bytes, 2, bytes.length)),
                port);
    }

    private static void map(byte[] body, Reading reading) throws IOException {
        try (JsonParser in = CBOR.createParser(body)) {
            in.nextToken();
            members(in, reading);
            if (in.nextToken() != null) {
                throw new IOException("something follows the body");
            }
        }
    }

    private static void members(JsonParser in, Reading reading) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("no map");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (in.nextToken() == null) {
                throw new IOException("cut off");
            }
            if (!reading.read(name, in)) {
                in.skipChildren();
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("cut off");
        }
    }

    private static <T> List<T> list(JsonParser in, int most, Item<T> item) throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("no list");
        }
        List<T> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() == null || items.size() >= most) {
                throw new IOException("a list that is cut off, or of over " + most);
            }
            items.add(item.read(in));
        }
        return items;
    }

    private static long whole(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("no whole number");
        }
        return in.getLongValue();
    }

    private static double real(JsonParser in) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new IOException("no number");
        }
        return in.getDoubleValue();
    }

    private static String text(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new IOException("no text");
        }
        return in.getText();
    }

    private static long bounded(long value, long most) throws IOException {
        if (value < 0 || value > most) {
            throw new IOException("a number below 0 or over " + most);
        }
        return value;
    }
}
