import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A scheduler whose NBD front is on, with four storage nodes that hold a shard each. */
final class NbdSite {
    static final int SHARD_BYTES = 1 << 20;
    static final int NODES = 4;
    final Discovery discovery;
    final List<NbdNode> nodes = new ArrayList<>();
    final int port = Trial.freePort();
    final int nbdPort = Trial.freePort();
    final Trial.Scheduler scheduler;
    private final Trial trial;

    /** Starts all; the class of writes is the only one that a case chooses. */
    NbdSite(Trial trial, String writeClass) throws Exception {
        this.trial = trial;
        discovery = new Discovery(trial);
        List<String> addresses = new ArrayList<>();
        List<String> extents = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            NbdNode node = new NbdNode(trial, id(i), NODES * SHARD_BYTES);
            nodes.add(node);
            discovery.tell(id(i), node.port, i, "active", 0);
            addresses.add("{\"id\":\"" + id(i) + "\",\"address\":\"127.0.0.1:" + node.port + "\"}");
            extents.add("{\"bytes\":" + SHARD_BYTES + ",\"shard\":" + i + "}");
        }
        Path config =
                trial.file(
                        "config.json",
                        Settings.config(
                                port,
                                discovery.port,
                                discovery.list(),
                                Settings.type("read", "read_like", 400, 2500, 2) + ","
                                        + writeClass,
                                "false,true"));
        Path nbd =
                trial.file(
                        "nbd.json",
                        "{\"enabled\":true,\"listen\":\"127.0.0.1:" + nbdPort
                                + "\",\"read_class\":\"read\",\"write_class\":\"write\","
                                + "\"unit_bytes\":16384,\"hosts\":1,\"exports\":[{\"name\":"
                                + "\"routes\",\"volume\":\"00000000000000a1\",\"plan\":"
                                + "\"standard\",\"size\":" + NODES * SHARD_BYTES
                                + ",\"extents\":[" + String.join(",", extents) + "]}],"
                                + "\"nodes\":[" + String.join(",", addresses) + "]}");
        scheduler =
                trial.start("scheduler", config, trial.folder.resolve("tmp"), "", "--nbd " + nbd);
        scheduler.awaitHealthy(port);
    }

    static String id(int node) {
        return "s-" + node;
    }

    NbdClient client() throws IOException {
        return new NbdClient(trial, nbdPort, "routes");
    }
}
