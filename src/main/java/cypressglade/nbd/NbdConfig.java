package cypressglade.nbd;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration of the NBD front, as read from {@code deploy/nbd.json}.
 *
 * @param listen address on which NBD clients connect
 * @param readClass request class of reads, an index into the settings' classes
 * @param writeClass request class of writes and flushes, an index into the settings' classes
 * @param unitBytes bytes of a read or write that count as one cost unit
 * @param instances number of schedulers over which each volume's requests are spread, at least 1
 * @param exports exports that clients can open
 * @param nodes addresses of the storage nodes that speak NBD, by node id
 */
public record NbdConfig(
        InetSocketAddress listen,
        int readClass,
        int writeClass,
        int unitBytes,
        int instances,
        List<Export> exports,
        Map<String, InetSocketAddress> nodes) {

    /**
     * A block device that clients can open. Its extents cover it from 0 to its size, in order.
     *
     * @param name export name
     * @param volume number of the volume
     * @param plan plan of the volume, an index into the settings' plans
     * @param size length in bytes
     * @param extents extents in ascending order
     */
    public record Export(String name, long volume, int plan, long size, List<Extent> extents) {
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
