package cypressglade.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request over the control socket: one flat JSON object of strings, numbers and booleans, on one
 * line. {@code v} is the protocol version, {@code do} the action, {@code id} is returned with the
 * answer; the other fields are arguments of the action.
 *
 * @param id the client's id of the request; may be empty
 * @param action the value of {@code do}, such as {@code view}
 * @param fields all fields by name, numbers and booleans as text
 */
record ControlRequest(String id, String action, Map<String, String> fields) {
    static final int VERSION = 1;
    private static final int MAX_TEXT_CHARS = 4096;
    private static final int MAX_FIELDS = 16;
    static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(2)
                                    .maxStringLength(MAX_TEXT_CHARS)
                                    .maxNameLength(MAX_TEXT_CHARS)
                                    .build())
                    .build();

    /** Writes the fields of an answer's object. */
    interface BodyWriter {
        void write(JsonGenerator out) throws IOException;
    }

    /**
     * Parses one line.
     *
     * @throws IOException if the line is not a request of this version; the message, of which the
     *     first line is for the client, says why
     */
    static ControlRequest parse(byte[] line) throws IOException {
        Map<String, String> fields;
        try (JsonParser in = JSON.createParser(line)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("a line must be one JSON object");
            }
            fields = readFields(in);
            if (in.nextToken() != null) {
                throw new IOException("something follows the object");
            }
        }
        if (!Integer.toString(VERSION).equals(fields.get("v"))) {
            throw new IOException("\"v\" must be " + VERSION + ", the version that is spoken here");
        }
        if (fields.getOrDefault("do", "").isEmpty()) {
            throw new IOException("\"do\" is missing");
        }
        return new ControlRequest(fields.getOrDefault("id", ""), fields.get("do"), fields);
    }

    /** Reads the fields of the object whose start the parser has just read: scalars, by name. */
    static Map<String, String> readFields(JsonParser in) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (!in.nextToken().isScalarValue() || fields.size() >= MAX_FIELDS) {
                throw new IOException("\"" + name + "\" is no plain value, or one too many");
            }
            fields.put(name, in.getText());
        }
        return fields;
    }

    /** A field's value; empty if the request has none of this name. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** The line of a successful answer. */
    static byte[] answerLine(String id, BodyWriter body) {
        return line(
                out -> {
                    out.writeStringField("id", id);
                    out.writeBooleanField("ok", true);
                    body.write(out);
                });
    }

    /** The line of an error answer, which says what is wrong and what to do next. */
    static byte[] errorLine(String id, String error, String remedy) {
        return line(
                out -> {
                    out.writeStringField("id", id);
                    out.writeBooleanField("ok", false);
                    out.writeStringField("error", error);
                    out.writeStringField("remedy", remedy);
                });
    }

    private static byte[] line(BodyWriter body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("v", VERSION);
            body.write(out);
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("writing JSON to memory failed", impossible);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }
}
