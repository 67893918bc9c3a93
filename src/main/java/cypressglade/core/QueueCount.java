package cypressglade.core;

import cypressglade.core.Scheduler.ClassQueue;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Counts the requests that wait, by their class. */
final class QueueCount {
    private QueueCount() {}

    /** The queues of the named classes, in their order, and of further ones that have requests. */
    static List<ClassQueue> byClass(
            long now, List<String> classNames, Stream<PendingRequest> waiting) {
        Map<String, ClassQueue> queues = new LinkedHashMap<>();
        classNames.forEach(name -> queues.put(name, new ClassQueue(name, 0, 0)));
        waiting.forEach(
                pending ->
                        queues.compute(
                                pending.requestClass.name(),
                                (name, queue) ->
                                        (queue == null ? new ClassQueue(name, 0, 0) : queue)
                                                .withRequest(now - pending.arrivedAt)));
        return List.copyOf(queues.values());
    }
}
