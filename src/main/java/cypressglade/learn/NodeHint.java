package cypressglade.learn;

import cypressglade.core.Scheduler.Hint;
import java.time.Instant;
import java.util.Set;

/**
 * What the scheduling policy is to be told of a node, estimated from the observations of other
 * instances.
 *
 * @param nodeId stable id of the node
 * @param serviceTimePerUnitMicros microseconds per cost unit
 * @param backlogMicros microseconds that the load of other instances adds to an answer
 * @param latencyRatio answer latency as a part of the target latency
 * @param errorRatio fraction of answers that are errors, 0 to 1
 * @param silent whether nothing comes back from the node
 * @param startedMicros start of the node, in microseconds since the epoch, where it is later than
 *     the node list says; otherwise 0
 * @param newestObservedAt when the newest of the observations used was made
 * @param origins instances whose observations were used
 */
public record NodeHint(
        String nodeId,
        double serviceTimePerUnitMicros,
        double backlogMicros,
        double latencyRatio,
        double errorRatio,
        boolean silent,
        long startedMicros,
        Instant newestObservedAt,
        Set<Origin> origins) {

    /**
     * The hint in the form that the scheduling policy takes.
     *
     * @param nodeNumber the number by which the policy knows the node
     */
    public Hint toSchedulerHint(long nodeNumber) {
        return new Hint(
                nodeNumber,
                serviceTimePerUnitMicros,
                backlogMicros,
                latencyRatio,
                errorRatio,
                silent,
                startedMicros);
    }
}
