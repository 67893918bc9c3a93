package cypressglade.member;

import java.net.InetSocketAddress;

/**
 * An instance as somebody sees it.
 *
 * @param generation drawn by chance at each of its starts
 * @param incarnation grows only by the instance's own word, to overrule what others say of it
 *     (SWIM, 4.2)
 */
public record Member(
        String name, InetSocketAddress address, long generation, long incarnation, State state) {
    /** In the order in which one overrules another within an incarnation. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Whether it counts as running. */
    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, generation, incarnation, next);
    }

    Member aliveWithIncarnation(long next) {
        return new Member(name, address, generation, next, State.ALIVE);
    }

    /** Whether this is later word than that on the same name. */
    boolean overrides(Member that) {
        return incarnation != that.incarnation
                ? incarnation > that.incarnation
                : state.compareTo(that.state) > 0;
    }
}
