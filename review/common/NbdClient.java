import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An NBD client with simple replies. */
final class NbdClient implements AutoCloseable {
    private final Trial trial;
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private long lastCookie;

    NbdClient(Trial trial, int port, String export) throws IOException {
        this.trial = trial;
        socket = Http.connect(port);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        in.readLong();
        in.readLong();
        in.readShort();
        out.writeInt(3);
        byte[] name = export.getBytes(StandardCharsets.UTF_8);
        out.writeLong(0x49484156454f5054L);
        out.writeInt(7);
        out.writeInt(4 + name.length + 2);
        out.writeInt(name.length);
        out.write(name);
        out.writeShort(0);
        out.flush();
        while (true) {
            in.readLong();
            in.readInt();
            int type = in.readInt();
            in.skipNBytes(in.readInt());
            if (type == 1) {
                return;
            } else if (type < 0) {
                throw new IOException("the export is refused: " + Integer.toHexString(type));
            }
        }
    }

    /** Sends a command; data only for a write. Returns its cookie. */
    long send(int type, long offset, int length, byte[] data) throws IOException {
        out.writeInt(0x25609513);
        out.writeShort(0);
        out.writeShort(type);
        out.writeLong(++lastCookie);
        out.writeLong(offset);
        out.writeInt(length);
        out.write(data);
        out.flush();
        trial.note(
                "client",
                "sends " + NbdNode.NAMES.get(type) + " offset " + offset + " length " + length);
        return lastCookie;
    }

    /** Reads one reply to a command without data; returns its error. */
    int reply() throws IOException {
        in.readInt();
        int error = in.readInt();
        in.readLong();
        return error;
    }

    int write(long offset, int length, int value) throws IOException {
        byte[] data = new byte[length];
        Arrays.fill(data, (byte) value);
        send(NbdNode.WRITE, offset, length, data);
        return reply();
    }

    int flush() throws IOException {
        send(NbdNode.FLUSH, 0, 0, new byte[0]);
        return reply();
    }

    /** Reads and returns the data. */
    byte[] read(long offset, int length) throws IOException {
        send(NbdNode.READ, offset, length, new byte[0]);
        int error = reply();
        if (error != 0) {
            throw new IOException("read answered with error " + error);
        }
        byte[] data = new byte[length];
        in.readFully(data);
        return data;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
