package cypressglade.measure;

import java.util.Locale;

/** What a measurement found: printed as name=value, and held against bounds. */
public final class Figures {
    private boolean missed;

    public void say(String name, double value) {
        System.out.printf(
                Locale.ROOT,
                "%s=%s%n",
                name,
                value == Math.rint(value)
                        ? String.valueOf((long) value)
                        : String.format(Locale.ROOT, "%.4g", value));
    }

    public void atMost(String name, double value, double bound) {
        say(name, value);
        hold(name, value <= bound, "at most", bound);
    }

    public void atLeast(String name, double value, double bound) {
        say(name, value);
        hold(name, value >= bound, "at least", bound);
    }

    /** Holds without a word where it is as it must be. */
    public void hold(String name, double value, double wanted) {
        hold(name, value == wanted, "exactly", wanted);
    }

    private void hold(String name, boolean held, String how, double bound) {
        if (!held) { // also a NaN misses
            missed = true;
            System.out.println(name + " missed: " + how + " " + bound);
        }
    }

    /** Ends the program: 0 where all bounds held. */
    public void end() {
        System.exit(missed ? 1 : 0);
    }
}
