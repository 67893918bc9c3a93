/**
 * What instances tell each other of the storage nodes, and how far it is believed. Decides only:
 * time comes in as an argument, words come in as values, and nothing here reads a clock, a socket
 * or a file.
 */
package cypressglade.learn;
