/**
 * Speaks the simulator's binary protocol on standard input and output: decodes event frames, passes
 * the events to the schedulers, and encodes their actions as reply frames. Depends on the settings
 * and the scheduler, and on neither the fronts nor the operator port.
 */
package cypressglade.adapter;
