package cypressglade.standin;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.UnknownHostException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small server on a loopback port of its own, one thread a connection; each kind says what it
 * speaks.
 */
public abstract class StandIn implements AutoCloseable {
    /**
     * Of this test run alone, so that no process of another run finds a server here by its port.
     */
    private static final InetAddress ADDRESS = ownLoopbackAddress();

    private static final ThreadLocal<Socket> SERVED = new ThreadLocal<>();

    public final AtomicInteger connections = new AtomicInteger();

    /** Judges what this server sees; {@link #close} fails where a rule was broken. */
    public final RuleJudge judge = new RuleJudge();

    private final ServerSocket server;
    private final Thread accepter;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

    /** Thrown by what it speaks, to end a connection as a dying process does. */
    public static final class Reset extends Exception {
        private static final long serialVersionUID = 1;
    }

    protected StandIn() {
        try {
            server = new ServerSocket(0, 50, ADDRESS);
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
        accepter = new Thread(this::accept, "stand-in");
        accepter.setDaemon(true);
        accepter.start();
    }

    private static InetAddress ownLoopbackAddress() {
        long run = ProcessHandle.current().pid();
        byte[] address = {127, (byte) (1 + run / 250 % 250), (byte) (1 + run % 250), 1};
        try {
            return InetAddress.getByAddress(address);
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    protected abstract void talk(DataInputStream in, DataOutputStream out) throws Exception;

    /** The connection that the calling thread serves. */
    protected static Socket connection() {
        return SERVED.get();
    }

    /** Notes an attempt with the judge, and its end once its answer is written or given up. */
    protected final void judged(
            HttpPeer.Message request, DataOutputStream out, HttpPeer.Script script)
            throws Exception {
        RuleJudge.Span attempt = judge.begin(request, connection(), System.nanoTime());
        AnswerHead head = new AnswerHead(out);
        try {
            script.answer(request, new DataOutputStream(head));
        } finally {
            attempt.end(head.saysNeverRan(), head.lastWrite());
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    public String hostPort() {
        return ADDRESS.getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                connections.incrementAndGet();
                Thread thread = new Thread(() -> serve(socket), "stand-in connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // the stand-in is closed
        }
    }

    private void serve(Socket socket) {
        SERVED.set(socket);
        try (socket) {
            try {
                talk(
                        new DataInputStream(socket.getInputStream()),
                        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream())));
            } catch (Reset reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (Exception over) {
            // the other side left, or the script ends the connection
        }
    }

    /** Ends all connections that are open. */
    protected final void breakAll() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.removeIf(Socket::isClosed);
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            accepter.join(); // an accept that is under way takes one connection more
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        breakAll();
        if (!judge.violations().isEmpty()) {
            throw new AssertionError("rules broken: " + judge.violations());
        }
    }
}
