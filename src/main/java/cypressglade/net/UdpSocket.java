package cypressglade.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** A UDP socket on the I/O thread. What the network or a full buffer loses is lost. */
public final class UdpSocket implements AutoCloseable {
    /** Fits an Ethernet frame with room for tunnels. */
    public static final int MAX_DATAGRAM_BYTES = 1400;

    /** Taken at a time, so that a flood leaves the I/O thread to the others in between. */
    private static final int AT_A_TIME = 16;

    private final ByteBuffer input = ByteBuffer.allocate(MAX_DATAGRAM_BYTES + 1);
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private final MulticastMessageChannel channel;
    private final Receiver receiver;

    /**
     * Hears what comes, on the I/O thread; a datagram over the bound comes cut off at one byte
     * more.
     */
    public interface Receiver {
        void received(InetSocketAddress from, byte[] datagram);
    }

    UdpSocket(XnioWorker worker, InetSocketAddress address, Receiver receiver) throws IOException {
        this.receiver = receiver;
        channel = worker.createUdpServer(address, null, OptionMap.EMPTY);
        channel.getReadSetter().set(readable -> receive());
        channel.resumeReads();
    }

    private void receive() {
        try {
            for (int i = 0; i < AT_A_TIME; i++) {
                input.clear();
                sender.clear();
                if (channel.receiveFrom(sender, input) <= 0) {
                    return;
                }
                byte[] datagram = new byte[input.flip().remaining()];
                input.get(datagram);
                receiver.received((InetSocketAddress) sender.getSourceAddress(), datagram);
            }
        } catch (IOException broken) {
            // such as an ICMP error of what was sent before: the next receive goes on
        }
    }

    /** Sends from any thread; false where the socket takes nothing now. */
    public boolean send(InetSocketAddress to, byte[] datagram) {
        try {
            return channel.sendTo(to, ByteBuffer.wrap(datagram));
        } catch (IOException unreachable) {
            return false;
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
