package cypressglade.cli;

import cypressglade.config.ConfigException;
import cypressglade.config.UnreadableException;
import cypressglade.core.Time;
import java.time.Duration;
import java.time.Instant;

/**
 * Reads configuration files again where the disk fails for a while; what is read and wrong is not tried
 * again.
 */
final class PatientRead {
    private static final Duration PAUSE = Duration.ofMillis(100);

    private PatientRead() { }

    /** What reads a file. */
    interface Read<T> {
        T read() throws ConfigException;
    }

    /**
     * Reads until the files can be read, on the caller's thread.
     *
     * @param most from the first try on
     * @throws ConfigException where the files are wrong, or could not be read in time
     */
    static <T> T within(Duration most, Read<T> files) throws ConfigException {
        Instant end = Time.now().plus(most);
        while (true) {
            try {
                return files.read();
            } catch (UnreadableException now) {
                if (!Time.now().isBefore(end)) {
                    throw now;
                }
                pause(now);
            }
        }
    }

    private static void pause(ConfigException failed) throws ConfigException {
        try {
            Thread.sleep(PAUSE.toMillis());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw failed;
        }
    }
}
