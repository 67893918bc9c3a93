package cypressglade.member;

import java.time.Duration;

/**
 * The settings of the membership protocol, and the figures that follow from them.
 *
 * @param period SWIM's protocol period: the time between two probes by one instance, each of
 *     another member
 * @param ackTimeout how long a direct ping waits for its ack; two pings are sent one after the
 *     other before others are asked, so it is under a third of the period
 * @param indirectProbers how many other members are asked for an indirect probe
 * @param maxMembers how many other members are known at most
 * @param reconnectInterval between two attempts to reach a dead member or a seed
 */
public record SwimSettings(
        Duration period,
        Duration ackTimeout,
        int indirectProbers,
        int maxMembers,
        Duration reconnectInterval) {
    /** Queued updates in one message, besides the sender: some 60 bytes each. */
    static final int MAX_UPDATES_PER_MESSAGE = 8;

    /** An update is sent this often, times {@link #gossipRounds}. */
    private static final int TRANSMISSIONS_PER_ROUND = 3;

    /** Protocol periods that an unconfirmed suspicion lasts, times {@link #gossipRounds}. */
    private static final int MAX_SUSPICION_PERIODS = 4;

    /**
     * The same for a suspicion with enough confirmations (Dadgar, Phillips, Currey, "Lifeguard",
     * 2018). It is at least the time in which the suspicion reaches the suspect and its refutation
     * reaches all members, about 0.6 of the logarithm each at 10% loss.
     */
    private static final int MIN_SUSPICION_PERIODS = 2;

    /** Confirmations by other members from which on a suspicion lasts the shortest time. */
    static final int MAX_CONFIRMATIONS = 3;

    /**
     * Number of members for which one more {@link #EXCHANGE_PERIODS} is put between two exchanges
     * of whole member lists, so that the cost of these lists stays constant.
     */
    private static final int EXCHANGE_STEP_MEMBERS = 16;

    private static final int EXCHANGE_PERIODS = 15;

    /** Periods that a member that left is remembered, so that old updates don't bring it back. */
    private static final int LEFT_RETENTION_PERIODS = 120;

    /** Periods that a dead member is remembered, and attempts are made to reach it again. */
    private static final int DEAD_RETENTION_PERIODS = 1800;

    /** The defaults: a period of one second. */
    public static SwimSettings defaults() {
        return withPeriod(Duration.ofSeconds(1));
    }

    /**
     * The default proportions at another period: an ack timeout of 0.3 periods, and ten periods
     * between two attempts to reconnect.
     */
    public static SwimSettings withPeriod(Duration period) {
        return new SwimSettings(
                period, period.multipliedBy(3).dividedBy(10), 3, 512, period.multipliedBy(10));
    }

    /**
     * Gossip rounds that an update needs to reach all members, {@code ⌊log₂ n⌋ + 1}: the number of
     * bits of the number of members.
     */
    public static int gossipRounds(int members) {
        return 32 - Integer.numberOfLeadingZeros(Math.max(1, members));
    }

    /** How often an update is sent by each member that passes it on (SWIM, 4.1). */
    int maxTransmissions(int members) {
        return TRANSMISSIONS_PER_ROUND * gossipRounds(members);
    }

    /**
     * How long a member stays suspect before it is declared dead: Lifeguard's suspicion timeout,
     * which falls with the logarithm of the confirmations.
     *
     * @param members number of members
     * @param confirmations members that suspect the same one, besides the first
     */
    public Duration suspicionTimeout(int members, int confirmations) {
        double max = MAX_SUSPICION_PERIODS * gossipRounds(members);
        double min = MIN_SUSPICION_PERIODS * gossipRounds(members);
        double fraction =
                Math.log(Math.max(0, Math.min(MAX_CONFIRMATIONS, confirmations)) + 1.0)
                        / Math.log(MAX_CONFIRMATIONS + 1.0);
        return Duration.ofNanos((long) ((max - fraction * (max - min)) * period.toNanos()));
    }

    /** Time between two exchanges of whole member lists with a random member. */
    public Duration exchangeInterval(int members) {
        return period.multipliedBy(EXCHANGE_PERIODS * (long) (1 + members / EXCHANGE_STEP_MEMBERS));
    }

    /** How long a member that left is remembered. */
    Duration leftRetention() {
        return period.multipliedBy(LEFT_RETENTION_PERIODS);
    }

    /** How long a dead member is remembered. */
    Duration deadRetention() {
        return period.multipliedBy(DEAD_RETENTION_PERIODS);
    }
}
