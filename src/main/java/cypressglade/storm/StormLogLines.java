package cypressglade.storm;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Locale;

/** Formats storm events as JSON lines for the log. Safe for use by several threads. */
public final class StormLogLines {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StormLogLines() {}

    /**
     * Formats a state change, such as {@code {"storm":"shard 7","state":"damping","at_ms":0}}.
     *
     * @param scope name of the node, volume or instance whose state changed
     * @param now time of the change, written as milliseconds since the epoch
     */
    public static String stateChanged(String scope, StormDetector.State state, Instant now) {
        ObjectNode line =
                JSON.createObjectNode()
                        .put("storm", scope)
                        .put("state", state.name().toLowerCase(Locale.ROOT))
                        .put("at_ms", now.toEpochMilli());
        return line.toString();
    }
}
