package rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An NBD client, after the public specification: GO, simple replies. */
public final class NbdClient implements AutoCloseable {
    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;

    /** A reply: the command's cookie, the error (0 for none) and the data of a read. */
    public record Reply(long cookie, int error, byte[] data) {}

    public NbdClient(InetSocketAddress to, String export) throws IOException {
        try {
            socket.connect(to, 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            out = new DataOutputStream(new java.io.BufferedOutputStream(socket.getOutputStream()));
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
                    break;
                }
                if (type < 0) {
                    throw new IOException("GO was refused: 0x" + Integer.toHexString(type));
                }
            }
        } catch (IOException failed) {
            socket.close();
            throw failed;
        }
    }

    public void send(int type, long cookie, long offset, int length, byte[] data)
            throws IOException {
        out.writeInt(0x25609513);
        out.writeShort(0);
        out.writeShort(type);
        out.writeLong(cookie);
        out.writeLong(offset);
        out.writeInt(length);
        out.write(data);
        out.flush();
    }

    /** Reads the next reply to a command that reads so many bytes. */
    public Reply receive(int readLength, int milliseconds) throws IOException {
        socket.setSoTimeout(milliseconds);
        in.readInt();
        int error = in.readInt();
        long cookie = in.readLong();
        byte[] data = new byte[error == 0 ? readLength : 0];
        in.readFully(data);
        return new Reply(cookie, error, data);
    }

    public Reply write(long cookie, long offset, byte[] data, int milliseconds) throws IOException {
        send(NbdNode.WRITE, cookie, offset, data.length, data);
        return receive(0, milliseconds);
    }

    public Reply read(long cookie, long offset, int length, int milliseconds) throws IOException {
        send(NbdNode.READ, cookie, offset, length, new byte[0]);
        return receive(length, milliseconds);
    }

    public Reply flush(long cookie, int milliseconds) throws IOException {
        send(NbdNode.FLUSH, cookie, 0, 0, new byte[0]);
        return receive(0, milliseconds);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
