package cypressglade.member;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells current messages from replayed ones without relying on clocks. Each instance draws a random
 * generation at its start; a message names the generation of its receiver and carries a sequence
 * number of its sender that is accepted once (a sliding window as in RFC 4303, 3.4.3). A sender
 * that does not know the receiver's generation yet is told it; that answer in turn names the
 * sender's generation, so replaying either message has no effect. Not safe for use by several
 * threads.
 */
public final class ReplayGuard {
    private static final int WINDOW = 64;
    private static final int MAX_PEERS = 1024;

    private final long self;
    private long lastNumber;
    private final Map<Long, Window> windows = bounded();
    private final Map<InetSocketAddress, Long> generations = bounded();

    /** The result of checking a message. */
    public enum Verdict {
        /** Meant for this generation, and not seen before. */
        FRESH,
        /** Names another generation of this instance, or none. */
        UNKNOWN_GENERATION,
        /** Its sequence number was seen before, or is too old to tell. */
        REPLAYED
    }

    /** The sequence numbers that were received of one generation. */
    private static final class Window {
        private long highest;
        private long seen; // bit i: number highest - i was received
    }

    /**
     * Starts with no peer known.
     *
     * @param self generation of this instance
     */
    public ReplayGuard(long self) {
        this.self = self;
    }

    /** A map that drops its least recently used entry beyond {@link #MAX_PEERS}. */
    private static <K, V> Map<K, V> bounded() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAX_PEERS;
            }
        };
    }

    /** The sequence number for the next message that is sent; starts at 1. */
    public long nextSequenceNumber() {
        return ++lastNumber;
    }

    /** The generation to name in a message to this address; 0 where it is not known. */
    public long generationAt(InetSocketAddress to) {
        return generations.getOrDefault(to, 0L);
    }

    /**
     * Checks a message whose signature is valid, and marks its sequence number as seen.
     *
     * @param at address that the message came from
     * @param from generation of the sender
     * @param to generation of the receiver that the message names
     * @param number sequence number of the message
     */
    public Verdict check(InetSocketAddress at, long from, long to, long number) {
        if (to != self) {
            return Verdict.UNKNOWN_GENERATION;
        }
        Window window = windows.computeIfAbsent(from, generation -> new Window());
        long behind = window.highest - number;
        if (number <= 0 || behind >= WINDOW || behind >= 0 && (window.seen >>> behind & 1) == 1) {
            return Verdict.REPLAYED;
        }
        if (behind < 0) {
            window.seen = -behind >= WINDOW ? 0 : window.seen << -behind;
            window.highest = number;
            behind = 0;
        }
        window.seen |= 1L << behind;
        generations.put(at, from);
        return Verdict.FRESH;
    }
}
