/**
 * What operators see and may order: the picture of a running scheduler, its events, and drains by
 * hand over what the sources of the node list tell. Decides only: time comes in as an argument,
 * nothing here does I/O.
 */
package cypressglade.operate;
