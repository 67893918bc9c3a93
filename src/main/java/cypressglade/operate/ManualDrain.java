package cypressglade.operate;

import java.time.Instant;

/**
 * A node that an operator takes out of service.
 *
 * @param node its stable id
 * @param started the start of the run that is drained, as the list told it; a later run of the same
 *     node, and a node that takes its place under another id, are not drained
 * @param operatorName the operator, as the control socket knows him
 * @param reason in his words, may be empty
 * @param done whether nothing of this scheduler runs there any more
 */
public record ManualDrain(
        String node,
        Instant started,
        String operatorName,
        Instant orderedAt,
        String reason,
        boolean done) {
    ManualDrain asDone() {
        return new ManualDrain(node, started, operatorName, orderedAt, reason, true);
    }
}
