package cypressglade.member;

/**
 * A change that is passed on.
 *
 * @param by who found out, which counts where several suspect the same; empty where that is not
 *     known, as in a whole list: who passes a suspicion on has not tried for itself
 */
public record News(Member member, String by) {}
