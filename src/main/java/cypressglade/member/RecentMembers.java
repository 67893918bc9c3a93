package cypressglade.member;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeMap;

/**
 * Counts the instances that share a common limit, and ranks this one among them. A member counts
 * until it has not been seen for the retention time: a member that this instance no longer reaches
 * may still be running on the other side of a partition, and if both sides each used the whole
 * limit, a cold node would get twice the load that it can take. Not safe for use by several
 * threads.
 */
public final class RecentMembers {
    private final String self;
    private final Duration retention;
    private final TreeMap<String, Instant> lastSeen = new TreeMap<>();

    /**
     * This instance's position among those that share a limit.
     *
     * @param rank position by name, from 0 to {@code instances - 1}
     * @param instances number of instances, this one included; at least 1
     */
    public record Share(int rank, int instances) {}

    /**
     * Starts with no member seen.
     *
     * @param self name of this instance
     * @param retention how long a member that is no longer seen still counts
     */
    public RecentMembers(String self, Duration retention) {
        this.self = self;
        this.retention = retention;
    }

    /**
     * Records which members are present now and returns this instance's share. This instance always
     * counts, whether or not it is among the members given. A member that left in order stops
     * counting at once.
     */
    public Share update(Iterable<Member> members, Instant now) {
        for (Member member : members) {
            if (member.isPresent()) {
                lastSeen.put(member.name(), now);
            } else if (member.state() == Member.State.LEFT) {
                lastSeen.remove(member.name());
            }
        }
        lastSeen.values().removeIf(at -> at.plus(retention).isBefore(now));
        lastSeen.put(self, now);
        return new Share(lastSeen.headMap(self).size(), lastSeen.size());
    }
}
