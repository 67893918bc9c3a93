package cypressglade.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Updates that are still to be passed on. Those sent least often go first, the newest among them
 * first, and each is sent a bounded number of times (SWIM, 4.1).
 *
 * <p>Updates taken from another member's whole list go after those that somebody found out itself.
 * Otherwise a thousand members learned from one list would delay an update that has been sent once
 * until all of them have been sent: the last of 999 members then declared a crashed one dead after
 * 52 s, with a median of 9 s.
 *
 * <p>The queue is kept sorted, so that the time to fill a message depends on the updates that it
 * takes, not on those that wait.
 */
final class GossipQueue {
    private static final Comparator<QueuedUpdate> SEND_ORDER =
            Comparator.comparing((QueuedUpdate queued) -> queued.update.reportedBy().isEmpty())
                    .thenComparingInt((QueuedUpdate queued) -> queued.transmissions)
                    .thenComparing(
                            Comparator.comparingLong((QueuedUpdate queued) -> queued.number)
                                    .reversed());

    private final Map<String, QueuedUpdate> byName = new HashMap<>();
    private final TreeSet<QueuedUpdate> queue = new TreeSet<>(SEND_ORDER);
    private long lastNumber;

    private static final class QueuedUpdate {
        private final MemberUpdate update;
        private final long number;
        private int transmissions;

        private QueuedUpdate(MemberUpdate update, long number) {
            this.update = update;
            this.number = number;
        }
    }

    /** Queues an update; it replaces a queued one of the same member. */
    void add(MemberUpdate update) {
        QueuedUpdate added = new QueuedUpdate(update, ++lastNumber);
        QueuedUpdate replaced = byName.put(update.member().name(), added);
        if (replaced != null) {
            queue.remove(replaced);
        }
        queue.add(added);
    }

    /**
     * Returns the updates for the next message and counts each as sent once more.
     *
     * @param maxUpdates updates that the message has room for
     * @param maxTransmissions after how many sends an update leaves the queue
     */
    List<MemberUpdate> next(int maxUpdates, int maxTransmissions) {
        List<QueuedUpdate> first = new ArrayList<>(maxUpdates);
        while (first.size() < maxUpdates && !queue.isEmpty()) {
            first.add(queue.pollFirst());
        }
        List<MemberUpdate> updates = new ArrayList<>(first.size());
        for (QueuedUpdate queued : first) {
            updates.add(queued.update);
            if (++queued.transmissions >= maxTransmissions) {
                byName.remove(queued.update.member().name());
            } else {
                queue.add(queued);
            }
        }
        return updates;
    }
}
