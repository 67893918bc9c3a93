package cypressglade.peer;

import cypressglade.member.SwimSettings;
import cypressglade.share.SharingSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings of {@code deploy/peers.json}.
 *
 * @param name name of this instance, the same after a restart
 * @param network how to reach other instances; empty if this instance runs alone and only has its
 *     snapshots
 * @param snapshots where and how often snapshots are kept; empty if none are
 * @param maxNodes maximum number of nodes for which observations of others are kept
 * @param maxStartWait how long a start waits for a peer at most
 */
public record PeersConfig(
        String name,
        Optional<Network> network,
        Optional<Snapshots> snapshots,
        int maxNodes,
        Duration maxStartWait) {
    /**
     * Communication with other instances.
     *
     * @param listenAddress where this instance listens, TCP and UDP
     * @param advertisedAddress where others reach this instance; empty if at the listen address
     * @param seeds addresses of instances to contact at the start
     * @param keys keys that sign and verify all messages
     * @param refreshInterval time between two transfers
     * @param sharesColdNodeLimits whether the limit of a cold node is divided among the present
     *     instances
     * @param swimSettings settings of the membership protocol
     * @param keepsFleetView whether to keep a view of the fleet, which is logged at each change and
     *     shown on the operator port
     * @param sharingSettings settings of shared limits and verdicts; empty if none are shared
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

    /**
     * Snapshots of observations and verdicts.
     *
     * @param directory where they are kept
     * @param interval time between two writes of the observations; verdicts are written when they
     *     change
     * @param maxAge age from which a snapshot of observations is ignored at the start
     */
    public record Snapshots(Path directory, Duration interval, Duration maxAge) {}
}
