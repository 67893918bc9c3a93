package cypressglade.operate;

import java.time.Instant;

/**
 * A storage node that an operator takes out of service.
 *
 * @param node the node's stable id
 * @param started the start of the drained run, as the node list gives it; a later run of the same
 *     node, and a node that replaces it under another id, are not drained
 * @param operatorName the operator, as named over the control socket, or the member that announced
 *     the drain; may be empty
 * @param orderedAt the time of the order
 * @param reason the operator's reason; may be empty
 * @param done whether this scheduler has nothing queued or in flight there any more
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
