package cypressglade.core;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;

/**
 * Tries again what the machine refuses for a moment: an address whose last owner is just dying, no
 * room for one more socket (EADDRINUSE, ENFILE, ENOBUFS), a file that a failing disk does not give.
 * A process must not end by what is over a little later. It blocks its caller meanwhile.
 */
public final class Retry {
    private static final System.Logger LOG = System.getLogger(Retry.class.getName());
    private static final Duration PAUSE = Duration.ofMillis(50);

    private Retry() {}

    /** What is tried. */
    public interface Call<T, E extends Exception> {
        T call() throws E;
    }

    /**
     * Calls until it succeeds, on the caller's thread.
     *
     * @param most from the first call on; the failure that comes after it is thrown
     * @param what for the log, which names the first failure
     * @param passing whether a failure may pass by itself; any other is thrown at once
     * @throws E the last failure, where none succeeded in time or the thread was interrupted
     */
    public static <T, E extends Exception> T untilDone(
            Duration most, String what, Predicate<Exception> passing, Call<T, E> call) throws E {
        Instant end = MonotonicClock.now().plus(most);
        boolean told = false;
        while (true) {
            try {
                return call.call();
            } catch (Exception refused) {
                if (!passing.test(refused) || !MonotonicClock.now().isBefore(end) || !paused()) {
                    throw refused;
                }
                if (!told) {
                    told = true;
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "{0}: {1}; tried again for {2} ms",
                            what,
                            refused.toString(),
                            most.toMillis());
                }
            }
        }
    }

    /** False where the thread was interrupted, which stays noted. */
    private static boolean paused() {
        try {
            Thread.sleep(PAUSE.toMillis());
            return true;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
