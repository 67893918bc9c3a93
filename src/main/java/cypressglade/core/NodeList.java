package cypressglade.core;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;

/**
 * The node list, or a change to it, as discovery reported it.
 *
 * @param version discovery's version of the list after this report
 * @param full true where {@code entries} is the whole list, false where it is a change to it
 * @param entries the nodes of the list, or those that changed
 */
public record NodeList(long version, boolean full, List<Entry> entries) {
    /**
     * One node of the list.
     *
     * @param id stable id of the node
     * @param address where it serves requests; null is allowed where the node is gone
     * @param zone failure zone
     * @param kind kind of node, as the settings number them
     * @param shard shard that the node holds
     * @param state whether it may get new requests
     * @param weight its size relative to other nodes
     * @param started when its process started, by the wall clock; the epoch where that was long ago
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            int zone,
            int kind,
            int shard,
            Scheduler.State state,
            float weight,
            Instant started) {}
}
