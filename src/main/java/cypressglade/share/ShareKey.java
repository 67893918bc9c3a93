package cypressglade.share;

import java.util.Optional;

/** How what is shared is named among members. */
public final class ShareKey {
    /** How a node's key begins; its part counts over a time, and not by a store that fills. */
    static final String NODE = "n ";

    private static final String VOLUME = "v ";
    private static final int HEX = 16;

    /** One run of a node. */
    public record NodeGeneration(String id, long startedUs) {}

    private ShareKey() {}

    /** A volume, by its id. */
    public static String ofVolume(long id) {
        return VOLUME + Long.toHexString(id);
    }

    /** A cold node, by its id and its start in microseconds of the epoch. */
    public static String ofNode(String id, long startedUs) {
        return NODE + startedUs + " " + id;
    }

    /** Whether a key is a volume's. */
    public static boolean isVolume(String key) {
        return key.matches(VOLUME + "[0-9a-f]{1," + HEX + "}");
    }

    /** The id of a volume's key. */
    public static long volumeId(String key) {
        return Long.parseUnsignedLong(key.substring(VOLUME.length()), HEX);
    }

    /** The run of a node's key; nothing where it is none. */
    public static Optional<NodeGeneration> nodeGeneration(String key) {
        if (!key.matches(NODE + "[0-9]{1,18} .+")) {
            return Optional.empty();
        }
        int id = key.indexOf(' ', NODE.length());
        return Optional.of(
                new NodeGeneration(
                        key.substring(id + 1), Long.parseLong(key.substring(NODE.length(), id))));
    }
}
