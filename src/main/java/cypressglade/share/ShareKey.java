package cypressglade.share;

import java.util.Optional;

/**
 * Text keys under which members report demand and receive shares: {@code "v ID"} for a volume, with
 * its id in hexadecimal, and {@code "n STARTED ID"} for one generation of a cold node.
 */
public final class ShareKey {
    /**
     * Prefix of a node's key. What a node was sent counts for a span of time, whereas a volume's
     * limit is a token bucket that refills.
     */
    static final String NODE_PREFIX = "n ";

    private static final String VOLUME_PREFIX = "v ";
    private static final int HEX_RADIX = 16;

    /** Highest number of hexadecimal digits of a 64-bit id. */
    private static final int MAX_HEX_DIGITS = 16;

    /**
     * One start of a storage node.
     *
     * @param id of the node
     * @param startedUs when it started, in microseconds since the epoch
     */
    public record NodeGeneration(String id, long startedUs) {}

    private ShareKey() {}

    /** The key of the volume with this id. */
    public static String ofVolume(long id) {
        return VOLUME_PREFIX + Long.toHexString(id);
    }

    /** The key of a cold node, from its id and its start in microseconds since the epoch. */
    public static String ofNode(String id, long startedUs) {
        return NODE_PREFIX + startedUs + " " + id;
    }

    /** Whether this is the key of a volume. */
    public static boolean isVolume(String key) {
        return key.matches(VOLUME_PREFIX + "[0-9a-f]{1," + MAX_HEX_DIGITS + "}");
    }

    /**
     * The volume id in a key.
     *
     * @throws NumberFormatException if the key is not a volume's; see {@link #isVolume}
     */
    public static long volumeId(String key) {
        return Long.parseUnsignedLong(key.substring(VOLUME_PREFIX.length()), HEX_RADIX);
    }

    /** The node generation in a key; empty if the key is not a node's. */
    public static Optional<NodeGeneration> nodeGeneration(String key) {
        if (!key.matches(NODE_PREFIX + "[0-9]{1,18} .+")) {
            return Optional.empty();
        }
        int space = key.indexOf(' ', NODE_PREFIX.length());
        return Optional.of(
                new NodeGeneration(
                        key.substring(space + 1),
                        Long.parseLong(key.substring(NODE_PREFIX.length(), space))));
    }
}
