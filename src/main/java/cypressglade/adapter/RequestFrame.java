package cypressglade.adapter;

import cypressglade.core.Scheduler.Request;
import cypressglade.core.Scheduler.Settings;

/**
 * A request as the wire has it; the fields are those of {@link Request}, but for two.
 *
 * @param requestClass index into {@link Settings#classes}
 * @param plan index into {@link Settings#plans}
 */
record RequestFrame(
        long id,
        int shard,
        int requestClass,
        int plan,
        int instances,
        boolean retry,
        boolean write,
        long volume,
        long key,
        float units,
        long remainingUs) {

    /** The scheduler's form of the request, under the settings of its instance. */
    Request toRequest(Settings settings) {
        return new Request(
                id,
                shard,
                settings.rules(requestClass, plan),
                instances,
                retry,
                write,
                volume,
                key,
                units,
                remainingUs);
    }
}
