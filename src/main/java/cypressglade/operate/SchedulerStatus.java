package cypressglade.operate;

import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler.QueueView;
import java.time.Instant;
import java.util.List;

/**
 * An immutable, consistent view of the scheduler at one moment.
 *
 * @param at the time of the view
 * @param nodes the known nodes
 * @param queues the queued requests and the rejected ones by reason
 * @param drains the manual drains in force
 */
public record SchedulerStatus(
        Instant at, List<NodeStatus> nodes, QueueView queues, List<ManualDrain> drains) {}
