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
 * A question or an order: one flat object of texts, numbers and truth values, on one line. {@code
 * v} is the version, {@code do} what is wanted, {@code id} comes back with the answer; others are
 * for what is wanted.
 */
record ControlRequest(String id, String action, Map<String, String> fields) {
    static final int VERSION = 1;
    private static final int MOST_TEXT = 4096;
    private static final int MOST_FIELDS = 16;
    static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(2)
                                    .maxStringLength(MOST_TEXT)
                                    .maxNameLength(MOST_TEXT)
                                    .build())
                    .build();

    /** What one line is answered with. */
    interface BodyWriter {
        void write(JsonGenerator out) throws IOException;
    }

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

    /** The members of the object that the parser has just begun: plain values, by name. */
    static Map<String, String> readFields(JsonParser in) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (!in.nextToken().isScalarValue() || fields.size() >= MOST_FIELDS) {
                throw new IOException("\"" + name + "\" is no plain value, or one too many");
            }
            fields.put(name, in.getText());
        }
        return fields;
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** The line of an answer. */
    static byte[] answerLine(String id, ControlRequest.BodyWriter result) {
        return line(
                out -> {
                    out.writeStringField("id", id);
                    out.writeBooleanField("ok", true);
                    result.write(out);
                });
    }

    /** The line of a refusal; says what is wrong and what to do next. */
    static byte[] errorLine(String id, String error, String remedy) {
        return line(
                out -> {
                    out.writeStringField("id", id);
                    out.writeBooleanField("ok", false);
                    out.writeStringField("error", error);
                    out.writeStringField("remedy", remedy);
                });
    }

    private static byte[] line(ControlRequest.BodyWriter result) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("v", VERSION);
            result.write(out);
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory", impossible);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }
}
