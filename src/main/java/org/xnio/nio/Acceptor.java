package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Accepts connections of a bound channel on an XNIO I/O thread, in place of XNIO's own server: that
 * one waits after a failed accept for 250 ms, then 1, 4, 16 and 30 s, while clients that the
 * machine has accepted stand in the backlog. This one tries again every {@value #RETRY_MS} ms. It
 * is in XNIO's package since a connection of an accepted channel cannot be made from elsewhere. All
 * methods but {@link #close} are the I/O thread's.
 */
public final class Acceptor {
    private static final int RETRY_MS = 10;

    /** Accepted before others on the thread have their turn. */
    private static final int MOST_AT_ONCE = 64;

    private final WorkerThread thread;
    private final ServerSocketChannel channel;
    private final Listener listener;
    private final Handle handle;
    private int most = Integer.MAX_VALUE;
    private int open;
    private boolean resumed;
    private boolean waiting;

    /** Hears what comes of it, on the I/O thread. */
    public interface Listener {
        /** A connection was accepted; the hearer owns it. */
        void accepted(StreamConnection connection);

        /** The machine accepted none though one waits; it is tried again soon. */
        void failed(IOException why);
    }

    private final class Handle extends NioHandle {
        Handle(SelectionKey key) {
            super(thread, key);
        }

        @Override
        void handleReady(int ops) {
            acceptSome(MOST_AT_ONCE);
            update();
        }

        @Override
        void forceTermination() {
            IoUtils.safeClose(channel);
        }

        @Override
        void terminated() {}
    }

    /**
     * Of a channel that is bound and does not block; accepts nothing before {@link #resume}.
     *
     * @throws IOException where the channel is closed
     */
    public Acceptor(XnioIoThread thread, ServerSocketChannel channel, Listener listener)
            throws IOException {
        this.thread = (WorkerThread) thread;
        this.channel = channel;
        this.listener = listener;
        SelectionKey key = this.thread.registerChannel(channel);
        handle = new Handle(key);
        key.attach(handle);
    }

    /** Accepts from now on. */
    public void resume() {
        resumed = true;
        update();
    }

    /**
     * Accepts no more while so many connections are open; whoever comes then waits in the backlog.
     */
    public void setMaxOpen(int mostOpen) {
        most = mostOpen;
        update();
    }

    /**
     * Accepts all that wait now, beyond the bound too: for the moment before the channel is closed.
     */
    public void acceptWaiting() {
        int before = most;
        most = Integer.MAX_VALUE;
        acceptSome(Integer.MAX_VALUE);
        most = before;
    }

    /** Gives the channel back; who waits in its backlog is reset. From any thread. */
    public void close() {
        IoUtils.safeClose(channel);
        handle.cancelKey(false);
    }

    private void update() {
        if (resumed && !waiting && open < most) {
            handle.resume(SelectionKey.OP_ACCEPT);
        } else {
            handle.suspend(SelectionKey.OP_ACCEPT);
        }
    }

    private void acceptSome(int atMost) {
        for (int i = 0; i < atMost && open < most && channel.isOpen(); i++) {
            SocketChannel accepted;
            try {
                accepted = channel.accept();
            } catch (IOException failed) {
                retryLater(failed);
                return;
            }
            if (accepted == null) {
                return;
            }
            hand(accepted);
        }
    }

    private void retryLater(IOException failed) {
        if (!channel.isOpen()) {
            return;
        }
        if (!waiting) {
            waiting = true;
            thread.executeAfter(
                    () -> {
                        waiting = false;
                        acceptSome(MOST_AT_ONCE);
                        update();
                    },
                    RETRY_MS,
                    TimeUnit.MILLISECONDS);
        }
        listener.failed(failed);
    }

    /** One that broke before it could be used takes nobody else's turn. */
    private void hand(SocketChannel accepted) {
        StreamConnection connection;
        try {
            accepted.configureBlocking(false);
            accepted.socket().setTcpNoDelay(true);
            SelectionKey key = thread.registerChannel(accepted);
            connection = new NioSocketStreamConnection(thread, key, this::closed);
        } catch (IOException broken) {
            IoUtils.safeClose(accepted);
            return;
        }
        open++;
        listener.accepted(connection);
    }

    private void closed() {
        if (Thread.currentThread() == thread) {
            open--;
            update();
        } else {
            thread.execute(
                    () -> {
                        open--;
                        update();
                    });
        }
    }
}
