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
 * Accepts connections of a bound channel on an XNIO I/O thread. Replaces XNIO's own server, which
 * pauses after a failed accept for 250 ms, then for 1, 4, 16 and 30 s, while clients whose
 * connections the operating system has completed wait in the listen backlog. This class retries
 * every {@value #RETRY_MILLIS} ms. It is in XNIO's package because the constructor of a connection
 * for an accepted channel is package-private. All methods but {@link #close} must be called on the
 * I/O thread.
 */
public final class Acceptor {
    private static final int RETRY_MILLIS = 10;

    /** Connections accepted in one go, before other tasks of the thread run. */
    private static final int MAX_BATCH = 64;

    private final WorkerThread thread;
    private final ServerSocketChannel channel;
    private final Listener listener;
    private final Handle handle;
    private int maxOpen = Integer.MAX_VALUE;
    private int open;
    private boolean isResumed;
    private boolean isRetryScheduled;

    /** Receives accepted connections and failures, on the I/O thread. */
    public interface Listener {
        /** A connection was accepted; the listener owns it and must close it. */
        void accepted(StreamConnection connection);

        /** Accepting a waiting connection failed; it is retried soon. */
        void failed(IOException cause);
    }

    private final class Handle extends NioHandle {
        Handle(SelectionKey key) {
            super(thread, key);
        }

        @Override
        void handleReady(int ops) {
            acceptSome(MAX_BATCH);
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
     * Creates an acceptor that accepts nothing before {@link #resume}.
     *
     * @param channel a bound channel in non-blocking mode
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

    /** Starts accepting. */
    public void resume() {
        isResumed = true;
        update();
    }

    /**
     * Sets how many accepted connections may be open at once. At that number accepting pauses, and
     * further connections wait in the listen backlog.
     */
    public void setMaxOpen(int maxOpen) {
        this.maxOpen = maxOpen;
        update();
    }

    /**
     * Accepts the connections that wait in the backlog, whatever {@link #setMaxOpen} allows. To be
     * called just before {@link #close}, which resets those that still wait.
     *
     * @param limit how many at the most, as others may come as fast as they are accepted
     */
    public void acceptWaiting(int limit) {
        int previous = maxOpen;
        maxOpen = Integer.MAX_VALUE;
        acceptSome(limit);
        maxOpen = previous;
    }

    /**
     * Closes the channel, which resets connections that wait in its backlog; accepted ones stay
     * open. May be called on any thread.
     */
    public void close() {
        IoUtils.safeClose(channel);
        handle.cancelKey(false);
    }

    private void update() {
        if (isResumed && !isRetryScheduled && open < maxOpen) {
            handle.resume(SelectionKey.OP_ACCEPT);
        } else {
            handle.suspend(SelectionKey.OP_ACCEPT);
        }
    }

    private void acceptSome(int limit) {
        for (int i = 0; i < limit && open < maxOpen && channel.isOpen(); i++) {
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
            deliver(accepted);
        }
    }

    private void retryLater(IOException failed) {
        if (!channel.isOpen()) {
            return;
        }
        if (!isRetryScheduled) {
            isRetryScheduled = true;
            thread.executeAfter(
                    () -> {
                        isRetryScheduled = false;
                        acceptSome(MAX_BATCH);
                        update();
                    },
                    RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        listener.failed(failed);
    }

    /**
     * Passes a connection to the listener. One that breaks before that is dropped and is no reason
     * to stop accepting.
     */
    private void deliver(SocketChannel accepted) {
        StreamConnection connection;
        try {
            accepted.configureBlocking(false);
            accepted.socket().setTcpNoDelay(true);
            SelectionKey key = thread.registerChannel(accepted);
            connection = new NioSocketStreamConnection(thread, key, this::onConnectionClosed);
        } catch (IOException broken) {
            IoUtils.safeClose(accepted);
            return;
        }
        open++;
        listener.accepted(connection);
    }

    private void onConnectionClosed() {
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
