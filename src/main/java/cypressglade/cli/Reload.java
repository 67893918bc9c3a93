package cypressglade.cli;

import cypressglade.config.Config;
import cypressglade.config.ConfigException;
import cypressglade.config.UnreadableException;
import cypressglade.core.Counters;
import cypressglade.core.Retry;
import java.time.Duration;

/** The one owner of a reload: reads the files again and hands them on whole, or changes nothing. */
final class Reload implements Runnable {
    private static final System.Logger LOG = System.getLogger(Reload.class.getName());

    /** What a new configuration tells counts 4 s after the signal. */
    private static final Duration READ_LIMIT = Duration.ofSeconds(3);

    private final Source source;
    private Serve scheduler;
    private boolean early;

    /** Where the files are. */
    interface Source {
        Config read() throws ConfigException;

        OperatorFiles readFiles(Config scheduler) throws ConfigException;
    }

    Reload(Source source) {
        this.source = source;
    }

    /** Names the scheduler once it is there; a signal that came before it counts now. */
    synchronized void to(Serve started) {
        scheduler = started;
        if (early) {
            run();
        }
    }

    /**
     * Reads files again where the disk fails for a while; what is read and wrong is not tried
     * again.
     */
    static <T> T readable(Retry.Call<T, ConfigException> files) throws ConfigException {
        return Retry.untilDone(
                READ_LIMIT, "configuration", UnreadableException.class::isInstance, files);
    }

    @Override
    public synchronized void run() {
        if (scheduler == null) {
            early = true;
            return;
        }
        try {
            Config next = readable(source::read);
            next.checkAfter(scheduler.config());
            scheduler.use(next, readable(() -> source.readFiles(next)));
            scheduler.counters().add(Counters.Name.RELOADS);
            LOG.log(System.Logger.Level.INFO, "reloaded: discovery at {0}", next.discovery());
        } catch (ConfigException unusable) {
            scheduler.counters().add(Counters.Name.RELOADS_REJECTED);
            LOG.log(
                    System.Logger.Level.ERROR,
                    "the old configuration stays: {0}",
                    unusable.getMessage());
        }
    }
}
