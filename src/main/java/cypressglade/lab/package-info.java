/**
 * The project's laboratory: emulations in virtual time, without sockets, of what the program meets at sizes
 * that no machine here holds in real time. Chance comes from one seed, so that a run gives the same figures
 * each time.
 */
package cypressglade.lab;
