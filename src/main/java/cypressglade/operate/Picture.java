package cypressglade.operate;

import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler;
import java.time.Instant;
import java.util.List;

/** What a scheduler looked like at one time; never changes after. */
public record Picture(
        Instant at,
        List<NodeStatus> nodes,
        List<String> classes,
        Scheduler.QueueView load,
        List<HandDrain> drains) {}
