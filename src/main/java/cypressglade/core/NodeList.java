package cypressglade.core;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;

/** The node list, or a change to it, as discovery told it. */
public record NodeList(long version, boolean full, List<Entry> entries) {
    /**
     * One node; the start is the epoch where it was long ago. One that is gone needs no address.
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
