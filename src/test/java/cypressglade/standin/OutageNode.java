package cypressglade.standin;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A storage node that can be away, breaking what is open, and comes back slower than it was for a
 * while. Counts how often each piece was run: a request that came whole has run, whether its answer
 * got through or not.
 */
public final class OutageNode extends StandIn {
    private static final int LANES = 2;
    private static final double COLD = 0.31;
    private static final double RAMP_NS = 5e9;

    public final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** When requests came since the node was back, on the JVM's own clock. */
    public final Queue<Long> sinceBack = new ConcurrentLinkedQueue<>();

    private final double millis;
    private final int losesEvery;
    private final AtomicInteger answers = new AtomicInteger();
    private final Semaphore lanes = new Semaphore(LANES, true);
    private volatile boolean away;
    private volatile long back;

    /**
     * One that takes so long for a request when it is warm, and loses every so manyth answer, 0 for
     * none.
     */
    public OutageNode(double millis, int losesEvery) {
        this.millis = millis;
        this.losesEvery = losesEvery;
    }

    /** Goes away, or comes back cold. */
    public void away(boolean gone) throws IOException {
        if (!gone) {
            back = System.nanoTime();
        }
        away = gone;
        if (gone) {
            breakAll();
        }
    }

    /** When it came back, 0 where it was never away. */
    public long back() {
        return back;
    }

    /** Requests a second that it can do at a time. */
    public double speed(long nanos) {
        double warm = back == 0 ? 1 : Math.min(1, COLD + (1 - COLD) * (nanos - back) / RAMP_NS);
        return warm * LANES * 1000 / millis;
    }

    @Override
    protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
        while (!away) {
            HttpPeer.Message request = HttpPeer.Message.read(in);
            if (away) {
                return;
            }
            if (!request.first().startsWith("GET /healthz")) {
                if (request.first().startsWith("PUT")) {
                    runs.merge(request.body(), 1, Integer::sum);
                }
                long now = System.nanoTime();
                if (back != 0) {
                    sinceBack.add(now);
                }
                lanes.acquire();
                try {
                    long nanos = (long) (LANES * 1e9 / speed(now));
                    Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
                } finally {
                    lanes.release();
                }
            }
            if (away || losesEvery > 0 && answers.incrementAndGet() % losesEvery == 0) {
                return;
            }
            HttpPeer.answer(200, "", "ok").answer(request, out);
        }
    }
}
