/**
 * The command line, and the scheduler that it runs: {@link cypressglade.cli.Serve} starts, reloads
 * and stops its parts, and the other classes handle signals, the operator port, and what is kept on
 * disk from one process to the next.
 */
package cypressglade.cli;
