package cypressglade.net;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/**
 * The platform's channels, with SO_REUSEPORT on the listener that {@link #sharing} opens: so that an upgrade
 * starts a second process on the clients' port while the first still listens there, and the kernel deals new
 * connections to both. XNIO opens and binds its listeners in one call and has no option for it; this provider
 * is where the channel can be reached between the two. Everything else is the platform's own.
 *
 * <p>The JVM is told of it by
 * {@code -Djava.nio.channels.spi.SelectorProvider=cypressglade.net.ReusePort}, and must let it reach the
 * platform's provider: {@code --add-exports java.base/sun.nio.ch=ALL-UNNAMED}.
 * {@code deploy/run.sh} gives both; without them a listener binds as before, alone on its port.
 */
public final class ReusePort extends SelectorProvider {
    private static final ThreadLocal<Boolean> WANTED = ThreadLocal.withInitial(() -> false);

    private final SelectorProvider platform;

    /** A call that opens and binds a listener. */
    public interface Bind<T> {
        T call() throws IOException;
    }

    /**
     * Made by the JDK when it is named.
     *
     * @throws IllegalStateException where the JVM does not export the platform's provider to this class
     */
    public ReusePort() {
        try {
            platform = (SelectorProvider) Class.forName("sun.nio.ch.DefaultSelectorProvider").getMethod("get")
                    .invoke(null);
        } catch (ReflectiveOperationException | RuntimeException closed) {
            throw new IllegalStateException("the platform's channels cannot be reached: start the JVM with"
                    + " --add-exports java.base/sun.nio.ch=ALL-UNNAMED (see deploy/run.sh)", closed);
        }
    }

    /** Whether listeners opened by {@link #sharing} can share their port. */
    public static boolean installed() {
        return SelectorProvider.provider() instanceof ReusePort;
    }

    /** Opens and binds, on this thread, with SO_REUSEPORT on what is opened meanwhile where it can be had. */
    public static <T> T sharing(Bind<T> bind) throws IOException {
        WANTED.set(true);
        try {
            return bind.call();
        } finally {
            WANTED.remove();
        }
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return shared(platform.openServerSocketChannel());
    }

    @Override
    public ServerSocketChannel openServerSocketChannel(ProtocolFamily family) throws IOException {
        return shared(platform.openServerSocketChannel(family));
    }

    private static ServerSocketChannel shared(ServerSocketChannel channel) throws IOException {
        if (WANTED.get()) {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        return channel;
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return platform.openDatagramChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return platform.openDatagramChannel(family);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return platform.openPipe();
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        return platform.openSelector();
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return platform.openSocketChannel();
    }

    @Override
    public SocketChannel openSocketChannel(ProtocolFamily family) throws IOException {
        return platform.openSocketChannel(family);
    }

    @Override
    public Channel inheritedChannel() throws IOException {
        return platform.inheritedChannel();
    }
}
