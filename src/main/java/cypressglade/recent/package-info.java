/**
 * Bounded memory of what is over: tables of primitive entries that cost a fixed number of bytes and
 * drop the oldest entry for a new one. No I/O, no clock, no dependencies.
 */
package cypressglade.recent;
