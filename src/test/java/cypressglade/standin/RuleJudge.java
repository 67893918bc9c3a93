package cypressglade.standin;

import cypressglade.standin.HttpPeer.Message;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges a play by the rules of the protocol page: keeps the attempts that a node saw as spans,
 * from their last byte to their answer or their close, and the requests that clients sent. Safe for
 * use by several threads.
 */
public final class RuleJudge {
    private static final long NANOS_PER_MS = 1_000_000;

    /** How long a look at a connection waits for its end, which the kernel knows already. */
    private static final int PEEK_MS = 1;

    /** An answer that comes later than this after its client's time is lost. */
    private static final long LATE_MS = 500;

    /** Of an answer with a longer body the first byte is timed, not the last. */
    private static final int TIMED_WHOLE_BYTES = 64 * 1024;

    /** By how much the time passed on to a node may exceed what its client has left. */
    private static final long DEADLINE_SLACK_MS = 150;

    private static final String ID = "x-trace-id";
    private static final String TIME = "x-expires-in-ms";

    private final Map<String, List<Span>> spans = new HashMap<>();
    private final Map<String, Sent> requests = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Overlap> overlaps = new ArrayList<>();
    private final List<Repeat> repeats = new ArrayList<>();
    private boolean mayCopy;

    /** An attempt that began while an earlier one was out, unless that proves to be answered. */
    private record Overlap(String id, Span earlier, long begunAt, boolean isWrite) {
        private boolean isProven() {
            return !earlier.isOver || earlier.answeredAt > begunAt;
        }
    }

    /** An attempt of a write after another, which is harmless where that one never ran. */
    private record Repeat(String id, Span earlier) {}

    /** One attempt at a node. */
    public final class Span {
        private final Socket connection;
        private boolean isOver;
        private boolean neverRan;
        private long answeredAt;

        private Span(Socket connection) {
            this.connection = connection;
        }

        /**
         * The answer is written, or the node has given the attempt up.
         *
         * @param lastWrite when the last write of the answer began
         */
        public void end(boolean hasNeverRan, long lastWrite) {
            synchronized (RuleJudge.this) {
                isOver = true;
                neverRan = hasNeverRan;
                answeredAt = lastWrite;
            }
        }

        private boolean isOut() {
            return !isOver && isOpen();
        }

        /** Nothing comes behind a request but the end of its connection. */
        private boolean isOpen() {
            try {
                connection.setSoTimeout(PEEK_MS);
                boolean isOpen = connection.getInputStream().read() >= 0;
                connection.setSoTimeout(0);
                return isOpen;
            } catch (SocketTimeoutException nothingCame) {
                return restore();
            } catch (IOException reset) {
                return false;
            }
        }

        private boolean restore() {
            try {
                connection.setSoTimeout(0);
                return true;
            } catch (IOException closedMeanwhile) {
                return false;
            }
        }
    }

    /** A request as its client sent it last. */
    private static final class Sent {
        private final long waitMs;
        private long at = System.nanoTime();
        private boolean isAnswered;

        private Sent(long waitMs) {
            this.waitMs = waitMs;
        }
    }

    /** Lets a read have two attempts out at once, as the settings of the play do. */
    public synchronized void allowSecondCopies() {
        mayCopy = true;
    }

    /** How many attempts began while an earlier one of their request was out. */
    public synchronized int copies() {
        return (int) overlaps.stream().filter(Overlap::isProven).count();
    }

    /**
     * A node has read the last byte of an attempt.
     *
     * @param now when it had, by {@link System#nanoTime}
     */
    public synchronized Span begin(Message request, Socket connection, long now) {
        Span span = new Span(connection);
        String id = request.headers().get(ID);
        if (id == null) {
            return span;
        }
        List<Span> earlier = spans.computeIfAbsent(id, key -> new ArrayList<>());
        checkCopies(id, request, earlier, now);
        Sent sent = requests.get(id);
        if (sent != null) {
            checkClient(id, request, sent, now);
        }
        earlier.add(span);
        return span;
    }

