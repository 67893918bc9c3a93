package cypressglade.core;

import cypressglade.core.NodeLink.Attempt;
import cypressglade.core.Scheduler.Effect;
import cypressglade.core.Scheduler.RequestRules;
import cypressglade.core.Scheduler.Status;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * The attempts of one request that are out: begun, and neither ended nor closed. Another may begin
 * only where this class allows it, whoever asks. Belongs to the request's thread.
 */
final class OpenAttempts {
    private static final int MAX_HEDGED = 2;

    private final int maxOpen;
    private final Map<Integer, OpenAttempt> open = new TreeMap<>();
    private int begun;
    private Status lastEnd = Status.MOOT;

    /** One attempt that is out; numbered from 0. */
    record OpenAttempt(int number, long node, Instant sent, Attempt handle) {
        Duration age() {
            return Duration.between(sent, MonotonicClock.now());
        }
    }

    /** Starts an attempt of the given number at a link. */
    interface Starter {
        Attempt start(int number);
    }

    /** Creates the attempts of a request, none of which has begun. */
    OpenAttempts(RequestRules rules) {
        maxOpen = allowsHedge(rules) ? MAX_HEDGED : 1;
    }

    /**
     * Whether two attempts of a request may be out at once: the settings permit it, and its class
     * may be repeated without restriction and is not to run one request of a key at a time.
     */
    static boolean allowsHedge(RequestRules rules) {
        return rules.mayHedge()
                && rules.requestClass().effect() == Effect.SAFE
                && !rules.requestClass().keepOrder();
    }

    /** Whether another attempt may begin now. */
    boolean mayBegin() {
        return open.size() < maxOpen;
    }

    /**
     * Begins the next attempt.
     *
     * @throws IllegalStateException where none may begin now
     */
    void begin(long node, Starter starter) {
        if (!mayBegin()) {
            throw new IllegalStateException(open.size() + " attempts are out already");
        }
        int number = begun++;
        Instant sent = MonotonicClock.now();
        open.put(number, new OpenAttempt(number, node, sent, starter.start(number)));
    }

    /** Removes an attempt that has ended, and returns it. */
    OpenAttempt end(int number, Status status) {
        lastEnd = status;
        return open.remove(number);
    }

    /** Closes an attempt early; its end is reported all the same. Nothing where it has ended. */
    void cancel(int number) {
        if (open.containsKey(number)) {
            open.get(number).handle().cancel();
        }
    }

    /** Closes all attempts early; their ends are reported all the same. */
    void cancelAll() {
        open.values().forEach(attempt -> attempt.handle().cancel());
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    boolean contains(int number) {
        return open.containsKey(number);
    }

    /** How many attempts are out. */
    int size() {
        return open.size();
    }

    /** How many attempts have begun so far. */
    int begunCount() {
        return begun;
    }

    /** Why the next attempt begins, for the log. */
    String reasonForNext() {
        return open.isEmpty()
                ? "as the last ended " + lastEnd
                : "beside one whose answer is silent";
    }
}
