/**
 * The fleet's view of itself, built from the changes that package {@code member} reports: one
 * instance's view as lines of JSON for operators and tests, and the time and traffic bounds that
 * failure detection keeps, calculated from the protocol's settings. The protocol is SWIM with
 * Lifeguard's local health (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for
 * More Accurate Failure Detection", 2018). Contains decisions only: the time is passed in as an
 * argument, and nothing here does I/O, reads a clock or starts threads.
 */
package cypressglade.fleet;
