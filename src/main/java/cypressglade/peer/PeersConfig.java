package cypressglade.peer;

import cypressglade.member.SwimSettings;
import cypressglade.share.SharingSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What {@code deploy/peers.json} says.
 *
 * @param name of this instance, the same after a restart
 * @param network with whom and how; nothing where this instance is alone and has its snapshots only
 * @param snapshots where they are kept; nothing where none are
 * @param maxNodes nodes that words of others are kept of
 * @param maxStartWait how long a start waits for a peer at most
 */
public record PeersConfig(
        String name,
        Optional<PeersConfig.Network> network,
        Optional<Snapshots> snapshots,
        int maxNodes,
        Duration maxStartWait) {
    /**
     * Talk with others.
     *
     * @param advertisedAddress where others reach this instance, where that is not where it listens
     * @param refreshInterval between two transfers
     * @param sharesColdNodeLimits whether what all instances may send to a cold node is shared
     *     among who is there
     * @param swimSettings of the membership
     * @param keepsFleetView whether the fleet's view is kept: logged at each change, and told at
     *     the operators' door
     * @param sharingSettings of what is shared of limits and verdicts; nothing where nothing is
     */
    public record Network(
            InetSocketAddress listenAddress,
            Optional<InetSocketAddress> advertisedAddress,
            List<InetSocketAddress> seeds,
            KeyRing keys,
            Duration refreshInterval,
            boolean sharesColdNodeLimits,
            SwimSettings swimSettings,
            boolean keepsFleetView,
            Optional<SharingSettings> sharingSettings) {}

    /** Snapshots: the directory, how often one is written, and how old one may be to be read. */
    public record Snapshots(Path directory, Duration interval, Duration maxAge) {}
}
