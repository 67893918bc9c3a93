package cypressglade.operate;

import java.time.Instant;

/**
 * A node that an operator takes out of service.
 *
 * @param node its stable id
 * @param started the start of the run that is drained, as the list told it; a later run of the same
 *     node, and a node that takes its place under another id, are not drained
 * @param who the operator, as the control socket knows him
 * @param why in his words, may be empty
 * @param done whether nothing of this scheduler runs there any more
 */
public record HandDrain(
        String node, Instant started, String who, Instant when, String why, boolean done) {
    HandDrain ended() {
        return new HandDrain(node, started, who, when, why, true);
    }
}
