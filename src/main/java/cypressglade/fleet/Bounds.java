package cypressglade.fleet;

import cypressglade.member.LocalHealth;
import cypressglade.member.SwimSettings;
import java.time.Duration;

/**
 * Upper bounds of the times in which the fleet's views converge, and of the traffic, calculated
 * from the protocol's settings; {@code docs/fleet-view.md} gives the reasons. They hold for
 * messages that arrive or are lost independently, and for processes that run: on a machine so busy
 * that processes stand still for whole periods, those periods come on top.
 *
 * @param timing the protocol's settings
 * @param members of the fleet, this one included, at least 1
 */
public record Bounds(SwimSettings timing, int members) {
    /**
     * By what fraction results of real processes may lie outside of the model's range; {@code
     * docs/fleet-view.md} says why.
     */
    public static final double MODEL_TOLERANCE_FRACTION = 0.5;

    /**
     * Datagrams for one helper of an indirect probe: the request, its ping, the ack, and its
     * answer.
     */
    private static final int DATAGRAMS_PER_HELPER = 4;

    private static final int PINGS_PER_PROBE = 3;

    /** Two messages a period, each with 8 updates. */
    private static final int UPDATES_PER_PERIOD = 16;

    /**
     * Time from a crash until every live member holds the crashed one dead: a period until a member
     * pings it, a period until that probe has failed, the suspicion timeout without confirmation by
     * others, and twice the time of one dissemination.
     */
    public Duration detectionTime() {
        return timing.period()
                .multipliedBy(2L + 2L * rounds())
                .plus(timing.suspicionTimeout(members, 0));
    }

    /**
     * Time from a network split until each side holds all members of the other side dead. The
     * probes of a side reach every lost member within one round of its probe order or, if many
     * members probe, within the random draws that it takes to meet all of them (coupon collector);
     * each probe may take as long as at a member with the worst local health. Then the time as for
     * one crash follows.
     *
     * @param side number of members on the probing side
     */
    public Duration splitDetectionTime(int side) {
        double probes =
                Math.min(members - 1.0, (2 + Math.log(members)) * members / Math.max(1, side));
        return timing.period()
                .multipliedBy((long) Math.ceil((LocalHealth.MAX_SCORE + 1) * probes))
                .plus(detectionTime());
    }

    /**
     * Time from the end of a split until all members have one view: a reconnect attempt to a lost
     * member, its answer and the exchange of complete member lists, dissemination of the suspicion
     * to the suspected member, and of its refutation to all. Each dissemination takes twice the
     * rounds if one side is large, because half of the messages go to members that already know.
     * Each member has to learn the new incarnation of every other one: as many updates as members,
     * of which two messages a period carry 8 each.
     */
    public Duration healTime() {
        long updatePeriods = (members + UPDATES_PER_PERIOD - 1) / UPDATES_PER_PERIOD;
        return timing.reconnectInterval()
                .plus(timing.ackTimeout().multipliedBy(2))
                .plus(timing.period().multipliedBy(1L + 4L * rounds() + updatePeriods));
    }

    /**
     * Upper bound of the mean number of datagrams that a member sends in a period: its ping and the
     * acks of the pings that it receives, a second and a third ping if the ones before or their
     * acks were lost, and then the datagrams of its helpers.
     *
     * @param loss fraction of datagrams lost in each direction, 0 to 1
     * @param absent fraction of probes that go to a member that does not answer at all, 0 to 1
     */
    public double messagesPerPeriod(double loss, double absent) {
        double delivered = 1 - loss;
        double second = 1 - delivered * delivered;
        double third = second * second;
        double answered =
                (1 + delivered) * (1 + second + third)
                        + third * timing.indirectProbers() * DATAGRAMS_PER_HELPER;
        return (1 - absent) * answered
                + absent
                        * (PINGS_PER_PROBE
                                + delivered
                                + timing.indirectProbers() * DATAGRAMS_PER_HELPER);
    }

    /** Rounds of gossip that one dissemination takes. */
    private int rounds() {
        return SwimSettings.gossipRounds(members);
    }
}
