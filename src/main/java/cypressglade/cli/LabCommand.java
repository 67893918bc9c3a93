package cypressglade.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import cypressglade.config.ConfigException;
import cypressglade.fleet.Bounds;
import cypressglade.lab.FaultScript;
import cypressglade.lab.FaultScript.Step;
import cypressglade.lab.ProcessFleet;
import cypressglade.member.SwimSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** Plays a script of faults on a fleet of processes of this program, and says what each saw. */
@Parameters(commandDescription = "play a script of faults on a fleet of processes on loopback")
final class LabCommand implements Asking {
    private static final int LEAST_MEMBERS = 2;
    private static final int MOST_MEMBERS = 16; // some 90 MB each
    private static final int LEAST_PERIOD_MS = 100;
    private static final int MOST_PERIOD_MS = 10_000;

    @Parameter(
            names = "--script",
            description = "the file with the steps; see docs/operating-fleet.md",
            required = true)
    private String script;

    @Parameter(names = "--members", description = "how many processes, 2 to 16")
    private int members = 5;

    @Parameter(names = "--period-ms", description = "the membership's period, 100 to 10000")
    private int periodMs = 200;

    @Parameter(names = "--seed", description = "of the faults' chances")
    private long seed = 1;

    @Override
    public void run(PrintStream out) throws ConfigException, IOException {
        if (members < LEAST_MEMBERS || members > MOST_MEMBERS) {
            throw new ConfigException(
                    "--members "
                            + members
                            + " is not from "
                            + LEAST_MEMBERS
                            + " to "
                            + MOST_MEMBERS);
        }
        if (periodMs < LEAST_PERIOD_MS || periodMs > MOST_PERIOD_MS) {
            throw new ConfigException(
                    "--period-ms "
                            + periodMs
                            + " is not from "
                            + LEAST_PERIOD_MS
                            + " to "
                            + MOST_PERIOD_MS);
        }
        Duration period = Duration.ofMillis(periodMs);
        List<Step> steps;
        try {
            steps = FaultScript.parse(script, Files.readString(Path.of(script)), members).steps();
        } catch (FaultScript.Unusable unusable) {
            throw new ConfigException(unusable.getMessage());
        } catch (NoSuchFileException missing) {
            throw new ConfigException(
                    "--script " + script + ": no such file; docs/operating-fleet.md has one");
        }
        Bounds bounds = new Bounds(SwimSettings.withPeriod(period), members);
        out.println(
                "bounds: crash to dead everywhere "
                        + bounds.detectionTime().toMillis()
                        + " ms, heal to one view "
                        + bounds.healTime().toMillis()
                        + " ms");
        Path folder = Files.createTempDirectory("cypressglade-lab");
        try (ProcessFleet fleet = new ProcessFleet(folder, members, period, seed)) {
            fleet.startAll(members);
            out.println("started " + members + " processes with their files in " + folder);
            play(fleet, steps, out);
        }
    }

    private void play(ProcessFleet fleet, List<Step> steps, PrintStream out) throws IOException {
        long began = System.currentTimeMillis();
        int told = fleet.since(0).size();
        int missed = 0;
        for (Step step : steps) {
            fleet.pass(step.at().minusMillis(System.currentTimeMillis() - began));
            told = tell(fleet, told, began, out);
            out.printf("%8d ms  %s%n", System.currentTimeMillis() - began, step.verb().text());
            missed += fleet.act(step) ? 0 : 1;
            told = tell(fleet, told, began, out);
        }
        for (int member : fleet.running()) {
            out.println(fleet.view(member));
        }
        if (missed > 0) {
            throw new IOException(missed + " of what the script expects did not come");
        }
        out.println("all that the script expects came");
    }

    /** Prints the changes that were logged since the last time; how many there are now. */
    private static int tell(ProcessFleet fleet, int told, long began, PrintStream out) {
        List<ProcessFleet.Event> events = fleet.since(0);
        events.subList(told, events.size())
                .forEach(
                        event ->
                                out.printf(
                                        "%8d ms  %s: %s %s%n",
                                        event.atMs() - began,
                                        ProcessFleet.name(event.seenBy()),
                                        event.name(),
                                        event.state()));
        return events.size();
    }
}
