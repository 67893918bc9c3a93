package cypressglade.learn;

/**
 * The instance that made an observation from answers that it received itself.
 *
 * @param name of the instance, the same after a restart
 * @param generation random number drawn at each start of the instance. An observation that comes
 *     back with the present generation is an echo of this instance's own; one of an earlier
 *     generation counts like that of another instance.
 */
public record Origin(String name, long generation) {}
