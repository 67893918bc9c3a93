package cypressglade.member;

/**
 * A change of a member's state, passed on by gossip.
 *
 * @param member the member in its new state
 * @param reportedBy name of the member that found the change out itself, by which independent
 *     suspicions of one member are counted; empty where that is not known, as in a whole member
 *     list: passing a suspicion on does not confirm it
 */
public record MemberUpdate(Member member, String reportedBy) {}
