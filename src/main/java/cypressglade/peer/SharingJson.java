package cypressglade.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cypressglade.share.Allocation;
import cypressglade.share.SharingProtocol;
import cypressglade.share.Verdicts.Verdict;
import java.time.Instant;
import java.util.TreeMap;

/** Shared limits and verdicts as JSON, for the log and for the operator port. */
final class SharingJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SharingJson() {}

    /** Adds the current shares of the limits, and the verdicts, to the fleet view. */
    static void addTo(ObjectNode view, SharingProtocol<?> shared) {
        Allocation allocation = shared.allocation();
        ObjectNode limits =
                view.putObject("limits")
                        .put("window", allocation.window())
                        .put("agreed_among", allocation.agreedMembers())
                        .put("rest", allocation.otherVolumesShare())
                        .put("turned_away", shared.rejected());
        ObjectNode shares = limits.putObject("parts");
        new TreeMap<>(allocation.shares()).forEach(shares::put);
        ArrayNode verdicts = view.putArray("verdicts");
        shared.verdicts().forEach(verdict -> verdicts.add(entry(verdict)));
    }

    /** The log line for a verdict that was issued here or accepted from another member. */
    static String verdictLine(String self, String event, Verdict verdict, Instant now) {
        ObjectNode line =
                JSON.createObjectNode()
                        .put("fleet", event)
                        .put("self", self)
                        .put("at_ms", now.toEpochMilli());
        line.set("verdict", entry(verdict));
        return line.toString();
    }

    private static ObjectNode entry(Verdict verdict) {
        return JSON.createObjectNode()
                .put("subject", verdict.subject())
                .put("word", verdict.action())
                .put("by", verdict.issuer())
                .put("at_ms", verdict.issuedAt().toEpochMilli());
    }
}
