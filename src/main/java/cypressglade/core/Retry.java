package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;

/**
 * Repeats an operation that the machine refuses for a moment: binding an address whose last owner
 * is just exiting, opening a socket where there is no room for one more (EADDRINUSE, ENFILE,
 * ENOBUFS), reading a file from a failing disk. A process must not end because of a condition that
 * passes shortly after. Blocks the calling thread meanwhile.
 */
public final class Retry {
    private static final System.Logger LOG = System.getLogger(Retry.class.getName());
    private static final Duration PAUSE = Duration.ofMillis(50);

    private Retry() {}

    /**
     * The operation to repeat.
     *
     * @param <T> what it returns
     * @param <E> what it throws
     */
    public interface Call<T, E extends Exception> {
        /** Performs the operation once. */
        T call() throws E;
    }

    /**
     * Calls until the operation succeeds, on the calling thread.
     *
     * @param maxTime counted from the first call; a failure after it is thrown
     * @param what names the operation in the log, which gets the first failure
     * @param isTransient whether a failure may pass by itself; any other is thrown at once
     * @throws E the last failure, where no call succeeded in time or the thread was interrupted
     */
    public static <T, E extends Exception> T untilDone(
            Duration maxTime, String what, Predicate<Exception> isTransient, Call<T, E> call)
            throws E {
        Instant end = MonotonicClock.now().plus(maxTime);
        boolean logged = false;
        while (true) {
            try {
                return call.call();
            } catch (Exception failure) {
                if (!isTransient.test(failure) || !MonotonicClock.now().isBefore(end) || !pause()) {
                    throw failure;
                }
                if (!logged) {
                    logged = true;
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "{0}: {1}; retrying for up to {2} ms",
                            what,
                            failure.toString(),
                            maxTime.toMillis());
                }
            }
        }
    }

    /** Returns false where the thread was interrupted; its interrupt status stays set. */
    private static boolean pause() {
        try {
            Thread.sleep(PAUSE.toMillis());
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
