package cypressglade.learn;

import cypressglade.core.Scheduler.Hint;
import java.time.Instant;
import java.util.Set;

/**
 * What the module is to be told of a node, by its id.
 *
 * @param newest when the newest of the words that it rests on was found
 * @param origins whose words it rests on
 */
public record Taught(
        String node,
        double paceUs,
        double backlogUs,
        double strain,
        double errors,
        boolean silent,
        long startedUs,
        Instant newest,
        Set<Origin> origins) {

    /** The module's form of it, for the number that it knows the node by. */
    public Hint hint(long number) {
        return new Hint(number, paceUs, backlogUs, strain, errors, silent, startedUs);
    }
}
