/**
 * The fleet's view of itself, on top of {@code member} (whose {@code Swim} holds Lifeguard's local
 * health: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
 * Detection", 2018): the view as one line for operators and tests, and the bounds that it keeps, by
 * arithmetic. Decides only: time comes in as an argument; nothing here does I/O.
 */
package cypressglade.fleet;
