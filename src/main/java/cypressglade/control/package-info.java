/**
 * The control socket: a Unix-domain socket over which operators' commands and consoles of the same
 * machine and user see a scheduler and give it orders, in JSON lines.
 */
package cypressglade.control;
