/** Small states on disk, whole or not at all, two generations of each. */
package cypressglade.snapshot;
