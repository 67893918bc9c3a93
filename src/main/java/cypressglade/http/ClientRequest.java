package cypressglade.http;

import cypressglade.core.AnswerStream;
import cypressglade.core.IoRequest;
import cypressglade.core.RequestTask;
import cypressglade.core.Responder;
import java.math.BigDecimal;
import java.time.Duration;
import org.xnio.XnioExecutor;

/**
 * A client's request from its head to its answer. Answers come on any thread; whether the client is
 * there may be asked on the I/O thread only.
 */
final class ClientRequest implements Responder {
    private static final byte[] EMPTY = {};

    private final RequestHandler handler;
    private final ClientConnection client;
    private final RequestHead head;
    private final IoRequest ioRequest;
    private XnioExecutor.Key bodyTimeout = () -> true;
    private RequestTask<NodeRequest> task; // null before its start
    private boolean mayHaveBeenSent;

    ClientRequest(
            RequestHandler handler,
            ClientConnection client,
            RequestHead head,
            IoRequest ioRequest) {
        this.handler = handler;
        this.client = client;
        this.head = head;
        this.ioRequest = ioRequest;
    }

    RequestHead head() {
        return head;
    }

    IoRequest ioRequest() {
        return ioRequest;
    }

    /** Sets the timer that ends the wait for the body. */
    void setBodyTimeout(XnioExecutor.Key timeout) {
        bodyTimeout = timeout;
    }

    /** Stops waiting for the body. */
    void removeBodyTimeout() {
        bodyTimeout.remove();
    }

    /** Sets the task that runs the request. */
    void setTask(RequestTask<NodeRequest> started) {
        task = started;
    }

    /** Ends the task, as its client has left or is answered without it. */
    void endTask() {
        if (task != null) {
            task.clientDisconnected();
        }
    }

    /** Whether a node may have got the request. */
    boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }

    /** Whether the request is still to be answered. */
    boolean isOpen() {
        return client.request().filter(open -> open == this).isPresent();
    }

    @Override
    public boolean isClientConnected() {
        boolean isThere = isOpen() && handler.checkClient(client, this);
        mayHaveBeenSent |= isThere;
        return isThere;
    }

    @Override
    public String requestId() {
        return head.first(RequestHead.TRACE_ID);
    }

    @Override
    public void serve(byte[] body) {
        handler.execute(
                () -> {
                    if (handler.makeAnswerRoom(this, body.length)) {
                        noteServed();
                        answer(HttpStatus.OK, "", body);
                    } else {
                        answer(HttpStatus.BAD_GATEWAY, "", EMPTY);
                    }
                });
    }

    @Override
    public void serve(byte[] start, AnswerStream rest) {
        handler.execute(
                () -> {
                    if (isOpen()) {
                        handler.noteAnswer(this);
                        noteServed();
                        client.respond(start, rest, handler.closesAfterAnswer());
                    } else {
                        rest.cancel();
                    }
                });
    }

    @Override
    public void refuse(Duration retryAfter) {
        handler.execute(
                () -> {
                    handler.forgetId(this);
                    answer(HttpStatus.SERVICE_UNAVAILABLE, retryAfterField(retryAfter), EMPTY);
                });
    }

    @Override
    public void fail() {
        handler.execute(() -> answer(HttpStatus.BAD_GATEWAY, "", EMPTY));
    }

    private void noteServed() {
        if (task != null && isOpen()) {
            client.noteServed(task.receipt());
        }
    }

    private void answer(HttpStatus status, String fields, byte[] body) {
        if (isOpen()) {
            handler.noteAnswer(this);
            client.respond(status, fields, body, handler.closesAfterAnswer());
        }
    }

    private static String retryAfterField(Duration retryAfter) {
        return retryAfter.isZero()
                ? ""
                : "Retry-After: "
                        + BigDecimal.valueOf(retryAfter.toMillis(), 3).toPlainString()
                        + "\r\n";
    }
}
