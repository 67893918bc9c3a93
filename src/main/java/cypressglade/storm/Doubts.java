package cypressglade.storm;

import cypressglade.storm.Try.Effect;
import cypressglade.storm.Try.Print;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes that may have run and were not answered as served, for as long as their client could come
 * again: a second try of one is never sent. Bounded; where it is full the oldest is let go, and
 * until that one's time is over every second try of a write is in doubt, as it may be that one's.
 * The same holds after a restart that did not end in order: what was open then is not known.
 *
 * <p>Not safe for use by several threads.
 */
public final class Doubts {
    /** Writes held at a time, some 200 bytes each. */
    public static final int MOST = 8192;

    private static final int ENTRY = 5 * Long.BYTES + Integer.BYTES + Double.BYTES;
    private static final double KEY_PART = 0.5; // of the time for which nodes hold a key

    private final int most;
    private final Duration span;
    private final Map<Print, Doubt> held = new LinkedHashMap<>();
    private Instant blindUntil;

    private record Doubt(Instant sent, Instant until) {}

    /** An empty ledger. */
    public Doubts(Duration span, Instant now) {
        this(MOST, span, now);
    }

    Doubts(int most, Duration span, Instant now) {
        this.most = most;
        this.span = span;
        blindUntil = now;
    }

    /** A write that may have run has no answer that says it did: from now on it is in doubt. */
    public void add(Try write, Instant sent, Instant now) {
        if (write.effect() == Effect.NONE) {
            return;
        }
        sweep(now);
        Doubt before = held.remove(write.print());
        if (before == null && held.size() >= most) {
            Iterator<Doubt> oldest = held.values().iterator();
            blindUntil = later(blindUntil, oldest.next().until);
            oldest.remove();
        }
        // Of two tries the first counts: nodes hold a key from its first run on.
        held.put(write.print(), new Doubt(before == null ? sent : before.sent, now.plus(span)));
    }

    /** It is known by now that it never ran. */
    public void neverRan(Try write) {
        held.remove(write.print());
    }

    /** Whether sending this try could run a write a second time. */
    public boolean twice(Try write, Instant now) {
        if (!write.second() || write.effect() == Effect.NONE) {
            return false;
        }
        sweep(now);
        Doubt doubt = held.get(write.print());
        if (doubt == null) {
            return now.isBefore(blindUntil);
        }
        Duration safe = Duration.ofNanos((long) (write.keyHeld().toNanos() * KEY_PART));
        return write.effect() == Effect.TWICE || !now.isBefore(doubt.sent.plus(safe));
    }

    /**
     * Nothing is known of what ran before now: second tries of writes are in doubt for the whole
     * span.
     */
    public void blind(Instant now) {
        blindUntil = later(blindUntil, now.plus(span));
    }

    /** Writes that are held. */
    public int size() {
        return held.size();
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private void sweep(Instant now) {
        Iterator<Doubt> all = held.values().iterator();
        while (all.hasNext() && !all.next().until.isAfter(now)) {
            all.remove();
        }
    }

    /** All that is held, for {@link #restore}; times go by the clock of the day. */
    public byte[] bytes(Instant now) {
        sweep(now);
        ByteBuffer out = ByteBuffer.allocate(Long.BYTES + Integer.BYTES + held.size() * ENTRY);
        out.putLong(blindUntil.toEpochMilli()).putInt(held.size());
        held.forEach(
                (print, doubt) ->
                        out.putLong(print.volume())
                                .putLong(print.piece())
                                .putInt(print.kind())
                                .putDouble(print.units())
                                .putLong(print.token())
                                .putLong(doubt.sent.toEpochMilli())
                                .putLong(doubt.until.toEpochMilli()));
        return out.array();
    }

    /**
     * Takes what {@link #bytes} gave in a former life.
     *
     * @throws IllegalArgumentException where these bytes are no such thing; nothing is taken then
     */
    public void restore(byte[] bytes) {
        Map<Print, Doubt> read = new LinkedHashMap<>();
        Instant blind;
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            blind = Instant.ofEpochMilli(in.getLong());
            int count = in.getInt();
            if (count < 0 || count > most || in.remaining() != count * ENTRY) {
                throw new IllegalArgumentException(
                        count + " writes in " + in.remaining() + " bytes");
            }
            for (int i = 0; i < count; i++) {
                read.put(
                        new Print(
                                in.getLong(),
                                in.getLong(),
                                in.getInt(),
                                in.getDouble(),
                                in.getLong()),
                        new Doubt(
                                Instant.ofEpochMilli(in.getLong()),
                                Instant.ofEpochMilli(in.getLong())));
            }
        } catch (BufferUnderflowException cut) {
            throw new IllegalArgumentException("cut after " + bytes.length + " bytes", cut);
        }
        blindUntil = later(blindUntil, blind);
        held.putAll(read);
    }
}
