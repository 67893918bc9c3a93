package cypressglade.cli;

import java.lang.System.Logger.Level;

/**
 * Logs the thread that died of an error, and why. Where it was one that serves all requests the
 * program ends with it, also where the log fails: it would go on taking requests and answer none.
 */
final class ThreadDeath implements Thread.UncaughtExceptionHandler {
    private static final System.Logger LOG = System.getLogger(ThreadDeath.class.getName());
    private static final int DIED = 3;
    private static final String ENGINE = "engine";
    private static final String IO_PREFIX = "io ";

    @Override
    public void uncaughtException(Thread thread, Throwable why) {
        boolean needed = thread.getName().equals(ENGINE) || thread.getName().startsWith(IO_PREFIX);
        try {
            String then = needed ? "; the program ends" : "";
            LOG.log(Level.ERROR, "thread " + thread.getName() + " died" + then, why);
        } finally {
            if (needed) {
                Runtime.getRuntime().halt(DIED);
            }
        }
    }
}
