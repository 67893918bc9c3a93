package cypressglade.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import org.xnio.nio.Acceptor;

/** An open listener. Its connections are handed over on the I/O thread. */
public final class ListeningSocket implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ListeningSocket.class.getName());

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Acceptor acceptor;
    private int failures; // since the last one that was accepted

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
                                // behind what was told before it came
                                loop.execute(() -> accepted.accept(connection));
                            }

                            @Override
                            public void failed(IOException why) {
                                noteFailed(why);
                            }
                        });
    }

    private void noteFailed(IOException why) {
        if (failures++ == 0) { // a series is told once, and its end
            LOG.log(
                    System.Logger.Level.WARNING,
                    "accept on {0} fails: {1}",
                    address,
                    why.getMessage());
        }
    }

    private void noteAccepted() {
        if (failures > 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "accept on {0} works again after {1} failures",
                    address,
                    failures);
            failures = 0;
        }
    }

    /** Accepts from now on. */
    public void resume() {
        loop.execute(acceptor::resume);
    }

    /** Accepts no more than so many at a time; whoever comes beyond that waits in the backlog. */
    public void setMaxConnections(int most) {
        loop.execute(() -> acceptor.bound(most));
    }

    /**
     * Accepts all that wait in the backlog, and closes: on the I/O thread, at once, so that nobody
     * comes between.
     */
    public void acceptWaitingAndClose() {
        acceptor.acceptWaiting();
        acceptor.close();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        acceptor.close();
    }
}
