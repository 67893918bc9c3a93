package cypressglade.core;

import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.Request;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The volumes of which this instance knows something, least recently asked for first. Where their
 * number reaches its bound, one of the first few is forgotten for a new one: one whose limit is
 * full if there is any, as that would be the same if it was created anew. Where there is none, the
 * volumes that come until the forgotten one would have been full start with an empty limit, as each
 * of them may be that one. A volume with open requests is not forgotten. Belongs to the policy's
 * thread; times are in microseconds.
 */
final class TrackedVolumes {
    // Units a second beyond the reserve from which a volume counts as asking for more.
    private static final double MIN_EXCESS_RATE = 0.1;

    /** Volumes that are looked at to find one that may be forgotten for a new one. */
    private static final int MAX_LOOKS = 8;

    private final SchedulingPolicy policy;
    private final int capacity;
    private final Map<Long, TrackedVolume> volumes = new LinkedHashMap<>(16, 0.75f, true);
    private long emptyUntil = Long.MIN_VALUE; // volumes that are created before start empty

    /**
     * Creates an empty table.
     *
     * @param capacity volumes that are known at the most, besides those with open requests
     */
    TrackedVolumes(SchedulingPolicy policy, int capacity) {
        this.policy = policy;
        this.capacity = capacity;
    }

    /** The volume of a request, by its plan; known from now on. */
    TrackedVolume of(long now, Request request, Plan plan) {
        TrackedVolume volume = volumes.get(request.volume());
        if (volume == null) {
            volume = create(now, request, plan);
        }
        volume.instances = Math.max(1, request.instances());
        volume.plan = plan;
        return volume;
    }

    private TrackedVolume create(long now, Request request, Plan plan) {
        if (volumes.size() >= capacity) {
            makeRoom(now);
        }
        TrackedVolume created = new TrackedVolume(policy, now, request, plan);
        if (now < emptyUntil) {
            created.limitUnits = Math.min(0, created.limitUnits);
        }
        volumes.put(request.volume(), created);
        return created;
    }

    private void makeRoom(long now) {
        List<TrackedVolume> idle = moveBusyBehind();
        for (TrackedVolume volume : idle) {
            if (volume.fullAt(now) <= now) {
                volumes.remove(volume.id());
                return;
            }
        }
        if (!idle.isEmpty()) {
            emptyUntil = Math.max(emptyUntil, idle.get(0).fullAt(now));
            volumes.remove(idle.get(0).id());
        }
    }

    /**
     * Returns the first volumes without open requests. Those with open ones that stand before them
     * are moved to the end, so that no later call meets them again soon.
     */
    private List<TrackedVolume> moveBusyBehind() {
        List<TrackedVolume> idle = new ArrayList<>();
        List<TrackedVolume> busy = new ArrayList<>();
        Iterator<TrackedVolume> leastRecent = volumes.values().iterator();
        while (idle.size() < MAX_LOOKS && leastRecent.hasNext()) {
            TrackedVolume volume = leastRecent.next();
            (volume.pendingUnits > 0 ? busy : idle).add(volume);
        }
        busy.forEach(volume -> volumes.get(volume.id()));
        return idle;
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
