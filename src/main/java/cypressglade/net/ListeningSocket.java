package cypressglade.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import org.xnio.nio.Acceptor;

/** A bound TCP socket that passes each accepted connection to a consumer on the I/O thread. */
public final class ListeningSocket implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ListeningSocket.class.getName());

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Acceptor acceptor;
    private int consecutiveFailures;

    ListeningSocket(
            EventLoop loop, ServerSocketChannel channel, Consumer<StreamConnection> accepted)
            throws IOException {
        this.loop = loop;
        address = (InetSocketAddress) channel.getLocalAddress();
        acceptor =
                new Acceptor(
                        loop.io(),
                        channel,
                        new Acceptor.Listener() {
                            @Override
                            public void accepted(StreamConnection connection) {
                                noteAccepted();
                                // queued, so that it runs after the tasks queued before it
                                loop.execute(() -> accepted.accept(connection));
                            }

                            @Override
                            public void failed(IOException failure) {
                                noteFailed(failure);
                            }
                        });
    }

    private void noteFailed(IOException failure) {
        if (consecutiveFailures++ == 0) { // logs only the first failure of a series, and its end
            LOG.log(
                    System.Logger.Level.WARNING,
                    "accept on {0} fails: {1}",
                    address,
                    failure.getMessage());
        }
    }

    private void noteAccepted() {
        if (consecutiveFailures > 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "accept on {0} works again after {1} failures",
                    address,
                    consecutiveFailures);
            consecutiveFailures = 0;
        }
    }

    /** Starts to accept connections; may be called from any thread. */
    public void resume() {
        loop.execute(acceptor::resume);
    }

    /**
     * Bounds the accepted connections that are open at a time; further ones wait in the accept
     * backlog. May be called from any thread.
     */
    public void setMaxConnections(int max) {
        loop.execute(() -> acceptor.setMaxOpen(max));
    }

    /**
     * Accepts the connections that wait in the backlog, then closes the socket. Must be called on
     * the I/O thread; both happen in one task, which keeps the time short in which another
     * connection could arrive and be lost.
     */
    public void acceptWaitingAndClose() {
        acceptor.acceptWaiting(2 * EventLoop.ACCEPT_BACKLOG);
        acceptor.close();
    }

    /** The local address that it is bound to. */
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        acceptor.close();
    }
}
