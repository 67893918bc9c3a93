package cypressglade.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cypressglade.share.Allocation;
import cypressglade.share.SharingProtocol;
import cypressglade.share.Verdicts.Verdict;
import java.time.Instant;
import java.util.TreeMap;

/** What is shared, as JSON for the log and for the operators' door. */
final class SharedLines {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SharedLines() {}

    /** Adds the parts that hold now, and the verdicts, to the whole view. */
    static void add(ObjectNode whole, SharingProtocol<?> shared) {
        Allocation grant = shared.allocation();
        ObjectNode limits =
                whole.putObject("limits")
                        .put("window", grant.window())
                        .put("agreed_among", grant.agreedMembers())
                        .put("rest", grant.otherVolumeShare())
                        .put("turned_away", shared.rejected());
        ObjectNode parts = limits.putObject("parts");
        new TreeMap<>(grant.shares()).forEach(parts::put);
        ArrayNode verdicts = whole.putArray("verdicts");
        shared.verdicts().forEach(verdict -> verdicts.add(entry(verdict)));
    }

    /** One line for a verdict that was given here or taken from another. */
    static String verdict(String self, String what, Verdict verdict, Instant now) {
        ObjectNode line =
                JSON.createObjectNode()
                        .put("fleet", what)
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
