package cypressglade.standin;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * An NBD server over an array, after the public specification; a script can take over any command.
 */
public final class NbdPeer extends StandIn {
    public final LinkedBlockingQueue<Command> commands = new LinkedBlockingQueue<>();
    public final byte[] disk;
    public volatile Script script = NbdPeer::serve;
    public volatile Gate beforeGo = () -> {};
    private final boolean modern;

    /** A command as it came. */
    public record Command(int type, long cookie, long offset, int length) {}

    /** Answers a command; throwing ends the connection. */
    public interface Script {
        void answer(NbdPeer peer, Command command, DataOutputStream out) throws Exception;
    }

    /** Something to wait for. */
    public interface Gate {
        void pass() throws Exception;
    }

    /** One that is not modern knows neither GO nor structured replies. */
    public NbdPeer(int size, boolean modern) {
        disk = new byte[size];
        this.modern = modern;
    }

    /** The ordinary answer. */
    public static void serve(NbdPeer peer, Command command, DataOutputStream out)
            throws IOException {
        if (!peer.modern) {
            simple(command, 0, out);
            if (command.type() == 0) {
                out.write(peer.disk, (int) command.offset(), command.length());
            }
        } else if (command.type() == 0) {
            int half = command.length() / 2; // in two chunks, the second part first
            chunk(command, 0, 1, 8 + command.length() - half, out);
            out.writeLong(command.offset() + half);
            out.write(peer.disk, (int) command.offset() + half, command.length() - half);
            chunk(command, 1, 1, 8 + half, out);
            out.writeLong(command.offset());
            out.write(peer.disk, (int) command.offset(), half);
        } else {
            chunk(command, 1, 0, 0, out);
        }
    }

    public static void simple(Command command, int error, DataOutputStream out) throws IOException {
        out.writeInt(0x67446698);
        out.writeInt(error);
        out.writeLong(command.cookie());
    }

    public static void chunk(Command command, int flags, int type, int length, DataOutputStream out)
            throws IOException {
        out.writeInt(0x668e33ef);
        out.writeShort(flags);
        out.writeShort(type);
        out.writeLong(command.cookie());
        out.writeInt(length);
    }

    @Override
    protected void talk(DataInputStream in, DataOutputStream out) throws Exception {
        out.writeLong(0x4e42444d41474943L);
        out.writeLong(0x49484156454f5054L);
        out.writeShort(3);
        out.flush();
        in.readInt();
        while (!option(in, out)) {
            out.flush();
        }
        while (true) {
            out.flush();
            in.readInt();
            in.readShort();
            Command command =
                    new Command(in.readUnsignedShort(), in.readLong(), in.readLong(), in.readInt());
            if (command.type() == 1) {
                in.readFully(disk, (int) command.offset(), command.length());
            } else if (command.type() == 2) {
                return;
            }
            commands.add(command);
            script.answer(this, command, out);
        }
    }

    private boolean option(DataInputStream in, DataOutputStream out) throws Exception {
        in.readLong();
        int option = in.readInt();
        in.skipNBytes(in.readInt());
        if (option == 1) {
            out.writeLong(disk.length);
            out.writeShort(5);
            return true;
        }
        if (option == 7) {
            beforeGo.pass();
        }
        if (modern && option == 7) {
            reply(option, 3, 12, out);
            out.writeShort(0);
            out.writeLong(disk.length);
            out.writeShort(5);
        }
        reply(option, modern ? 1 : 0x80000001, 0, out);
        return modern && option == 7;
    }

    private static void reply(int option, int type, int length, DataOutputStream out)
            throws IOException {
        out.writeLong(0x3e889045565a9L);
        out.writeInt(option);
        out.writeInt(type);
        out.writeInt(length);
    }
}
