package cypressglade.storm;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Locale;

/** What is seen of storms, as lines of JSON for the log. */
public final class StormLines {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StormLines() {}

    /** A place came into another state. */
    public static String turned(String place, Weather.State state, Instant now) {
        ObjectNode line =
                JSON.createObjectNode()
                        .put("storm", place)
                        .put("state", state.name().toLowerCase(Locale.ROOT))
                        .put("at_ms", now.toEpochMilli());
        return line.toString();
    }
}
