package rig;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A storage node that is an NBD server, after the public specification: fixed newstyle, simple
 * replies, and a write cache that NBD_CMD_FLUSH makes permanent, as NBD_FLAG_SEND_FLUSH tells.
 */
public final class NbdNode extends Server {
    public static final int READ = 0;
    public static final int WRITE = 1;
    public static final int FLUSH = 3;

    /** A command as it came. */
    public record Command(int type, long offset, int length, int first, double at) {}

    /** What becomes of a command; the ordinary answer is {@link #serve}. */
    public interface Script {
        void answer(NbdNode node, Command command, long cookie, Socket socket, DataOutputStream out)
                throws Exception;
    }

    public final byte[] cached;
    public final byte[] permanent;
    public final List<Command> commands = new CopyOnWriteArrayList<>();
    public volatile Script script = NbdNode::serve;
    private final Rig rig;
    private final String name;

    public NbdNode(Rig rig, String name, int size) throws IOException {
        super(0);
        this.rig = rig;
        this.name = name;
        cached = new byte[size];
        permanent = new byte[size];
    }

    @Override
    protected void talk(Socket socket, DataInputStream in, DataOutputStream out) throws Exception {
        out.writeLong(0x4e42444d41474943L);
        out.writeLong(0x49484156454f5054L);
        out.writeShort(3);
        in.readInt();
        boolean isOpen = false;
        while (!isOpen) {
            in.readLong();
            int option = in.readInt();
            in.skipNBytes(in.readInt());
            if (option == 1) {
                out.writeLong(cached.length);
                out.writeShort(5);
                isOpen = true;
            } else if (option == 7) {
                reply(out, option, 3, 12);
                out.writeShort(0);
                out.writeLong(cached.length);
                out.writeShort(5);
                reply(out, option, 1, 0);
                isOpen = true;
            } else {
                reply(out, option, 0x80000001, 0);
            }
        }
        while (true) {
            in.readInt();
            in.readShort();
            int type = in.readUnsignedShort();
            long cookie = in.readLong();
            long offset = in.readLong();
            int length = in.readInt();
            if (type == 2) {
                return;
            }
            byte[] data = new byte[type == WRITE ? length : 0];
            in.readFully(data);
            Command command = new Command(type, offset, length, data.length > 0 ? data[0] : 0, rig.now());
            commands.add(command);
            rig.note(
                    name + " got " + (type == READ ? "READ" : type == WRITE ? "WRITE" : "FLUSH")
                            + " offset=" + offset + " length=" + length
                            + (data.length > 0 ? " first byte=" + data[0] : ""));
            synchronized (this) {
                if (type == WRITE) {
                    System.arraycopy(data, 0, cached, (int) offset, length);
                }
            }
            script.answer(this, command, cookie, socket, out);
        }
    }

    private static void reply(DataOutputStream out, int option, int type, int length)
            throws IOException {
        out.writeLong(0x3e889045565a9L);
        out.writeInt(option);
        out.writeInt(type);
        out.writeInt(length);
    }

    /** The ordinary answer. */
    public static void serve(
            NbdNode node, Command command, long cookie, Socket socket, DataOutputStream out)
            throws IOException {
        Rig.pause(5);
        byte[] data = new byte[command.type() == READ ? command.length() : 0];
        synchronized (node) {
            if (command.type() == READ) {
                System.arraycopy(node.cached, (int) command.offset(), data, 0, command.length());
            } else if (command.type() == FLUSH) {
                System.arraycopy(node.cached, 0, node.permanent, 0, node.cached.length);
            }
        }
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        DataOutputStream whole = new DataOutputStream(bytes);
        whole.writeInt(0x67446698);
        whole.writeInt(0);
        whole.writeLong(cookie);
        whole.write(data);
        out.write(bytes.toByteArray());
        out.flush();
    }

    public long count(int type) {
        return commands.stream().filter(one -> one.type() == type).count();
    }
}
