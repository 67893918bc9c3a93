package rig;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A network path between two sides. Once it is cut it carries nothing any more, neither bytes nor
 * the end of a connection, and what is open stays open and silent.
 */
public final class Cut extends Server {
    private final InetSocketAddress target;
    private volatile boolean isCut;

    public Cut(InetSocketAddress target) throws IOException {
        super(0);
        this.target = target;
    }

    public void cut() {
        isCut = true;
    }

    @Override
    protected void talk(Socket near, DataInputStream in, DataOutputStream out) throws Exception {
        Socket far = new Socket(target.getAddress(), target.getPort());
        far.setTcpNoDelay(true);
        daemon(() -> carry(far, near));
        carry(near, far);
        while (isCut) {
            Rig.pause(1000); // holds both sides open
        }
    }

    private void carry(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16 * 1024];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (isCut) {
                    return;
                }
                out.write(bytes, 0, count);
            }
            if (!isCut) {
                to.close();
            }
        } catch (IOException ended) {
            // on one of the sides
        }
    }
}
