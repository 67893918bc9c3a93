/**
 * Stores small states on disk as checksummed files, each with the one before it as a spare. Knows
 * nothing of what the bodies mean, and must not depend on other packages of this program.
 */
package cypressglade.snapshot;