    private void checkCopies(String id, Message request, List<Span> earlier, long now) {
        boolean isWrite = !request.first().startsWith("GET ");
        boolean isKeyed = request.headers().containsKey("idempotency-key");
        for (Span span : earlier) {
            if (span.isOut()) {
                overlaps.add(new Overlap(id, span, now, isWrite));
            }
            if (isWrite && !isKeyed) {
                repeats.add(new Repeat(id, span));
            }
        }
    }

    private void checkClient(String id, Message request, Sent sent, long now) {
        long leftMs = sent.waitMs - (now - sent.at) / NANOS_PER_MS;
        long passedOnMs = Long.parseLong(request.headers().getOrDefault(TIME, "0"));
        if (passedOnMs > leftMs + DEADLINE_SLACK_MS) {
            violations.add(
                    "lost: " + id + " was passed on with " + passedOnMs + " ms of " + leftMs);
        }
    }

    /** A client has written its request whole, so that its wait begins. */
    public synchronized void written(String request) {
        Sent sent = request.contains("X-Trace-Id: ") ? find(request) : null;
        if (sent != null) {
            sent.at = System.nanoTime();
        }
    }

    private Sent find(String request) {
        return requests.get(header(request, "X-Trace-Id"));
    }

    /** A client sends a request, as text; the id and the time are those of its headers. */
    public synchronized void sent(String request) {
        if (request.contains("X-Trace-Id: ")) {
            requests.put(header(request, "X-Trace-Id"), new Sent(waitMs(request)));
        }
    }

    /**
     * A client has read a whole answer.
     *
     * @param firstByteAt when its first byte was read, by {@link System#nanoTime}
     */
    public synchronized void answered(String request, long firstByteAt, int bodyBytes) {
        if (!request.contains("X-Trace-Id: ")) {
            return;
        }
        String id = header(request, "X-Trace-Id");
        Sent sent = find(request);
        long timedAt = bodyBytes > TIMED_WHOLE_BYTES ? firstByteAt : System.nanoTime();
        long lateNanos = timedAt - sent.at - sent.waitMs * NANOS_PER_MS;
        sent.isAnswered = true;
        if (lateNanos > LATE_MS * NANOS_PER_MS) {
            violations.add("lost: " + id + " answered " + millis(lateNanos) + " after its time");
        }
    }

    /** What broke a rule so far; a request that was not answered in time is lost. */
    public synchronized List<String> violations() {
        long now = System.nanoTime();
        List<String> all = new ArrayList<>(violations);
        overlaps.stream()
                .filter(overlap -> overlap.isProven() && (!mayCopy || overlap.isWrite()))
                .forEach(
                        overlap ->
                                all.add(
                                        "duplicate: "
                                                + overlap.id()
                                                + " has two attempts out at once"));
        repeats.stream()
                .filter(repeat -> !repeat.earlier().neverRan)
                .forEach(
                        repeat ->
                                all.add(
                                        "duplicate: "
                                                + repeat.id()
                                                + " was sent again and may have run"));
        requests.forEach(
                (id, sent) -> {
                    if (!sent.isAnswered
                            && now - sent.at > (sent.waitMs + LATE_MS) * NANOS_PER_MS) {
                        all.add("lost: " + id + " was never answered");
                    }
                });
        return all;
    }

    /** How long the client of a request waits for its answer, in milliseconds. */
    public static int waitMs(String request) {
        return Integer.parseInt(header(request, "X-Expires-In-Ms"));
    }

    private static String header(String request, String name) {
        int at = request.indexOf(name + ": ") + name.length() + 2;
        return request.substring(at, request.indexOf("\r\n", at));
    }

    private static String millis(long nanos) {
        return nanos / NANOS_PER_MS + " ms";
    }
}
