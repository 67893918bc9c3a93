package rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening stand-in: a thread for each connection, on a loopback address. */
public abstract class Server implements AutoCloseable {
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    protected Server(int port) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        daemon(this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Talks on one connection until it ends; an exception closes it. */
    protected abstract void talk(Socket socket, DataInputStream in, DataOutputStream out)
            throws Exception;

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            talk(
                    socket,
                    new DataInputStream(new BufferedInputStream(socket.getInputStream())),
                    new DataOutputStream(socket.getOutputStream()));
        } catch (Exception ended) {
            // by the other side, or on purpose
        } finally {
            open.remove(socket);
        }
    }

    protected static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Resets a connection, as a dying process does. */
    protected static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
