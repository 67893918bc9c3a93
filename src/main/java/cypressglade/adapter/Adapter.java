package cypressglade.adapter;

import cypressglade.config.ConfigException;
import cypressglade.config.SettingsParser;
import cypressglade.core.Scheduler;
import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Request;
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

/** Joins the wire on standard input and output to one scheduler for each head. Decides nothing. */
public final class Adapter implements FrameReader.Handler {
    private static final int OK = 0;
    private static final int BROKEN_INPUT = 1;
    private static final int BUFFER = 1 << 16;

    private final Map<Integer, Scheduler> heads = new HashMap<>();
    private final FrameWriter writer = new FrameWriter();
    private long clock;

    private Adapter() {}

    /** Runs the adapter until the input ends; returns the exit code. */
    public static int run(InputStream in, OutputStream out, PrintStream errors) {
        try {
            new Adapter().serve(in, out);
            return OK;
        } catch (WireException | IOException broken) {
            errors.println("cypressglade: " + broken.getMessage());
            return BROKEN_INPUT;
        }
    }

    private void serve(InputStream in, OutputStream out) throws IOException, WireException {
        FrameReader reader = new FrameReader(new BufferedInputStream(in, BUFFER));
        while (reader.next()) {
            clock = reader.clock();
            reader.deliver(this);
            writer.flush(out);
        }
    }

    private Scheduler head(int head) throws WireException {
        Scheduler scheduler = heads.get(head);
        if (scheduler == null) {
            throw new WireException("event for instance " + head + ", which was never opened");
        }
        return scheduler;
    }

    @Override
    public void open(int head, long seed, String settings) throws WireException {
        try {
            heads.put(
                    head,
                    new SchedulingPolicy(
                            clock, SettingsParser.parseLines(seed, settings), writer.of(head)));
        } catch (ConfigException bad) {
            throw new WireException(bad.getMessage());
        }
    }

    @Override
    public void down(int head) throws WireException {
        head(head);
        heads.remove(head);
    }

    @Override
    public void nodes(int head, ListKind kind, List<NodeEntry> entries) throws WireException {
        head(head).updateNodes(clock, kind, entries);
    }

    @Override
    public void request(int head, Request request) throws WireException {
        head(head).handleRequest(clock, request);
    }

    @Override
    public void outcome(int head, Outcome outcome) throws WireException {
        head(head).handleOutcome(clock, outcome);
    }

    @Override
    public void withdrawn(int head, long requestId) throws WireException {
        head(head).handleWithdrawal(clock, requestId);
    }

    @Override
    public void message(int head, long fromRank, byte[] text) throws WireException {
        head(head).handlePeerMessage(clock, fromRank, text);
    }

    @Override
    public void streamStarted(int head, long requestId, int attempt, long node, long latencyUs)
            throws WireException {
        head(head).handleStreamStart(clock, requestId, attempt, node, latencyUs);
    }

    @Override
    public void probed(int head, long node, Status status, long latencyUs, float[] load)
            throws WireException {
        head(head).handleProbe(clock, node, status, latencyUs, load);
    }

    @Override
    public void timer(int head, long token) throws WireException {
        head(head).handleTimer(clock, token);
    }
}
