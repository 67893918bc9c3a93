import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback port, one thread a connection. It can go away and come back. */
abstract class Server {
    final int port;
    private ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server() throws IOException {
        port = Trial.freePort();
        listen();
    }

    /** Talks on one connection until it ends; an exception resets the connection. */
    abstract void talk(InputStream in, OutputStream out) throws Exception;

    final synchronized void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 50);
        listener = socket;
        Thread thread = new Thread(() -> accept(socket), "accept");
        thread.setDaemon(true);
        thread.start();
    }

    /** As a process that dies: refuses new connections and resets the open ones. */
    final synchronized void die() throws IOException {
        listener.close();
        for (Socket socket : open) {
            reset(socket);
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void accept(ServerSocket socket) {
        try {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                open.add(connection);
                Thread thread = new Thread(() -> serve(connection), "connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // the server went away
        }
    }

    private void serve(Socket connection) {
        try {
            talk(connection.getInputStream(), connection.getOutputStream());
            connection.close();
        } catch (Exception over) {
            try {
                reset(connection);
            } catch (IOException gone) {
                // it is closed already
            }
        } finally {
            open.remove(connection);
        }
    }
}
