package cypressglade.cli;

import cypressglade.control.ControlConfig;
import cypressglade.nbd.NbdConfig;
import cypressglade.peer.PeersConfig;
import cypressglade.storm.StormSettings;
import java.util.Optional;

/** What the operator's own files say; each part is off where its file is not there or says so. */
public record OperatorFiles(
        Optional<NbdConfig> nbd,
        Optional<PeersConfig> peers,
        Optional<ControlConfig> control,
        Optional<StormSettings> storms) {
    /** As on the platform. */
    public static final OperatorFiles NONE =
            new OperatorFiles(
                    Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

    /** The same without storms. */
    public OperatorFiles(
            Optional<NbdConfig> nbd, Optional<PeersConfig> peers, Optional<ControlConfig> control) {
        this(nbd, peers, control, Optional.empty());
    }
}
