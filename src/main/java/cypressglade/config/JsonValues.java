package cypressglade.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One pass of the streaming parser over a document, into values by path: {@code a.b} for a member,
 * {@code a.0} for an item, {@code a.count} for the length of a list of objects; a list of plain
 * values is joined with commas, as the simulator's first message has it.
 */
final class JsonValues {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, String> values = new HashMap<>();

    private JsonValues() {}

    /** Reads a whole document; {@code what} names it in the message of a failure. */
    static Map<String, String> read(String what, byte[] text, int from, int length)
            throws ConfigException {
        JsonValues reader = new JsonValues();
        try (JsonParser parser = JSON.createParser(text, from, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException(what + ": not a JSON object");
            }
            reader.members(parser, "");
            if (parser.nextToken() != null) {
                throw new ConfigException(what + ": something follows the JSON object");
            }
        } catch (IOException broken) {
            throw new ConfigException(
                    what + ": " + broken.getMessage().lines().findFirst().orElse("broken"));
        }
        return reader.values;
    }

    private void members(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = path + parser.currentName();
            value(parser, parser.nextToken(), name);
        }
    }

    private void value(JsonParser parser, JsonToken token, String path) throws IOException {
        if (token == JsonToken.START_OBJECT) {
            members(parser, path + ".");
        } else if (token == JsonToken.START_ARRAY) {
            items(parser, path);
        } else if (token != JsonToken.VALUE_NULL) {
            values.put(path, parser.getText());
        }
    }

    private void items(JsonParser parser, String path) throws IOException {
        List<String> plain = new ArrayList<>();
        int count = 0;
        for (JsonToken token = parser.nextToken();
                token != JsonToken.END_ARRAY;
                token = parser.nextToken()) {
            if (token.isScalarValue()) {
                plain.add(parser.getText());
            } else {
                value(parser, token, path + "." + count);
            }
            count++;
        }
        values.put(path, String.join(",", plain));
        values.put(path + ".count", Integer.toString(count));
    }
}
