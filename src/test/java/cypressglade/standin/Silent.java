package cypressglade.standin;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/** Takes everything and says nothing; counts what came beside probes. */
public final class Silent extends StandIn {
    public final AtomicLong requests = new AtomicLong();

    @Override
    protected void talk(DataInputStream in, DataOutputStream out) throws IOException {
        while (true) {
            if (!HttpPeer.Message.read(in).first().startsWith("GET /healthz")) {
                requests.incrementAndGet();
            }
        }
    }
}
