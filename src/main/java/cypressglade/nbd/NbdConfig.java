package cypressglade.nbd;

import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration of the NBD front, as read from {@code deploy/nbd.json}.
 *
 * @param listen address on which NBD clients connect
 * @param readClass request class of reads
 * @param writeClass request class of writes and flushes
 * @param unitBytes bytes of a read or write that count as one cost unit
 * @param instances number of schedulers over which each volume's requests are spread, at least 1
 * @param exports exports that clients can open
 * @param nodes addresses of the storage nodes that speak NBD, by node id
 */
public record NbdConfig(
        InetSocketAddress listen,
        RequestClass readClass,
        RequestClass writeClass,
        int unitBytes,
        int instances,
        List<Export> exports,
        Map<String, InetSocketAddress> nodes) {

    /**
     * A block device that clients can open. Its extents cover it from 0 to its size, in order.
     *
     * @param name export name
     * @param volume number of the volume
     * @param plan plan of the volume
     * @param size length in bytes
     * @param extents extents in ascending order
     */
    public record Export(String name, long volume, Plan plan, long size, List<Extent> extents) {
        /** Returns the extent that holds an offset in bytes, which must lie inside the export. */
        Extent extentAt(long offset) {
            return extents.stream()
                    .filter(extent -> offset < extent.end())
                    .findFirst()
                    .orElseThrow();
        }
    }

    /**
     * A run of bytes that lie in one shard, from the end of the previous extent.
     *
     * @param end offset in bytes of the first byte after the extent
     * @param shard shard that holds the bytes
     */
    public record Extent(long end, int shard) {}

    Optional<Export> findExport(String name) {
        return exports.stream().filter(export -> export.name().equals(name)).findFirst();
    }
}
