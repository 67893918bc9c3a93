package cypressglade.core;

import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.Request;

/**
 * What this instance knows of a volume: its shares of the volume's reserve and limit, and the
 * demand beyond the reserve. Belongs to the policy's thread; amounts are in units, rates in units a
 * second.
 */
final class TrackedVolume {
    // A volume without requests for this long may be removed.
    private static final long MAX_IDLE_MICROS = 60_000_000;
    // Minimum share of a volume, as a fraction of an even share.
    private static final double MIN_EVEN_SHARE_RATIO = 0.5;
    // Exponent of the number of instances in the share of a volume whose use is not reported.
    private static final double SHARE_EXPONENT = -0.5;

    private final SchedulingPolicy policy;
    Plan plan;
    int instances = 1;
    private final long id;
    private long refilledAt;
    long lastRequestAt;
    double reserveUnits, limitUnits, pendingUnits, excessRate, servedHereRate;
    private double servedEverywhereRate = -1;

    TrackedVolume(SchedulingPolicy policy, long now, Request first, Plan plan) {
        this.policy = policy;
        this.plan = plan;
        id = first.volume();
        instances = Math.max(1, first.instances());
        refilledAt = now;
        reserveUnits = share() * plan.reserveRate();
        // The token bucket fills from the start of the instance, not from the first request. It
        // starts with the share of the slack, so that what a restart spends twice stays within it.
        double filled =
                plan.limitSlack()
                        + (now - policy.createdAt)
                                / SchedulingPolicy.MICROS_PER_SECOND
                                * plan.limitRate();
        limitUnits = Math.min(plan.limitBurst(), filled) / policy.limitShares.maxDivisor(instances);
    }

    long id() {
        return id;
    }

    double limitDivisor(long now) {
        return policy.limitShares.volumeDivisor(now, id, instances);
    }

    /**
     * Returns this instance's share of what the volume gets, by reported use where there is any.
     */
    double share() {
        return servedEverywhereRate <= 0 || instances <= 1
                ? Math.pow(instances, SHARE_EXPONENT)
                : Math.min(
                        1,
                        Math.max(
                                MIN_EVEN_SHARE_RATIO / instances,
                                servedHereRate / servedEverywhereRate));
    }

    void refill(long now) {
        double passed = (now - refilledAt) / SchedulingPolicy.MICROS_PER_SECOND;
        refilledAt = now;
        double full =
                share() * plan.reserveRate()
                        + (plan.reserveRate() > 0 ? policy.settings.maxUnits() : 0);
        reserveUnits = Math.min(full, reserveUnits + passed * share() * plan.reserveRate());
        double divisor = limitDivisor(now);
        limitUnits =
                Math.min(
                        plan.limitBurst() / divisor,
                        limitUnits + passed * plan.limitRate() / divisor);
        double kept =
                Math.exp(
                        -passed
                                * SchedulingPolicy.MICROS_PER_SECOND
                                / SchedulingPolicy.RATE_MEMORY_MICROS);
        excessRate *= kept;
        servedHereRate *= kept;
    }

    double excessByWeight() {
        return excessRate / Math.max(plan.weight(), Double.MIN_NORMAL);
    }

    /**
     * Brings the volume up to now. One that is idle for long and may use its whole burst would be
     * the same if it was created anew.
     */
    boolean canBeForgotten(long now) {
        return fullAt(now) <= now && pendingUnits <= 0 && now - lastRequestAt > MAX_IDLE_MICROS;
    }

    /** Brings the volume up to now; returns when it may use its whole burst if it stays idle. */
    long fullAt(long now) {
        return now + (long) Math.ceil(limitWait(now, plan.limitBurst() / limitDivisor(now)));
    }

    void learnServedRate(int percent) {
        double rate = percent / 100.0 * plan.baseRate();
        double known = servedEverywhereRate < 0 ? rate : servedEverywhereRate;
        servedEverywhereRate = known + SchedulingPolicy.MIN_FAST_WEIGHT * (rate - known);
    }

    /** Returns how long until the limit allows so many units; 0 or less: now. */
    double limitWait(long now, double units) {
        refill(now);
        return plan.limitRate() <= 0
                ? 0
                : (units - limitUnits)
                        * limitDivisor(now)
                        / plan.limitRate()
                        * SchedulingPolicy.MICROS_PER_SECOND;
    }
}
