package cypressglade.net;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Shares the I/O thread among the connections whose input has been read and not handled yet: each
 * handles a little in its turn, and after a bounded time of that the thread returns to its events.
 * Without it, one connection's thousands of small requests in a row would keep the thread from all
 * others. Used on the I/O thread only.
 */
public final class TurnQueue {
    /** The time for turns before the thread returns to its events. */
    private static final Duration MAX_TIME = Duration.ofNanos(500_000);

    /** The time for events; tasks without a delay would all run before the next event. */
    private static final Duration PAUSE = Duration.ofMillis(1);

    private final EventLoop loop;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean isScheduled;

    /** Creates an empty queue whose turns run on the thread of the loop. */
    public TurnQueue(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Runs a turn soon, after those that wait already. A turn should handle one small unit of work,
     * and add itself again where there is more.
     */
    public void add(Runnable turn) {
        waiting.add(turn);
        if (!isScheduled) {
            isScheduled = true;
            loop.executeAfter(PAUSE, this::run);
        }
    }

    private void run() {
        long start = System.nanoTime();
        while (!waiting.isEmpty() && System.nanoTime() - start < MAX_TIME.toNanos()) {
            Runnable turn = waiting.poll();
            loop.budget().runTurn(turn, turn);
        }
        isScheduled = !waiting.isEmpty();
        if (isScheduled) {
            loop.executeAfter(PAUSE, this::run);
        }
    }
}
