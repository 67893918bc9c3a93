package cypressglade.core;

import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.Request;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The volumes of which this instance knows something, least recently asked for first. Belongs to
 * the policy's thread; times are in microseconds.
 */
final class TrackedVolumes {
    // Units a second beyond the reserve from which a volume counts as asking for more.
    private static final double MIN_EXCESS_RATE = 0.1;

    private final SchedulingPolicy policy;
    private final Map<Long, TrackedVolume> volumes = new LinkedHashMap<>(16, 0.75f, true);

    TrackedVolumes(SchedulingPolicy policy) {
        this.policy = policy;
    }

    /** The volume of a request, by its plan; known from now on. */
    TrackedVolume of(long now, Request request, Plan plan) {
        TrackedVolume volume =
                volumes.computeIfAbsent(
                        request.volume(), id -> new TrackedVolume(policy, now, request, plan));
        volume.instances = Math.max(1, request.instances());
        volume.plan = plan;
        return volume;
    }

    /** Number of volumes that are known. */
    int size() {
        return volumes.size();
    }

    /** Brings all volumes up to now, by the shares in force. */
    void refill(long now) {
        volumes.values().forEach(volume -> volume.refill(now));
    }

    /** Forgets volumes that have been idle for long. */
    void forgetIdle(long now) {
        volumes.values().removeIf(volume -> volume.canBeForgotten(now));
    }

    /** Mean over the volumes that ask for more than their reserve, by weight; units a second. */
    double meanExcessRate() {
        return volumes.values().stream()
                .filter(volume -> volume.excessRate > MIN_EXCESS_RATE)
                .mapToDouble(TrackedVolume::excessByWeight)
                .average()
                .orElse(0);
    }
}
