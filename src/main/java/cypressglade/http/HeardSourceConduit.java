package cypressglade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Tells of bytes that are read from a connection, whoever reads them. */
final class HeardSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final Runnable heard;

    HeardSourceConduit(StreamSourceConduit next, Runnable heard) {
        super(next);
        this.heard = heard;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        return (int) heard(super.read(to));
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        return heard(super.read(to, offset, length));
    }

    private long heard(long got) {
        if (got > 0) {
            heard.run();
        }
        return got;
    }
}
