package cypressglade.standin;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/** A storage node that takes its time by the unit, two requests at once, and can fall silent. */
public final class StorageNode extends StandIn {
    private static final int LANES = 2;

    /** Each request as it came, probes apart. */
    public final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    public volatile double msPerUnit;
    public volatile boolean silent;
    private final Semaphore lanes = new Semaphore(LANES, true);

    /** When, on the JVM's own clock, on whose volume, and of how many units. */
    public record Arrival(long nanos, String volume, double units) {}

    public StorageNode(double msPerUnit, boolean silent) {
        this.msPerUnit = msPerUnit;
        this.silent = silent;
    }

    @Override
    protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
        while (true) {
            HttpPeer.Message request = HttpPeer.Message.read(in);
            boolean probe = request.first().startsWith("GET /healthz");
            double units = 0;
            if (!probe) {
                String info = request.headers().getOrDefault("io-info", "units=1");
                units = Double.parseDouble(info.replaceAll(".*units=([0-9.]+).*", "$1"));
                arrivals.add(new Arrival(System.nanoTime(), request.first().split("/")[2], units));
            }
            if (silent) {
                continue;
            }
            if (!probe) {
                lanes.acquire();
                try {
                    Thread.sleep((long) (units * msPerUnit), (int) (units * msPerUnit % 1 * 1e6));
                } finally {
                    lanes.release();
                }
            }
            HttpPeer.answer(200, "", "ok").answer(request, out);
        }
    }

    /** Units that came for a volume since a time. */
    public double units(String volume, long sinceNanos) {
        return arrivals.stream()
                .filter(one -> one.volume().equals(volume) && one.nanos() >= sinceNanos)
                .mapToDouble(Arrival::units)
                .sum();
    }
}
