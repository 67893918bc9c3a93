package cypressglade.member;

import java.net.InetSocketAddress;

/**
 * One instance of the scheduler, as a member of the group knows it.
 *
 * @param name unique in the group; the same after a restart
 * @param address where the instance receives messages
 * @param generation random number drawn at each start of the instance
 * @param incarnation SWIM's incarnation number (section 4.2); only the instance itself increases
 *     it, to override what others report of it
 * @param state the state that is reported for this incarnation
 */
public record Member(
        String name, InetSocketAddress address, long generation, long incarnation, State state) {
    /**
     * State of a member. Within one incarnation a later constant overrides an earlier one. The
     * names and their order are part of the protocol and of the log lines.
     */
    public enum State {
        /** Runs, as far as is known. */
        ALIVE,
        /** Did not answer a probe; declared dead unless it refutes the suspicion in time. */
        SUSPECT,
        /** Did not refute a suspicion in time. */
        DEAD,
        /** Announced that it leaves. */
        LEFT
    }

    /** Whether the member counts as running: alive or suspect. */
    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, generation, incarnation, next);
    }

    Member aliveWithIncarnation(long next) {
        return new Member(name, address, generation, next, State.ALIVE);
    }

    /**
     * Whether this state overrides that one of the same name: by a higher incarnation, or by a
     * later state in the same incarnation (SWIM, 4.2).
     */
    boolean overrides(Member that) {
        return incarnation != that.incarnation
                ? incarnation > that.incarnation
                : state.compareTo(that.state) > 0;
    }
}
