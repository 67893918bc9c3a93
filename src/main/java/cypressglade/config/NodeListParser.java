package cypressglade.config;

import cypressglade.core.NodeList;
import cypressglade.core.Scheduler.State;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads discovery's form of the node list, whole or a change. */
public final class NodeListParser {
    private static final long MAX_VERSION = Long.MAX_VALUE;
    private static final long MAX_START = 1L << 50;
    private static final int MAX_CELLS = 1 << 24;

    private final List<String> zones;
    private final List<String> kinds;

    /** Creates a parser for lists whose nodes have these zones and kinds. */
    public NodeListParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Parses a list.
     *
     * @param from index of its first byte in {@code text}
     * @throws ConfigException where it is no valid list
     */
    public NodeList parse(byte[] text, int from, int length) throws ConfigException {
        String what = "node list";
        return parse(new Values(what, JsonValues.read(what, text, from, length)), "");
    }

    NodeList parse(Values values, String at) throws ConfigException {
        List<NodeList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < values.count(at + "servers"); i++) {
            String entry = at + "servers." + i + ".";
            State state =
                    Map.of("active", State.READY, "leaving", State.DRAINING, "left", State.GONE)
                            .get(values.text(entry + "state"));
            if (state == null) {
                throw values.bad(entry + "state", "is none of active, leaving, left");
            }
            InetSocketAddress address = state == State.GONE ? null : values.address(entry + "addr");
            entries.add(
                    new NodeList.Entry(
                            values.text(entry + "id"),
                            address,
                            Math.max(0, zones.indexOf(values.text(entry + "zone", ""))),
                            Math.max(0, kinds.indexOf(values.text(entry + "kind", ""))),
                            state == State.GONE && values.text(entry + "cell", "").isEmpty()
                                    ? 0
                                    : (int) values.whole(entry + "cell", 0, MAX_CELLS),
                            state,
                            values.number(entry + "weight", 1),
                            Instant.ofEpochMilli(
                                    values.text(entry + "started_ms", "").isEmpty()
                                            ? 0
                                            : values.whole(entry + "started_ms", 0, MAX_START))));
        }
        return new NodeList(
                values.whole(at + "version", 0, MAX_VERSION),
                values.text(at + "full").equals("true"),
                entries);
    }
}
