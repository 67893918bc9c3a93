package cypressglade.member;

/** A change that is passed on; {@code by} is who says so, which counts for a suspicion. */
public record News(Member member, String by) { }
