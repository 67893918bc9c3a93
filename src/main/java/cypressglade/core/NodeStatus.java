package cypressglade.core;

/** A node of the list, and what the module makes of it. */
public record NodeStatus(NodeDirectory.ListedNode node, Scheduler.NodeView view) {}
