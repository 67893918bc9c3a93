/**
 * Detects and damps storms of client retries, and smooths waves of new connections, when more
 * arrives than this program can read and answer.
 *
 * <p>The package only decides: measurements, time and randomness come in as arguments, nothing here
 * does I/O, and it depends on no other package of this program. The methods and their reasons are
 * described in {@code docs/storms.md}.
 */
package cypressglade.storm;
