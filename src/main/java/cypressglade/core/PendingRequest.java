package cypressglade.core;

import cypressglade.core.Scheduler.Request;
import cypressglade.core.Scheduler.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request that this head took and that is not over, or has an attempt out. */
final class PendingRequest {
    // Step in which ends of patience are compared.
    private static final long SAME_TRY_US = 5_000;

    final Request request;
    final long arrived;
    final long expiry;
    final List<SentAttempt> sent = new ArrayList<>(1);
    RequestClass type;
    TrackedVolume volume;
    TrackedNode node;
    long firstTry, aim, due, parkedAt, firstSent;
    double work, worth, reserved;
    int pushed, outstanding;
    boolean asked, background, ordered, mayHaveRun, over;

    PendingRequest(long now, Request request) {
        this.request = request;
        arrived = now;
        firstTry = now;
        work = request.units();
        expiry = now + request.remainingUs();
    }

    /** Tells tries of one client apart from all others; steps of the end of patience apart. */
    long print(int step) {
        long what = (request.volume() * 31 + request.key()) * 31 + request.requestClass();
        return (what * 31 + Float.floatToIntBits(request.units())) * 31
                + expiry / SAME_TRY_US
                + step;
    }
}
