package cypressglade.nbd;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What {@code deploy/nbd.json} says of this front. */
public record NbdConfig(
        InetSocketAddress listen,
        int readClass,
        int writeClass,
        int unitBytes,
        int hosts,
        List<Export> exports,
        Map<String, InetSocketAddress> nodes) {

    /** A block device that clients see. Its extents cover it from 0 to its size, in order. */
    public record Export(String name, long volume, int plan, long size, List<Extent> extents) {
        /** The extent that holds an offset inside the export. */
        Extent at(long offset) {
            return extents.stream()
                    .filter(extent -> offset < extent.end())
                    .findFirst()
                    .orElseThrow();
        }
    }

    /** Bytes up to {@code end} lie in a shard. */
    public record Extent(long end, int shard) {}

    Optional<Export> export(String name) {
        return exports.stream().filter(export -> export.name().equals(name)).findFirst();
    }
}
