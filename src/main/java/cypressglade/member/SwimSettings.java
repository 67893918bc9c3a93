package cypressglade.member;

import java.time.Duration;

/**
 * The figures of the protocol.
 *
 * @param period between two probes of an instance, each of another member
 * @param ackTimeout what a direct ping is waited for, twice, before others are asked; under a third
 *     of the period
 * @param indirectProbers how many others are asked
 * @param maxMembers how many are known at most
 * @param reconnectInterval between two tries to reach one that is lost, or a seed
 */
public record SwimSettings(
        Duration period,
        Duration ackTimeout,
        int indirectProbers,
        int maxMembers,
        Duration reconnectInterval) {
    /** News that one message carries, beside the sender: some 60 bytes each. */
    static final int MOST_NEWS = 8;

    /** A change is passed on so often, times the logarithm of the number of members. */
    private static final int PASS_ON = 3;

    /** A suspicion that nobody shares is held for so many periods, times that logarithm. */
    private static final int SUSPECT_MOST = 4;

    /**
     * The same for one that enough others share (Dadgar, Phillips, Currey, "Lifeguard", 2018): no
     * less than the word's way to the accused and the way of its own word to all, some 0.6 of the
     * logarithm each at 10% loss.
     */
    private static final int SUSPECT_LEAST = 2;

    static final int SHARED_BY = 3;

    /**
     * Members, in steps of which whole lists are exchanged less often, so that their cost stays
     * flat.
     */
    private static final int EXCHANGE_STEP = 16;

    private static final int EXCHANGE_PERIODS = 15;

    /** Periods that what became of a member is kept, so that old word does not bring it back. */
    private static final int KEEP_DEAD = 120;

    private static final int KEEP_LOST = 1800;

    /** As operated: a period of a second. */
    public static SwimSettings defaults() {
        return withPeriod(Duration.ofSeconds(1));
    }

    /**
     * The standard proportions at another period: 0.3 of it for a direct answer, ten between
     * knocks.
     */
    public static SwimSettings withPeriod(Duration period) {
        return new SwimSettings(
                period, period.multipliedBy(3).dividedBy(10), 3, 512, period.multipliedBy(10));
    }

    /**
     * Bits of the number of members: rounds that news needs to reach them all, {@code ⌊log₂ n⌋ +
     * 1}.
     */
    public static int gossipRounds(int members) {
        return 32 - Integer.numberOfLeadingZeros(Math.max(1, members));
    }

    int maxTransmissions(int members) {
        return PASS_ON * gossipRounds(members);
    }

    /** How long a member stays suspect, after so many others said the same. */
    public Duration suspicionTimeout(int members, int sharers) {
        double most = SUSPECT_MOST * gossipRounds(members);
        double least = SUSPECT_LEAST * gossipRounds(members);
        double part =
                Math.log(Math.max(0, Math.min(SHARED_BY, sharers)) + 1.0)
                        / Math.log(SHARED_BY + 1.0);
        return Duration.ofNanos((long) ((most - part * (most - least)) * period.toNanos()));
    }

    /** Between two exchanges of whole lists with a member drawn by chance. */
    public Duration exchangeInterval(int members) {
        return period.multipliedBy(EXCHANGE_PERIODS * (long) (1 + members / EXCHANGE_STEP));
    }

    Duration leftRetention() {
        return period.multipliedBy(KEEP_DEAD);
    }

    Duration deadRetention() {
        return period.multipliedBy(KEEP_LOST);
    }
}
