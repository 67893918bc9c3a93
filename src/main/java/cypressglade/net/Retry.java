package cypressglade.net;

import cypressglade.core.Time;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;

/**
 * Tries again what the machine refuses for a moment at a start: an address whose last owner is just dying, or
 * no room for one more socket (EADDRINUSE, ENFILE, ENOBUFS). A process must not end by what is over 50 ms
 * later.
 */
public final class Retry {
    private static final System.Logger LOG = System.getLogger(Retry.class.getName());
    private static final Duration PAUSE = Duration.ofMillis(50);

    private Retry() { }

    /** What is tried. */
    public interface Call<T> {
        T call() throws IOException;
    }

    /**
     * Calls until it succeeds, on the caller's thread.
     *
     * @param most from the first call on; the last failure is thrown after it
     * @param what for the log
     * @throws IOException the last failure, where none succeeded in time or the thread was interrupted
     */
    public static <T> T untilDone(Duration most, String what, Call<T> call) throws IOException {
        Instant end = Time.now().plus(most);
        boolean told = false;
        while (true) {
            try {
                return call.call();
            } catch (IOException refused) {
                if (!Time.now().isBefore(end)) {
                    throw refused;
                }
                if (!told) {
                    told = true;
                    LOG.log(System.Logger.Level.WARNING, "{0}: {1}; tried again for {2} ms", what,
                            refused.toString(), most.toMillis());
                }
                pause(refused);
            }
        }
    }

    private static void pause(IOException refused) throws IOException {
        try {
            Thread.sleep(PAUSE.toMillis());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw refused;
        }
    }
}
