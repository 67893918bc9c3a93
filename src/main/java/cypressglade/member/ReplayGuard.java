package cypressglade.member;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells messages of now from recorded ones, without clocks. Each instance draws a number for its
 * life at its start; a message names the life that it is meant for and carries a number of its own,
 * which counts once (a sliding window as in RFC 4303, 3.4.3). Who does not know the life of a
 * receiver yet is told it, and that answer names the asker's life in turn, so a recording of either
 * is of no use.
 */
public final class ReplayGuard {
    private static final int WINDOW = 64;
    private static final int MOST_PEERS = 1024;

    private final long self;
    private long lastNumber;
    private final Map<Long, Window> windows = bounded();
    private final Map<InetSocketAddress, Long> lives = bounded();

    /** What a message is. */
    public enum Verdict {
        FRESH,
        UNKNOWN_GENERATION,
        REPLAYED
    }

    private static final class Window {
        private long highest;
        private long seen; // bit i: highest - i came
    }

    public ReplayGuard(long self) {
        this.self = self;
    }

    private static <K, V> Map<K, V> bounded() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MOST_PEERS;
            }
        };
    }

    /** The number of the next message that goes out. */
    public long nextSequenceNumber() {
        return ++lastNumber;
    }

    /** The life to name in a message there; 0 where it is not known. */
    public long generationAt(InetSocketAddress to) {
        return lives.getOrDefault(to, 0L);
    }

    /** Judges a message whose signature is good, and marks its number as seen. */
    public Verdict check(InetSocketAddress at, long from, long to, long number) {
        if (to != self) {
            return ReplayGuard.Verdict.UNKNOWN_GENERATION;
        }
        Window window = windows.computeIfAbsent(from, life -> new Window());
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
        lives.put(at, from);
        return Verdict.FRESH;
    }
}
