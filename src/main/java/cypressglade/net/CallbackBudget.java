package cypressglade.net;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Bounds the input that one callback of the I/O thread may read, and reports callbacks that held
 * the thread for long. Every callback runs within {@link #run}. Used on the I/O thread only.
 */
final class CallbackBudget {
    /** Input that one callback may read, in bytes; above what any connection may read ahead. */
    static final int MAX_BYTES = 1 << 20;

    /** Time after which a callback reads nothing more. */
    static final Duration MAX_TIME = Duration.ofMillis(10);

    /** A callback that takes longer than this is reported. */
    private static final Duration REPORTED_TIME = Duration.ofMillis(50);

    private Consumer<LoopHold> reporter = hold -> {};
    private long startedAt;
    private long bytes;
    private boolean isRunning;

    /** Passes callbacks that hold the thread for long to a consumer, from now on. */
    void setReporter(Consumer<LoopHold> next) {
        reporter = next;
    }

    /**
     * Runs a callback within a budget of its own; one that runs inside another shares the outer
     * one's.
     *
     * @param owner whose work it is, for the report
     */
    void run(Object owner, Runnable callback) {
        if (isRunning) {
            callback.run();
            return;
        }
        isRunning = true;
        bytes = 0;
        startedAt = System.nanoTime();
        try {
            callback.run();
        } finally {
            isRunning = false;
            report(owner);
        }
    }

    /**
     * Runs one turn of a callback that gives many their turns: with a budget of its own, and
     * reported by its own owner.
     */
    void runTurn(Object owner, Runnable turn) {
        long outerStart = startedAt;
        bytes = 0;
        startedAt = System.nanoTime();
        try {
            turn.run();
        } finally {
            report(owner);
            startedAt = outerStart + elapsed(); // what is reported here is not the outer one's
            bytes = 0;
        }
    }

    /** Counts input that the running callback has read. */
    void spend(int count) {
        bytes += count;
    }

    /** Whether the running callback may read on. */
    boolean hasLeft() {
        return bytes < MAX_BYTES && elapsed() < MAX_TIME.toNanos();
    }

    private long elapsed() {
        return System.nanoTime() - startedAt;
    }

    private void report(Object owner) {
        long nanos = elapsed();
        if (nanos >= REPORTED_TIME.toNanos()) {
            reporter.accept(new LoopHold(name(owner), Duration.ofNanos(nanos), bytes));
        }
    }

    /** The class that a callback belongs to; that of a lambda is the class that contains it. */
    private static String name(Object owner) {
        if (owner instanceof Connection) {
            return owner.toString();
        }
        String type = owner.getClass().getName();
        int lambda = type.indexOf("$$");
        String declaring = lambda < 0 ? type : type.substring(0, lambda);
        return declaring.substring(declaring.lastIndexOf('.') + 1);
    }
}
