package rig;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Discovery's agent: answers a watch by the whole list, then an empty line every 2 s. */
public final class Discovery extends Server {
    private volatile String servers = "";
    private volatile long version = 1;

    public Discovery() throws IOException {
        super(0);
    }

    /** The list from now on, entries joined by commas. */
    public synchronized void list(String entries) {
        servers = entries;
        version++;
        notifyAll();
    }

    @Override
    protected void talk(Socket socket, DataInputStream in, DataOutputStream out) throws Exception {
        if (Rig.Message.read(in) == null) {
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        long told = 0;
        while (true) {
            String line;
            synchronized (this) {
                line = "";
                if (told != version) {
                    told = version;
                    line = "{\"version\":" + told + ",\"full\":true,\"servers\":[" + servers + "]}";
                }
            }
            byte[] bytes = (line + "\n").getBytes(StandardCharsets.US_ASCII);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            synchronized (this) {
                if (told == version) {
                    wait(2000);
                }
            }
        }
    }
}
