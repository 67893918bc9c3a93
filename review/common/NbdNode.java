import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A storage node that is an NBD server, after the public specification: fixed newstyle handshake,
 * simple replies, and a volatile write cache, so that it offers FLUSH. A write is acknowledged from
 * the cache; a flush makes it lasting; what is only in the cache is gone when the process dies.
 */
final class NbdNode extends Server {
    static final int READ = 0;
    static final int WRITE = 1;
    static final int DISC = 2;
    static final int FLUSH = 3;
    static final List<String> NAMES = List.of("READ", "WRITE", "DISC", "FLUSH");

    /** A command that came whole. */
    record Command(int type, long offset, int length, byte first, long atNanos) {}

    final List<Command> commands = new CopyOnWriteArrayList<>();
    volatile Script script = command -> true;
    private final Trial trial;
    private final String name;
    private byte[] cache;
    private final byte[] lasting;

    /** Called once a command has run; false means no reply, an exception resets the connection. */
    interface Script {
        boolean reply(Command command) throws Exception;
    }

    NbdNode(Trial trial, String name, int size) throws IOException {
        this.trial = trial;
        this.name = name;
        lasting = new byte[size];
        cache = new byte[size];
    }

    /** The process dies: the cache is lost. */
    void crash() throws IOException {
        trial.note(name, "dies: resets its connections, loses its cache");
        die();
        synchronized (this) {
            cache = lasting.clone();
        }
    }

    /** The process is started again, at the same address. */
    void restart() throws IOException {
        trial.note(name, "is back");
        listen();
    }

    @Override
    void talk(InputStream from, OutputStream to) throws Exception {
        DataInputStream in = new DataInputStream(from);
        DataOutputStream out = new DataOutputStream(to);
        out.writeLong(0x4e42444d41474943L);
        out.writeLong(0x49484156454f5054L);
        out.writeShort(3);
        boolean omitsZeroes = (in.readInt() & 2) != 0;
        while (!option(in, out, omitsZeroes)) {
            out.flush();
        }
        out.flush();
        while (true) {
            in.readInt();
            in.readShort();
            int type = in.readUnsignedShort();
            long cookie = in.readLong();
            long offset = in.readLong();
            int length = in.readInt();
            if (type == DISC) {
                return;
            }
            byte[] data = new byte[type == WRITE ? length : 0];
            in.readFully(data);
            byte[] read = run(type, offset, length, data);
            Command command =
                    new Command(
                            type, offset, length, data.length > 0 ? data[0] : 0, System.nanoTime());
            commands.add(command);
            trial.note(
                    name,
                    "runs " + NAMES.get(type) + " offset " + offset + " length " + length
                            + (data.length > 0 ? " of byte " + data[0] : ""));
            if (script.reply(command)) {
                out.writeInt(0x67446698);
                out.writeInt(0);
                out.writeLong(cookie);
                out.write(read);
                out.flush();
            }
        }
    }

    private synchronized byte[] run(int type, long offset, int length, byte[] data) {
        byte[] read = new byte[type == READ ? length : 0];
        System.arraycopy(cache, (int) offset, read, 0, read.length);
        System.arraycopy(data, 0, cache, (int) offset, data.length);
        if (type == FLUSH) {
            System.arraycopy(cache, 0, lasting, 0, cache.length);
        }
        return read;
    }

    private boolean option(DataInputStream in, DataOutputStream out, boolean omitsZeroes)
            throws IOException {
        in.readLong();
        int option = in.readInt();
        in.skipNBytes(in.readInt());
        if (option == 1) {
            out.writeLong(lasting.length);
            out.writeShort(5);
            out.write(new byte[omitsZeroes ? 0 : 124]);
            return true;
        }
        if (option == 6 || option == 7) {
            reply(out, option, 3, 12);
            out.writeShort(0);
            out.writeLong(lasting.length);
            out.writeShort(5);
            reply(out, option, 1, 0);
        } else {
            reply(out, option, 0x80000001, 0);
        }
        return option == 7;
    }

    private static void reply(DataOutputStream out, int option, int type, int length)
            throws IOException {
        out.writeLong(0x3e889045565a9L);
        out.writeInt(option);
        out.writeInt(type);
        out.writeInt(length);
    }
}
