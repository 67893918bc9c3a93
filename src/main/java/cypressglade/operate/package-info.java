/**
 * The state behind operators' commands: the status of a running scheduler, its event log, manual
 * drains and bans over the announced node lists, the commands of the operator port, and the process
 * count during an upgrade. Nothing here does I/O or reads the clock, and nothing depends on the
 * sockets of package control.
 */
package cypressglade.operate;
