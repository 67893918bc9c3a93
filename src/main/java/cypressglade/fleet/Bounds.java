package cypressglade.fleet;

import cypressglade.member.LocalHealth;
import cypressglade.member.Timing;
import java.time.Duration;

/**
 * The bounds that the fleet's view keeps, by arithmetic from the figures that the protocol runs by;
 * the reasons are in {@code docs/fleet-view.md}. All hold for messages that arrive, or are lost one
 * by one, and for processes that run; a machine so busy that processes stand still for periods adds
 * those.
 *
 * @param timing the protocol's figures
 * @param members of the fleet, this one included
 */
public record Bounds(Timing timing, int members) {
    /** Of the whole, by how much the real rig and the model may differ; the page says why. */
    public static final double AGREE = 0.5;

    /** Datagrams that a helper costs: the asking, its ping, the ack, and its own answer. */
    private static final int OF_A_HELPER = 4;

    private static final int PINGS = 3;
    private static final int NEWS_A_PERIOD = 16;

    /**
     * From a crash to every live member holding the dead one for dead: a period until somebody
     * pings it and one until that probe has failed, the suspicion that nobody shares, and the news'
     * way there twice.
     */
    public Duration detectionTime() {
        return timing.period().multipliedBy(2L + 2L * rounds()).plus(timing.suspicion(members, 0));
    }

    /**
     * From a split to each side holding all of the other dead: the probes of a side of {@code side}
     * members, each as late as a slow member's, come to every one that is lost within its round or,
     * where many probe, within the draws that it takes to meet them all; then as for one that
     * crashed.
     */
    public Duration splitDetectionTime(int side) {
        double probes =
                Math.min(members - 1.0, (2 + Math.log(members)) * members / Math.max(1, side));
        return timing.period()
                .multipliedBy((long) Math.ceil((LocalHealth.MOST + 1) * probes))
                .plus(detectionTime());
    }

    /**
     * From a heal to one view: a knock at one that was lost, its answer and the exchange of whole
     * lists, the doubt's way to whom it is about, and the way of that one's own word to all. Each
     * way takes twice the rounds where one side is large: half of the messages go to who knows
     * already. Each member has to hear the new incarnation of every other: so many pieces of news,
     * of which two messages a period bring 8 each.
     */
    public Duration healTime() {
        long news = (members + NEWS_A_PERIOD - 1) / NEWS_A_PERIOD;
        return timing.reconnect()
                .plus(timing.answer().multipliedBy(2))
                .plus(timing.period().multipliedBy(1L + 4L * rounds() + news));
    }

    /**
     * Datagrams that a member sends in a period at most, in the mean: its ping and the acks of
     * those that came to it, a second and a third ping where the ones before or their acks were
     * lost, and then its helpers'.
     *
     * @param loss of each way
     * @param absent share of probes that go to a member that does not answer at all
     */
    public double messagesPerPeriod(double loss, double absent) {
        double way = 1 - loss;
        double second = 1 - way * way;
        double third = second * second;
        double answered = (1 + way) * (1 + second + third) + third * timing.helpers() * OF_A_HELPER;
        return (1 - absent) * answered + absent * (PINGS + way + timing.helpers() * OF_A_HELPER);
    }

    private int rounds() {
        return Timing.log(members);
    }
}
