package cypressglade.adapter;

import cypressglade.config.ConfigException;
import cypressglade.config.SettingsParser;
import cypressglade.core.Scheduler;
import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.LoadFigures;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.Status;
import cypressglade.core.SchedulingPolicy;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connects the simulator's frames on standard input and output to one scheduler for each instance
 * that the simulator opens. It only translates; all decisions are made by the schedulers. Used by
 * one thread.
 */
public final class Adapter implements FrameReader.Handler {
    private static final int OK = 0;
    private static final int INVALID_INPUT = 1;
    private static final int BUFFER_BYTES = 1 << 16;

    private final Map<Integer, Instance> instances = new HashMap<>();
    private final FrameWriter writer = new FrameWriter();
    private long clockMicros;

    /** One scheduler and the settings that the simulator opened it with. */
    private record Instance(Scheduler scheduler, Settings settings) {}

    private Adapter() {}

    /**
     * Answers every input frame with one reply frame until the input ends.
     *
     * @param errors gets one line where the input cannot be read or decoded
     * @return the exit code of the process: 0 at a regular end of the input, 1 after an error
     */
    public static int run(InputStream in, OutputStream out, PrintStream errors) {
        try {
            new Adapter().serve(in, out);
            return OK;
        } catch (WireException | IOException invalid) {
            errors.println("cypressglade: " + invalid.getMessage());
            return INVALID_INPUT;
        }
    }

    private void serve(InputStream in, OutputStream out) throws IOException, WireException {
        FrameReader reader = new FrameReader(new BufferedInputStream(in, BUFFER_BYTES));
        while (reader.next()) {
            clockMicros = reader.clockMicros();
            reader.deliver(this);
            writer.flush(out);
        }
    }

    private Instance instance(int number) throws WireException {
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new WireException("event for instance " + number + ", which was never opened");
        }
        return instance;
    }

    private Scheduler scheduler(int instance) throws WireException {
        return instance(instance).scheduler();
    }

    @Override
    public void openInstance(int instance, long seed, String settings) throws WireException {
        try {
            Settings parsed = SettingsParser.parseLines(seed, settings);
            Scheduler scheduler =
                    new SchedulingPolicy(clockMicros, parsed, writer.actionsOf(instance));
            instances.put(instance, new Instance(scheduler, parsed));
        } catch (ConfigException invalid) {
            throw new WireException(invalid.getMessage());
        }
    }

    @Override
    public void closeInstance(int instance) throws WireException {
        instance(instance);
        instances.remove(instance);
    }

    @Override
    public void handleNodeList(int instance, ListKind kind, List<NodeEntry> entries)
            throws WireException {
        scheduler(instance).updateNodes(clockMicros, kind, entries);
    }

    @Override
    public void handleRequest(int instance, RequestFrame request) throws WireException {
        Instance opened = instance(instance);
        opened.scheduler().handleRequest(clockMicros, request.toRequest(opened.settings()));
    }

    @Override
    public void handleOutcome(int instance, Outcome outcome) throws WireException {
        scheduler(instance).handleOutcome(clockMicros, outcome);
    }

    @Override
    public void handleWithdrawal(int instance, long requestId) throws WireException {
        scheduler(instance).handleWithdrawal(clockMicros, requestId);
    }

    @Override
    public void handlePeerMessage(int instance, long fromRank, byte[] text) throws WireException {
        scheduler(instance).handlePeerMessage(clockMicros, fromRank, text);
    }

    @Override
    public void handleStreamStart(
            int instance, long requestId, int attempt, long node, long latencyUs)
            throws WireException {
        scheduler(instance).handleStreamStart(clockMicros, requestId, attempt, node, latencyUs);
    }

    @Override
    public void handleProbe(int instance, long node, Status status, long latencyUs, float[] load)
            throws WireException {
        Instance opened = instance(instance);
        LoadFigures figures = new LoadFigures(opened.settings().loadNames(), load);
        opened.scheduler().handleProbe(clockMicros, node, status, latencyUs, figures);
    }

    @Override
    public void handleTimer(int instance, long token) throws WireException {
        scheduler(instance).handleTimer(clockMicros, token);
    }
}
