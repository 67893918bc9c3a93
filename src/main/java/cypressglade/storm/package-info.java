/**
 * Storms: more comes than this program can read and answer. Decides only; what was measured comes
 * in as arguments, and nothing here does I/O. Ways and reasons: {@code docs/storms.md}.
 */
package cypressglade.storm;
