package cypressglade.http;

import cypressglade.core.AnswerReceipt;
import cypressglade.core.AnswerStream;
import cypressglade.core.MonotonicClock;
import cypressglade.core.RequestLog;
import cypressglade.net.ByteBudget;
import cypressglade.net.Connection;
import cypressglade.net.InputQueue;
import cypressglade.net.TurnQueue;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A client's connection: splits its input into requests, of which one is handled at a time, and
 * writes their responses. All that it holds for its client is charged to its two accounts. Used on
 * the I/O thread only.
 *
 * <p>Input goes on being read while a request is open, up to a bound, since a client's leave shows
 * behind its input only.
 */
final class ClientConnection implements Connection.Listener {
    /** Bytes of a client's next requests that are read while one is open. */
    static final int MAX_PIPELINED_BYTES = 64 * 1024;

    private static final int READ_BYTES = 16 * 1024;

    /** Bytes of one read where room is short, as what was read has to be kept. */
    private static final int SHORT_READ_BYTES = 2 * 1024;

    private static final byte[] NONE = {};
    private static final byte[] LAST_CHUNK = ascii("0\r\n\r\n");
    private static final byte[] LINE_END = ascii("\r\n");
    private static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");

    private final Connection connection;
    private final Handler handler;
    private final TurnQueue turns;
    private final ByteBudget inputBudget;
    private final ByteBudget outputBudget;
    private final ByteBudget.Account inputAccount;
    private final ByteBudget.Account outputAccount;
    private final HeadDecoder headDecoder = new HeadDecoder();
    private final InputQueue pending = new InputQueue();
    private Phase phase = Phase.IDLE;
    private Instant since = MonotonicClock.now();
    private Instant firstByteAt = since; // of what is received, or waits to be handled
    private boolean hasReceived;
    private Optional<ClientRequest> request = Optional.empty();
    private Optional<AnswerStream> stream = Optional.empty();
    private Optional<AnswerReceipt> servedReceipt = Optional.empty();
    private String requestId = RequestLog.NO_ID;
    private BodyDecoder bodyDecoder;
    private int openBodyBytes;
    private boolean wasAnswered;
    private boolean isBodyAwaited;
    private boolean isTurnQueued;
    private boolean closesAfterAnswer;
    private boolean isHttp11 = true;

    /** What the connection is doing. */
    enum Phase {
        /** No request has begun to arrive. */
        IDLE,
        /** Part of a request's head has arrived. */
        HEAD,
        /** A request's head is complete and its body is not. */
        BODY,
        /** A request is open: it was started and is not answered yet. */
        OPEN,
        /** A response is being written. */
        WRITING,
        /** The connection is closed, or its lingering close has started. */
        CLOSED
    }

    /** Whether a client is there, judged by all of its input that can be read. */
    enum Presence {
        CONNECTED,
        LEFT,
        /** Input is unread, or was not looked for, so that an end behind it would not show. */
        UNKNOWN
    }

    /** Handles what arrives on a connection. */
    interface Handler {
        /** A head is complete. To be answered at once, or by {@link #expectBody}. */
        void handleHead(ClientConnection client, RequestHead head);

        /** The body that was expected has not arrived with its head. */
        void handleAwaitedBody(ClientConnection client);

        /** The body that was expected is complete. To be answered at once, or opened. */
        void handleBody(ClientConnection client, byte[] body);

        /** The request that is arriving is malformed. To be answered. */
        void handleMalformed(ClientConnection client, RejectedRequestException rejected);

        /** The client has left in the phase that is given. */
        void handleLeave(ClientConnection client, Phase left);

        /** A node's answer broke off while it was passed on. The connection is to be aborted. */
        void handleBrokenAnswer(ClientConnection client);

        /** The connection holds more than before. To be followed by making room if need be. */
        void handleGrowth();

        /** A response is written whole. */
        void handleAnswered(ClientConnection client);
    }

