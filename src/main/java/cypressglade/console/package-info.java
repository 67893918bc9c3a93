/**
 * The full-screen terminal console. {@code View} is one status frame of the scheduler, {@code
 * ConsoleModel} keeps what the operator has selected and handles keys, and {@code Screen} lays out
 * the lines; these three must not depend on a terminal. {@code Console} connects them to the
 * terminal and to the control socket.
 */
package cypressglade.console;
