package cypressglade.core;

import cypressglade.core.Scheduler.Limits;
import java.util.ArrayDeque;

/**
 * The budget of attempts after the first of a request, where the limits have one: a fixed number
 * and a ratio of the requests in a window. Belongs to the policy's thread; times are in
 * microseconds.
 */
final class FurtherAttemptBudget {
    private final ArrayDeque<Long> requestTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> furtherTimes = new ArrayDeque<>();

    /** Counts a request that has arrived. */
    void countRequest(long now, Limits limits) {
        if (limits.hasAttemptBudget()) {
            removeBefore(requestTimes, now - limits.budgetWindowUs());
            requestTimes.add(now);
        }
    }

    /** Counts an attempt after the first of a request. */
    void countFurther(long now, Limits limits) {
        removeBefore(furtherTimes, now - limits.budgetWindowUs());
        furtherTimes.add(now);
    }

    /** How many times are remembered: those of one window. */
    int size() {
        return requestTimes.size() + furtherTimes.size();
    }

    /**
     * Whether one more is within the budget.
     *
     * @param tickUs granularity of the clock by which the window is judged
     */
    boolean allowsOneMore(long now, Limits limits, long tickUs) {
        removeBefore(furtherTimes, now - limits.budgetWindowUs());
        removeBefore(requestTimes, now - limits.budgetWindowUs() + tickUs);
        return !limits.hasAttemptBudget()
                || furtherTimes.size() + 1
                        <= limits.freeFurtherAttempts()
                                + limits.furtherAttemptsRatio() * requestTimes.size();
    }

    /** Removes from times in ascending order those before a given one. */
    private static void removeBefore(ArrayDeque<Long> times, long first) {
        while (!times.isEmpty() && times.peekFirst() < first) {
            times.removeFirst();
        }
    }
}