    ClientConnection(
            Connection connection,
            Handler handler,
            TurnQueue turns,
            ByteBudget inputBudget,
            ByteBudget outputBudget) {
        this.connection = connection;
        this.handler = handler;
        this.turns = turns;
        this.inputBudget = inputBudget;
        this.outputBudget = outputBudget;
        inputAccount = inputBudget.open();
        outputAccount = outputBudget.open();
    }

    Connection connection() {
        return connection;
    }

    Phase phase() {
        return phase;
    }

    /**
     * Start of the current phase: of being idle, of receiving a request, or of writing a response.
     * The time of the connect until the first response starts.
     */
    Instant since() {
        return since;
    }

    /**
     * Whether a request that was open has been answered on it, or one before its body was complete.
     * A health check does not count.
     */
    boolean wasAnswered() {
        return wasAnswered;
    }

    /** The request that is open, or whose body is arriving. */
    Optional<ClientRequest> request() {
        return request;
    }

    /** The id of the request that was taken last, for the log. */
    String requestId() {
        return requestId;
    }

    /** Whether no request is arriving or open and no response is being written. */
    boolean isIdle() {
        return phase == Phase.IDLE && pending.isEmpty();
    }

    /** Whether part of a request has arrived. */
    boolean isReceiving() {
        return phase == Phase.HEAD || phase == Phase.BODY;
    }

    /** Bytes of responses that the client has not taken yet. */
    long unsentBytes() {
        return connection.unsentBytes();
    }

    /** Starts to read. */
    void start() {
        updateReading();
    }

    @Override
    public void received(ByteBuffer in) {
        // The first bytes may have come any time since the connect, unread.
        if (hasReceived && pending.isEmpty() && !isReceiving()) {
            firstByteAt = MonotonicClock.now();
        }
        hasReceived = true;
        if (pending.isEmpty() && phase == Phase.IDLE) {
            confirmAnswer();
        }
        if (canHandle() && pending.isEmpty()) {
            handle(in);
            handlePendingBody();
        }
        pending.append(in);
        settle();
    }

    /**
     * Clients send one request at a time: one that sends the next has read the answer before. Not
     * so where it had sent that ahead.
     */
    private void confirmAnswer() {
        servedReceipt.ifPresent(AnswerReceipt::confirm);
        servedReceipt = Optional.empty();
    }

    /** Notes that a request is answered as served now; the last one counts. */
    void noteServed(AnswerReceipt receipt) {
        servedReceipt = Optional.of(receipt);
    }

    /** Handles a part of what was read before, in this connection's turn. */
    private void takeTurn() {
        isTurnQueued = false;
        if (canHandle() && !pending.isEmpty()) {
            handle(pending.buffer());
            handlePendingBody();
        }
        settle();
    }

    private boolean canHandle() {
        return phase == Phase.IDLE || isReceiving();
    }

    private void handlePendingBody() {
        while (phase == Phase.BODY && !pending.isEmpty()) {
            handle(pending.buffer());
        }
        if (phase == Phase.BODY && !isBodyAwaited) {
            isBodyAwaited = true;
            handler.handleAwaitedBody(this);
        }
    }

    /** Handles input up to the end of a request's head or body; keeps what is behind it. */
    private void handle(ByteBuffer in) {
        try {
            if (phase == Phase.IDLE) {
                phase = Phase.HEAD;
                since = wasAnswered ? MonotonicClock.now() : since;
            }
            if (phase == Phase.HEAD) {
                Optional<RequestHead> head = headDecoder.feed(in);
                if (head.isPresent()) {
                    keep(in);
                    isHttp11 = head.get().isHttp11();
                    closesAfterAnswer = !head.get().isPersistent();
                    handler.handleHead(this, head.get());
                }
            } else if (bodyDecoder.feed(in)) {
                keep(in);
                completeBody();
            }
        } catch (RejectedRequestException rejected) {
            keep(in);
            handler.handleMalformed(this, rejected);
        }
    }

    /** Keeps the rest of an input before a handler reads on. */
    private void keep(ByteBuffer in) {
        if (in != pending.buffer()) {
            pending.append(in);
        }
    }

