package cypressglade.standin;

import cypressglade.standin.HttpPeer.Message;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client that loses its link: what it sent has arrived, and its connection stays open and silent
 * at the server. It reads no answer there. It may come again by another connection, with the mark
 * of a retry.
 */
public final class CutClient implements AutoCloseable {
    private static final String RETRY_MARK = "X-Second-Try: 1\r\n";
    private static final int CALL_LIMIT_MS = 10_000;

    private final InetSocketAddress server;
    private final String path;
    private final String headers;
    private final String body;
    private final Socket first;
    private final byte[] request;
    private final int sent;

    /**
     * Sends so many bytes of a write, and says nothing from then on.
     *
     * @param bytes more than the request has for all of it
     */
    public CutClient(InetSocketAddress server, String path, String headers, String body, int bytes)
            throws IOException {
        this.server = server;
        this.path = path;
        this.headers = headers;
        this.body = body;
        request = Site.request("PUT", path, headers, body).getBytes(StandardCharsets.ISO_8859_1);
        sent = Math.min(bytes, request.length);
        first = new Socket(server.getAddress(), server.getPort());
        first.getOutputStream().write(request, 0, sent);
    }

    /** Comes again by another connection, with the mark of a retry; returns the answer's status. */
    public int comeAgain() throws IOException {
        try (Socket second = new Socket(server.getAddress(), server.getPort())) {
            second.setSoTimeout(CALL_LIMIT_MS);
            second.getOutputStream()
                    .write(
                            Site.request("PUT", path, headers + RETRY_MARK, body)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return Message.read(new DataInputStream(second.getInputStream())).status();
        }
    }

    /** Sends the rest of the request on the first connection. */
    public void sendRest() throws IOException {
        first.getOutputStream().write(request, sent, request.length - sent);
    }

    /** The link is back, and what it had kept arrives; returns the status of the first answer. */
    public int reconnect() throws IOException {
        first.setSoTimeout(CALL_LIMIT_MS);
        sendRest();
        return Message.read(new DataInputStream(first.getInputStream())).status();
    }

    @Override
    public void close() throws IOException {
        first.close();
    }
}
