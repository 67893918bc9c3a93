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
 * @param talk with whom and how; nothing where this instance is alone and has its snapshots only
 * @param snapshots where they are kept; nothing where none are
 * @param mostNodes nodes that words of others are kept of
 * @param startWait how long a start waits for a peer at most
 */
public record PeersConfig(
        String name,
        Optional<Talk> talk,
        Optional<Snapshots> snapshots,
        int mostNodes,
        Duration startWait) {
    /**
     * Talk with others.
     *
     * @param advertised where others reach this instance, where that is not where it listens
     * @param refresh between two transfers
     * @param shareCold whether what all instances may send to a cold node is shared among who is
     *     there
     * @param timing of the membership
     * @param view whether the fleet's view is kept: logged at each change, and told at the
     *     operators' door
     * @param terms of what is shared of limits and verdicts; nothing where nothing is
     */
    public record Talk(
            InetSocketAddress listen,
            Optional<InetSocketAddress> advertised,
            List<InetSocketAddress> seeds,
            KeyRing keys,
            Duration refresh,
            boolean shareCold,
            SwimSettings timing,
            boolean view,
            Optional<SharingSettings> terms) {}

    /** Snapshots: the directory, how often one is written, and how old one may be to be read. */
    public record Snapshots(Path directory, Duration every, Duration mostAge) {}
}