    private void completeBody() {
        byte[] body = bodyDecoder.toByteArray();
        bodyDecoder = null;
        openBodyBytes = body.length;
        handler.handleBody(this, body);
    }

    /** Brings the accounts, the reading and the turn in line with the state. */
    private void settle() {
        pending.trim();
        long before = inputAccount.held();
        charge();
        if (inputAccount.held() > before) {
            handler.handleGrowth();
        }
        if (phase != Phase.CLOSED) {
            if (canHandle() && !pending.isEmpty()) {
                queueTurn();
            }
            updateReading();
        }
    }

    private void charge() {
        inputAccount.set(
                (long) headDecoder.capacity()
                        + (bodyDecoder == null ? 0 : bodyDecoder.capacity())
                        + openBodyBytes
                        + pending.capacity());
    }

    private void queueTurn() {
        if (!isTurnQueued) {
            isTurnQueued = true;
            turns.add(this::takeTurn);
        }
    }

    private void updateReading() {
        connection.setReadLimit(inputBudget.isShort() ? SHORT_READ_BYTES : READ_BYTES);
        if (mayRead()) {
            connection.readInto(this);
        } else {
            connection.pauseReading();
        }
    }

    /**
     * Whether to read on. Not during a response: a client may end its side once it has said all,
     * and one that has left shows as its response cannot be written.
     */
    private boolean mayRead() {
        return switch (phase) {
            case IDLE, HEAD, BODY -> pending.isEmpty();
            case OPEN ->
                    pending.isEmpty()
                            || pending.size() < MAX_PIPELINED_BYTES && !inputBudget.isExceeded();
            case WRITING, CLOSED -> false;
        };
    }

    /**
     * Reads what has arrived, and tells whether the client is there. While a request is open, all
     * that the client may send ahead is read, as its leave shows behind that only.
     */
    Presence checkPresence() {
        boolean isAllRead =
                phase == Phase.OPEN
                        ? connection.readNow(MAX_PIPELINED_BYTES)
                        : connection.readNow();
        if (!connection.isOpen() || phase == Phase.CLOSED) {
            return Presence.LEFT;
        }
        return isAllRead ? Presence.CONNECTED : Presence.UNKNOWN;
    }

    /** Begins a request whose body is still to come. */
    void expectBody(ClientRequest next, BodyDecoder body) {
        phase = Phase.BODY;
        request = Optional.of(next);
        requestId = next.requestId();
        bodyDecoder = body;
        isBodyAwaited = false;
        if (body.isComplete()) {
            completeBody();
        }
    }

    /** Asks the client for a body that it holds back. */
    void sendContinue() {
        connection.send(ByteBuffer.wrap(CONTINUE));
    }

    /**
     * When the first byte of the request that is received was read, or of one before it that came
     * at once with it; the time of the connect for the first request.
     */
    Instant firstByteAt() {
        return firstByteAt;
    }

    /** Notes when a head was complete; the first request's time counts from the connect. */
    void noteHead(Instant arrived) {
        since = wasAnswered ? arrived : since;
    }

    /** Opens the request whose body is complete. */
    void open() {
        phase = Phase.OPEN;
        settle();
    }

    /**
     * Writes a response, and closes the connection after it where {@code close} says so or the
     * client asked for it.
     *
     * @param fields header fields, each with its line end
     */
    void respond(HttpStatus status, String fields, byte[] body, boolean close) {
        beginResponse(close);
        String head = "Content-Length: " + body.length + "\r\n" + fields;
        connection.send(List.of(encodeHead(status, head), ByteBuffer.wrap(body)));
        continueResponse();
    }

    /** Writes the start of a body, and passes its rest on while it arrives. */
    void respond(byte[] start, AnswerStream rest, boolean close) {
        OptionalLong length = rest.length();
        boolean isChunked = length.isEmpty() && isHttp11;
        beginResponse(close || length.isEmpty() && !isHttp11);
        connection.send(
                encodeHead(
                        HttpStatus.OK,
                        isChunked
                                ? "Transfer-Encoding: chunked\r\n"
                                : length.isPresent()
                                        ? "Content-Length: " + length.getAsLong() + "\r\n"
                                        : ""));
        stream = Optional.of(rest);
        sendPart(ByteBuffer.wrap(start), isChunked);
        rest.start(new PartReceiver(isChunked));
        if (unsentBytes() > 0) {
            rest.pause();
        }
    }

