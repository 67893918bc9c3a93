package cypressglade.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * A UDP socket that is read on the I/O thread. Datagrams that the network or a full buffer drops
 * are not sent again.
 */
public final class UdpSocket implements AutoCloseable {
    /**
     * The longest datagram, in bytes: fits into an Ethernet frame and leaves room for tunnel
     * headers.
     */
    public static final int MAX_DATAGRAM_BYTES = 1400;

    /**
     * Bounds one read event, so that a flood of datagrams does not starve the other connections.
     */
    private static final int MAX_DATAGRAMS_PER_EVENT = 16;

    private final ByteBuffer input = ByteBuffer.allocate(MAX_DATAGRAM_BYTES + 1);
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private final MulticastMessageChannel channel;
    private final Receiver receiver;

    /** Receives datagrams on the I/O thread. */
    public interface Receiver {
        /**
         * A datagram arrived. One that is longer than {@link #MAX_DATAGRAM_BYTES} is truncated to
         * one byte more than that.
         */
        void received(InetSocketAddress from, byte[] datagram);
    }

    UdpSocket(EventLoop loop, XnioWorker worker, InetSocketAddress address, Receiver receiver)
            throws IOException {
        this.receiver = receiver;
        channel = worker.createUdpServer(address, null, OptionMap.EMPTY);
        channel.getReadSetter().set(readable -> loop.budget().run(this, this::receive));
        channel.resumeReads();
    }

    private void receive() {
        try {
            for (int i = 0; i < MAX_DATAGRAMS_PER_EVENT; i++) {
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
            // such as an ICMP error caused by an earlier send; the next receive works again
        }
    }

    /**
     * Sends a datagram; may be called from any thread.
     *
     * @return whether the socket accepted it; false where its buffer is full or the address is
     *     unreachable
     */
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
