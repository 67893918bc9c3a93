package cypressglade.member;

/**
 * A change that is passed on.
 *
 * @param reportedBy who found out, which counts where several suspect the same; empty where that is
 *     not known, as in a whole list: who passes a suspicion on has not tried for itself
 */
public record MemberUpdate(Member member, String reportedBy) {}