    private void beginResponse(boolean close) {
        // A connection that was used for health checks only is closed as early as a silent one.
        wasAnswered |= request.isPresent();
        request = Optional.empty();
        bodyDecoder = null;
        openBodyBytes = 0;
        headDecoder.reset();
        closesAfterAnswer |= close;
        phase = Phase.WRITING;
        since = MonotonicClock.now();
        connection.pauseReading();
    }

    private ByteBuffer encodeHead(HttpStatus status, String fields) {
        String close = closesAfterAnswer ? "Connection: close\r\n" : "";
        return ByteBuffer.wrap(ascii(status.line() + fields + close + "\r\n"));
    }

    private void sendPart(ByteBuffer part, boolean isChunked) {
        if (!part.hasRemaining()) {
            return;
        }
        connection.sendCopy(
                isChunked
                        ? List.of(
                                ByteBuffer.wrap(
                                        ascii(Integer.toHexString(part.remaining()) + "\r\n")),
                                part,
                                ByteBuffer.wrap(LINE_END))
                        : List.of(part));
        chargeOutput();
    }

    private void chargeOutput() {
        long before = outputAccount.held();
        outputAccount.set(phase == Phase.CLOSED ? 0 : unsentBytes());
        if (outputAccount.held() > before) {
            handler.handleGrowth();
        }
    }

    private void continueResponse() {
        chargeOutput();
        if (phase == Phase.WRITING && stream.isEmpty() && unsentBytes() == 0) {
            finishResponse();
        }
    }

    private void finishResponse() {
        since = MonotonicClock.now();
        if (!closesAfterAnswer) {
            phase = Phase.IDLE;
        }
        charge();
        handler.handleAnswered(this);
        if (phase == Phase.IDLE) {
            settle();
        }
    }

    /** Whether the connection is to be closed, as its last response is written. */
    boolean isFinished() {
        return phase == Phase.WRITING
                && closesAfterAnswer
                && stream.isEmpty()
                && unsentBytes() == 0;
    }

    /** Passes the parts of an answer to the client, no faster than it takes them. */
    private final class PartReceiver implements AnswerStream.Receiver {
        private final boolean isChunked;

        PartReceiver(boolean isChunked) {
            this.isChunked = isChunked;
        }

        @Override
        public void received(ByteBuffer part) {
            sendPart(part, isChunked);
            if (unsentBytes() > 0) {
                stream.ifPresent(AnswerStream::pause);
            }
        }

        @Override
        public void ended() {
            stream = Optional.empty();
            if (isChunked) {
                connection.send(ByteBuffer.wrap(LAST_CHUNK));
            }
            continueResponse();
        }

        @Override
        public void failed() {
            stream = Optional.empty();
            handler.handleBrokenAnswer(ClientConnection.this);
        }
    }

    @Override
    public void sent() {
        if (phase == Phase.CLOSED) {
            return;
        }
        chargeOutput();
        if (stream.isPresent()) {
            stream.get().resume(outputBudget.isShort() ? SHORT_READ_BYTES : READ_BYTES);
        } else {
            continueResponse();
        }
    }

    @Override
    public void ended() {
        if (phase != Phase.CLOSED) {
            handler.handleLeave(this, phase);
        }
    }

    /** Gives up all that is held; the connection itself is closed by who calls this. */
    void release() {
        phase = Phase.CLOSED;
        stream.ifPresent(AnswerStream::cancel);
        stream = Optional.empty();
        request = Optional.empty();
        bodyDecoder = null;
        openBodyBytes = 0;
        headDecoder.reset();
        pending.clear();
        inputAccount.set(0);
        outputAccount.set(0);
    }

    private static byte[] ascii(String text) {
        return text.isEmpty() ? NONE : text.getBytes(StandardCharsets.US_ASCII);
    }
}
