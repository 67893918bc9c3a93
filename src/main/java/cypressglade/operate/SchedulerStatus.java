package cypressglade.operate;

import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler;
import java.time.Instant;
import java.util.List;

/** What a scheduler looked like at one time; never changes after. */
public record SchedulerStatus(
        Instant at,
        List<NodeStatus> nodes,
        List<String> classes,
        Scheduler.QueueView queues,
        List<ManualDrain> drains) {}
