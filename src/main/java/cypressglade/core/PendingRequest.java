package cypressglade.core;

import cypressglade.core.Scheduler.Effect;
import cypressglade.core.Scheduler.Request;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Scope;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that has no final answer yet or has an attempt in flight, and refused ones that are
 * remembered to recognize retries. Belongs to the policy's thread; times are in microseconds.
 */
final class PendingRequest {
    // Step in which the expiry times of a request and its retry are compared.
    private static final long FINGERPRINT_STEP_MICROS = 5_000;

    final Request request;
    final long arrivedAt;
    final long expiresAt;
    final List<SentAttempt> attempts = new ArrayList<>(1); // null where one has ended
    RequestClass requestClass; // null where the settings had none
    TrackedVolume volume;
    TrackedNode node; // in whose queue it is
    long originalArrivedAt, targetAt, deadline, firstSentAt;
    long waitingSince, heldUpUs; // for a probe; how long this process was held up meanwhile
    double workUnits, worthPerUnit, reservedFraction;
    int overtakenCount, inFlightAttempts, maxAttempts;
    boolean probeRequested, background, ordered, mayHaveRun, done;

    PendingRequest(long now, Request request) {
        this.request = request;
        arrivedAt = now;
        originalArrivedAt = now;
        workUnits = request.units();
        expiresAt = now + request.remainingUs();
    }

    /** Returns the latest time by which an answer still serves this request. */
    long lastAnswerAt() {
        return Math.min(arrivedAt + requestClass.deadlineUs(), expiresAt);
    }

    /** Whether its class allows another attempt, given what may have run so far. */
    boolean isRepeatable(long now) {
        return !mayHaveRun || isRepeatableAfterRun(now);
    }

    /** Whether its class allows another attempt although one may have run. */
    boolean isRepeatableAfterRun(long now) {
        return requestClass.effect() == Effect.SAFE
                || requestClass.effect() == Effect.KEYED
                        && now - firstSentAt < requestClass.keyTtlUs() / 2;
    }

    /** Whether a refusal, which invites a retry, can do no harm. */
    boolean mayBeRefused() {
        return attempts.isEmpty()
                || !mayHaveRun && inFlightAttempts == 0
                || requestClass.effect() == Effect.SAFE
                || requestClass.effect() == Effect.KEYED && requestClass.scope() == Scope.ALL;
    }

    /** Returns how long this request has awaited a probe while the process ran. */
    long awaitedProbeUs(long now) {
        return now - waitingSince - heldUpUs;
    }

    /**
     * Returns a number that a request has in common with its retries and with few others.
     *
     * @param step difference of the expiry, in steps
     */
    long retryFingerprint(int step) {
        int type = requestClass == null ? 0 : requestClass.name().hashCode();
        long what = (request.volume() * 31 + request.key()) * 31 + type;
        return (what * 31 + Float.floatToIntBits(request.units())) * 31
                + expiresAt / FINGERPRINT_STEP_MICROS
                + step;
    }
}
