package cypressglade.core;

/**
 * A node of the node list together with the scheduling policy's state of it.
 *
 * @param node the node's entry in the directory
 * @param view what the scheduling policy knows of it
 */
public record NodeStatus(NodeDirectory.ListedNode node, Scheduler.NodeView view) {}
