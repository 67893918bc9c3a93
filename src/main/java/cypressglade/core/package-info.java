/**
 * The core of the scheduler: the scheduling policy, the engine that runs it on one thread, and the
 * life of a request between a front and the storage nodes.
 *
 * <p>{@link cypressglade.core.Scheduler} has the events that the policy handles and the actions
 * that it orders; {@link cypressglade.core.SchedulingPolicy} makes the decisions. The policy reads
 * no clock, socket or file and starts no thread: the same events give the same actions.
 *
 * <p>The package must not depend on the fronts and their protocols (HTTP, NBD), on the
 * configuration files, on the commands or on the exchange between instances; of the program's other
 * packages it uses {@code storm} alone. Links to nodes come in as {@link
 * cypressglade.core.NodeLink}.
 */
package cypressglade.core;
