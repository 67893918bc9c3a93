package cypressglade.core;

/** A node of the list, and what the module makes of it. */
public record NodeFact(NodeDirectory.Known known, Scheduler.NodeView view) {}
