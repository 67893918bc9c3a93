package cypressglade.control;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import cypressglade.operate.ManualDrain;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Manual drains as JSON, in the snapshot file and in answers over the control socket. */
final class ManualDrainJson {
    private ManualDrainJson() {}

    /** The content of the snapshot file: an array of the drains. */
    static byte[] encode(List<ManualDrain> drains) throws IOException {
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        try (JsonGenerator out = ControlRequest.JSON.createGenerator(encoded)) {
            out.writeStartArray();
            for (ManualDrain drain : drains) {
                write(out, drain);
            }
            out.writeEndArray();
        }
        return encoded.toByteArray();
    }

    static void write(JsonGenerator out, ManualDrain drain) throws IOException {
        out.writeStartObject();
        out.writeStringField("node", drain.node());
        out.writeStringField("started", drain.started().toString());
        out.writeStringField("who", drain.operatorName());
        out.writeStringField("when", drain.orderedAt().toString());
        out.writeStringField("why", drain.reason());
        out.writeBooleanField("done", drain.done());
        out.writeEndObject();
    }

    /**
     * Parses the content of the snapshot file.
     *
     * @throws IOException if it is not an array of drains with their times
     */
    static List<ManualDrain> parse(byte[] body) throws IOException {
        List<ManualDrain> drains = new ArrayList<>();
        try (JsonParser in = ControlRequest.JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("not an array of drains");
            }
            while (in.nextToken() == JsonToken.START_OBJECT) {
                Map<String, String> fields = ControlRequest.readFields(in);
                drains.add(
                        new ManualDrain(
                                fields.getOrDefault("node", ""),
                                Instant.parse(fields.get("started")),
                                fields.getOrDefault("who", ""),
                                Instant.parse(fields.get("when")),
                                fields.getOrDefault("why", ""),
                                Boolean.parseBoolean(fields.get("done"))));
            }
        } catch (DateTimeException | NullPointerException incomplete) {
            throw new IOException("a drain lacks a time, or has an invalid one", incomplete);
        }
        return drains;
    }
}
