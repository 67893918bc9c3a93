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

/** Drains by hand as JSON: on the disk, and as they are shown. */
final class ManualDrainJson {
    private ManualDrainJson() {}

    static byte[] encode(List<ManualDrain> drains) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = ControlRequest.JSON.createGenerator(bytes)) {
            out.writeStartArray();
            for (ManualDrain drain : drains) {
                write(out, drain);
            }
            out.writeEndArray();
        }
        return bytes.toByteArray();
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

    static List<ManualDrain> parse(byte[] body) throws IOException {
        List<ManualDrain> drains = new ArrayList<>();
        try (JsonParser in = ControlRequest.JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("no list of drains");
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
            throw new IOException("a drain without its times", incomplete);
        }
        return drains;
    }
}
