package cypressglade.storm;

import cypressglade.recent.RecentEntries;
import cypressglade.recent.RecentEntries.Entry;
import cypressglade.storm.ClientRequest.Effect;
import cypressglade.storm.UncertainWrites.Remembered;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All writes that a client could send again: those that are open, from their admission on, and
 * those that have ended and may have run. It alone decides whether a marked retry of a write may be
 * sent. A write that has ended unrun, as one that was refused, leaves it; so a retry that follows a
 * refusal finds nothing, unless another write that is like it is open or may have run. One whose
 * client has read that it was served leaves it as well. Whether a client is there or has left
 * decides nothing: one that is cut off seems to be there.
 *
 * <p>Each open write is known by its own entry, so the end of one never clears another that has the
 * same fingerprint. Not safe for use by several threads.
 */
public final class WriteRegister {
    private static final System.Logger LOG = System.getLogger(WriteRegister.class.getName());

    /** Of the retries that may have run, one for so many ended writes is remembered. */
    static final int WRITES_PER_RETRY = 4;

    private final Duration ttl;
    private final UncertainWrites ended;
    private final Map<Long, List<OpenWrite>> open = new HashMap<>();

    /** Retries that were let by and may have run. Key: fingerprint; first: when let by. */
    private final RecentEntries uncertainRetries;

    private int openCount;
    private OtherProcesses others = OtherProcesses.NONE;

    /** A write from its admission to its end. */
    public static final class OpenWrite {
        private final ClientRequest request;
        private final Instant enteredAt;
        private Instant firstSent;
        private long endedNumber;

        private OpenWrite(ClientRequest request, Instant enteredAt) {
            this.request = request;
            this.enteredAt = enteredAt;
        }

        /** Records that an attempt is sent; the first one counts. */
        public void sent(Instant now) {
            if (firstSent == null) {
                firstSent = now;
            }
        }
    }

    /**
     * Creates an empty register.
     *
     * @param maxWrites writes that have ended and are remembered at a time, at least 1
     * @param ttl how long a client could retry a write after its end
     */
    WriteRegister(int maxWrites, Duration ttl, Instant now) {
        this.ttl = ttl;
        ended = new UncertainWrites(maxWrites, ttl, now);
        uncertainRetries = new RecentEntries(Math.max(1, maxWrites / WRITES_PER_RETRY));
    }

    /** Enters a request that is admitted; empty for one that changes nothing. */
    public Optional<OpenWrite> enter(ClientRequest request, Instant now) {
        if (request.effect() == Effect.NONE) {
            return Optional.empty();
        }
        OpenWrite write = new OpenWrite(request, now);
        open.computeIfAbsent(request.fingerprint(), any -> new ArrayList<>(1)).add(write);
        openCount++;
        return Optional.of(write);
    }

    /** Records the end of a write that has not run and will not. */
    public void endUnrun(OpenWrite write) {
        remove(write);
    }

    /** Records the end of a write that may have run; its client may come again. */
    public void endUncertain(OpenWrite write, Instant now) {
        remove(write);
        rememberRetry(write);
        write.endedNumber =
                ended.add(write.request, write.firstSent == null ? now : write.firstSent, now);
    }

    /** Records the end of a write that was served, and whose client has read the answer. */
    public void endConfirmed(OpenWrite write) {
        remove(write);
        rememberRetry(write);
    }

    /** Records that the client of a write has read the answer, after its end. */
    public void confirm(OpenWrite write) {
        ended.remove(write.request.fingerprint(), write.endedNumber);
    }

    private void rememberRetry(OpenWrite write) {
        if (write.request.isRetry()) {
            uncertainRetries.put(write.request.fingerprint(), micros(write.enteredAt), 0, 0);
        }
    }

    private void remove(OpenWrite write) {
        openCount--;
        open.computeIfPresent(
                write.request.fingerprint(),
                (fingerprint, alike) -> alike.remove(write) && alike.isEmpty() ? null : alike);
    }

    /** Shares the register with the other processes of this instance from now on. */
    public void share(OtherProcesses processes) {
        others = processes;
    }

    /**
     * Whether sending this request could run a write a second time. While another process may be
     * open to clients, that holds of every retry of a write: the first try may be there.
     */
    public boolean mayRunTwice(ClientRequest request, Instant now) {
        if (request.effect() == Effect.NONE) {
            return false;
        }
        if (!request.isRetry()) {
            return mayBeOvertaken(request);
        }
        return ended.mayRunTwice(request, now)
                || isOpen(request, now)
                || learnOfOthers(now) // which may have ended with writes of their own
                || ended.mayRunTwice(request, now);
    }

    /**
     * Takes over the writes of processes that have ended; returns whether another may be open to
     * clients. To be called several times a second as well, as the time for which nothing is known
     * counts from when it is seen.
     */
    public boolean learnOfOthers(Instant now) {
        OtherProcesses.Findings findings = others.look();
        for (byte[] writes : findings.handedOver()) {
            try {
                restore(writes, now);
            } catch (IllegalArgumentException foreign) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "writes of another process cannot be read: {0}",
                        foreign.getMessage());
                assumeAllUncertain(now);
            }
        }
        if (findings.hasEndedUnknown()) {
            assumeAllUncertain(now);
        }
        return findings.mayServe();
    }

    private boolean isOpen(ClientRequest retry, Instant now) {
        return open.getOrDefault(retry.fingerprint(), List.of()).stream()
                .anyMatch(
                        write ->
                                UncertainWrites.mayRunTwice(
                                        retry,
                                        write.firstSent == null ? now : write.firstSent,
                                        now));
    }

    /**
     * Whether an original request may have been sent again and overtaken by that retry: one was let
     * by after the first byte of this request arrived, and is open or may have run. So it is with a
     * client that was cut off in the middle of its body.
     */
    private boolean mayBeOvertaken(ClientRequest original) {
        if (original.receivedAt().isEmpty()) {
            return false;
        }
        Instant received = original.receivedAt().get();
        long fingerprint = original.fingerprint();
        Entry retry = uncertainRetries.get(fingerprint);
        return retry != null && retry.first() >= micros(received)
                || open.getOrDefault(fingerprint, List.of()).stream()
                        .filter(write -> write.request.isRetry())
                        .anyMatch(write -> !write.enteredAt.isBefore(received));
    }

    /** Number of writes that are open, or remembered as ended. */
    public int size() {
        return ended.size() + openCount;
    }

    /**
     * Treats all retries of writes as uncertain until none of an earlier write can come any more,
     * as it is not known what ran before now.
     */
    public void assumeAllUncertain(Instant now) {
        ended.assumeAllUncertain(now);
    }

    /** Serializes what may have run or may yet run, for {@link #restore} by another process. */
    public byte[] serialize(Instant now) {
        List<Remembered> writes = new ArrayList<>(ended.remembered(now));
        open.keySet().forEach(fingerprint -> writes.add(new Remembered(fingerprint, ttl)));
        return UncertainWritesCodec.encode(
                new UncertainWritesCodec.Snapshot(ended.allUncertainFor(now), writes));
    }

    /**
     * Adds the writes that {@link #serialize} returned in another process.
     *
     * @throws IllegalArgumentException where the bytes are not in that format; nothing is added
     *     then
     */
    public void restore(byte[] bytes, Instant now) {
        UncertainWritesCodec.Snapshot restored = UncertainWritesCodec.decode(bytes);
        ended.addAll(restored.writes(), restored.allUncertainFor(), now);
    }

    private static long micros(Instant time) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, time);
    }
}
