package cypressglade.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Attempts whose answer has begun and is silent, and the decision what becomes of each: such an
 * answer may go on, so that it is waited for as long as a fresh attempt could still serve the
 * request after it. Belongs to the policy's thread; times are in microseconds.
 */
final class SilentAnswers {
    /** Time for a connection that comes up slowly and for the way of an answer. */
    private static final long FRESH_ATTEMPT_OVERHEAD_MICROS = 150_000;

    private final List<Silence> silences = new ArrayList<>();

    /** What becomes of an attempt whose answer is silent. */
    enum Decision {
        /** The answer may go on. */
        WAIT,
        /** Another attempt begins beside it. */
        HEDGE,
        /** It is closed, and another attempt begins after that. */
        GIVE_UP
    }

    /**
     * The silence of one answer.
     *
     * @param index the attempt's number in its request, from 0
     * @param since when it was reported
     */
    record Silence(SentAttempt attempt, int index, long since) {}

    /** Notes that an answer is silent. */
    void begin(long now, SentAttempt attempt, int index) {
        silences.add(new Silence(attempt, index, now));
    }

    /** Forgets the silence of an attempt, as its answer goes on or it has ended. */
    void end(SentAttempt attempt) {
        silences.removeIf(silence -> silence.attempt() == attempt);
    }

    /** The silences at this moment; the list stays as it is while some end. */
    List<Silence> current() {
        return List.copyOf(silences);
    }

    /**
     * Decides on one silence. A hedge begins once the answer has been silent for as long as a whole
     * fresh attempt takes. Without that permission the attempt is closed at the last moment at
     * which a fresh one, begun by then, would still be answered in time; never one that a fresh
     * attempt would not be quicker than.
     *
     * @param freshUs predicted time until a fresh attempt is answered
     * @param mayHedge whether another attempt may begin beside this one
     * @param mayGiveUp whether this one may be closed, and another begin after it
     */
    static Decision decide(
            long now, Silence silence, double freshUs, boolean mayHedge, boolean mayGiveUp) {
        double left = silence.attempt().pending().lastAnswerAt() - now;
        double silentFor = now - silence.since();
        boolean isInTime = silentFor >= freshUs && left >= freshUs;
        if (isInTime && mayHedge) {
            return Decision.HEDGE;
        }
        double needed = freshUs + Math.max(freshUs, FRESH_ATTEMPT_OVERHEAD_MICROS);
        return isInTime && mayGiveUp && left <= needed ? Decision.GIVE_UP : Decision.WAIT;
    }
}
