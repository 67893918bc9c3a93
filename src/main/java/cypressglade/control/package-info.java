/**
 * The local interfaces for operators: the control socket, a Unix-domain socket over which consoles
 * and commands of the same machine and user read a scheduler's status and give it orders in JSON
 * lines; and the operator port, a TCP port for one-line commands. The decisions themselves are in
 * package operate; nothing here runs on the threads of the fronts or of the engine, except for
 * reading the status, and the package does not depend on the fronts.
 */
package cypressglade.control;
