package cypressglade.core;

import cypressglade.core.Scheduler.Plan;

/**
 * A volume as this head sees it: its part of the reserve and of the limit, and what it asks beyond.
 */
final class TrackedVolume {
    // A volume that was not asked for so long is forgotten.
    private static final long IDLE_US = 60_000_000;
    // Least part of a volume, in even parts of its heads.
    private static final double LEAST_PART = 0.5;
    // Part by number of heads, where no meter tells it.
    private static final double PART_POWER = -0.5;

    private final SchedulingPolicy brain;
    Plan plan;
    int heads = 1;
    private long id, refilledAt;
    long askedAt;
    double reserve, limit, pending, excess, servedHere;
    private double servedEverywhere = -1;

    TrackedVolume(SchedulingPolicy brain, long now, PendingRequest first) {
        this.brain = brain;
        id = first.request.volume();
        plan = brain.settings.plans().get(first.request.plan());
        heads = Math.max(1, first.request.instances());
        refilledAt = now;
        reserve = part() * plan.reserveRate();
        // The store fills from the start of the instance, not from the first request. It starts
        // with its part of the slack, so that what a restart spends twice stays within that.
        double filled =
                plan.limitSlack() + (now - brain.bornAt) / SchedulingPolicy.US * plan.limitRate();
        limit = Math.min(plan.limitBurst(), filled) / brain.parts.maxDivisor(heads);
    }

    double limitHeads(long now) {
        return brain.parts.volumeDivisor(now, id, heads);
    }

    /** This head's part of what the volume gets: by the meter where there is one. */
    double part() {
        return servedEverywhere <= 0 || heads <= 1
                ? Math.pow(heads, PART_POWER)
                : Math.min(1, Math.max(LEAST_PART / heads, servedHere / servedEverywhere));
    }

    void refill(long now) {
        double passed = (now - refilledAt) / SchedulingPolicy.US;
        refilledAt = now;
        double full =
                part() * plan.reserveRate()
                        + (plan.reserveRate() > 0 ? brain.settings.maxUnits() : 0);
        reserve = Math.min(full, reserve + passed * part() * plan.reserveRate());
        double among = limitHeads(now);
        limit = Math.min(plan.limitBurst() / among, limit + passed * plan.limitRate() / among);
        double kept = Math.exp(-passed * SchedulingPolicy.US / SchedulingPolicy.RATE_US);
        excess *= kept;
        servedHere *= kept;
    }

    double excessByWeight() {
        return excess / Math.max(plan.weight(), Double.MIN_NORMAL);
    }

    /**
     * Brings it up to now. Idle for long and with a full store of the limit it would come back
     * alike.
     */
    boolean forgotten(long now) {
        return limitWait(now, plan.limitBurst() / limitHeads(now)) <= 0
                && pending <= 0
                && now - askedAt > IDLE_US;
    }

    void meter(int percent) {
        double rate = percent / 100.0 * plan.baseRate();
        double known = servedEverywhere < 0 ? rate : servedEverywhere;
        servedEverywhere = known + SchedulingPolicy.SMOOTHING * (rate - known);
    }

    /** How long until the store of the limit holds so many units. */
    double limitWait(long now, double units) {
        refill(now);
        return plan.limitRate() <= 0
                ? 0
                : (units - limit) * limitHeads(now) / plan.limitRate() * SchedulingPolicy.US;
    }
}
