package cypressglade.member;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeMap;

/**
 * How many instances share what all together may send, and which of them this one is. Who was seen
 * within the hold counts: an instance that this one lost sight of may well be running on the far
 * side of a partition, and two halves that each took the whole would send a cold node twice what it
 * can take.
 */
public final class RecentMembers {
    private final String self;
    private final Duration hold;
    private final TreeMap<String, Instant> seen = new TreeMap<>();

    /** This one's rank among so many. */
    public record Share(int rank, int instances) {}

    public RecentMembers(String self, Duration hold) {
        this.self = self;
        this.hold = hold;
    }

    /**
     * Takes in who is there now, this one among them or not; who left in order no longer counts at
     * once.
     */
    public Share update(Iterable<Member> members, Instant now) {
        for (Member member : members) {
            if (member.isPresent()) {
                seen.put(member.name(), now);
            } else if (member.state() == Member.State.LEFT) {
                seen.remove(member.name());
            }
        }
        seen.values().removeIf(at -> at.plus(hold).isBefore(now));
        seen.put(self, now);
        return new Share(seen.headMap(self).size(), seen.size());
    }
}
