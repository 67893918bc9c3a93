import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import rig.Discovery;
import rig.HttpNode;
import rig.Rig;
import rig.Rig.HttpConnection;
import rig.Rig.Message;
import rig.Rig.Program;

/**
 * Bad clients, by the hundreds, send the same request again as soon as it is turned away. Usual
 * clients go on beside them: each of their requests has to get its final answer, and the scheduler
 * must not end.
 *
 * <p>TROUBLE=short is a control: the bad clients are as many and as fast, but tell a wait of 300 ms
 * instead of the class's 6 s.
 */
public final class Again {
    private static final int BAD_CLIENTS = 250;
    private static final int BAD_SECONDS = 20;
    private static final int SECONDS_AFTER = 10;
    private static final int USUAL_EVERY_MS = 20;
    private static final int DEADLINE_MS = 4000;

    /** Half a second past a request's time, and the 50 ms of the protocol page. */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 550;

    private final Rig rig;
    private final InetSocketAddress clients;
    private final int badWaitMs;
    private final AtomicBoolean isOver = new AtomicBoolean();
    private final AtomicLong badIds = new AtomicLong(1L << 40);
    private final AtomicLong turnedAway = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong notServed = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong notTaken = new AtomicLong();

    private Again(Rig rig, InetSocketAddress clients) {
        this.rig = rig;
        this.clients = clients;
        badWaitMs = rig.trouble.equals("short") ? 300 : 6000;
    }

    public static void main(String[] args) {
        Rig.main(args[0], Again::play);
    }

    private static int play(Rig rig) throws Exception {
        Discovery discovery = rig.own(new Discovery());
        HttpNode node = rig.own(new HttpNode(rig, "s-0"));
        node.script =
                (self, request, socket, out) -> {
                    if (request.first.startsWith("PUT")) {
                        self.run(request);
                    }
                    Rig.pause(5);
                    HttpNode.answer(out, 200, "", "done");
                };
        String servers = Rig.server("s-0", node.port(), 0, "active", 0);
        discovery.list(servers);
        int port = Rig.freePort();
        InetSocketAddress clients = new InetSocketAddress("127.0.0.1", port);
        Program scheduler =
                rig.run(
                        "scheduler",
                        rig.write("config.json", config(port, discovery.address(), servers)),
                        Map.of(),
                        "");
        rig.awaitHealthy(scheduler, clients);
        return new Again(rig, clients).play(scheduler);
    }

    /** Beside the two classes and the plan of every case: reads that can wait, and a limited plan. */
    private static String config(int port, String discovery, String servers) {
        return Rig.config("n1", port, discovery, servers, Rig.NON_IDEMPOTENT)
                .replace(
                        "\"plans\":[",
                        "\"plans\":[{\"name\":\"basic\",\"baseRate\":3,\"floorRate\":0,\"parts\":1,"
                                + "\"worthFactor\":0.72,\"neverOver\":1,\"limitBurst\":8,\"limitSlack\":6},")
                .replace(
                        "{\"name\":\"job-write\"",
                        "{\"name\":\"report-read\",\"effect\":\"read_like\",\"objectiveUs\":2000000,"
                                + "\"deadlineUs\":6000000,\"worth\":1.0,\"lateWorth\":0.1},"
                                + "{\"name\":\"job-write\"")
                .replace("[false,true]", "[false,false,true]");
    }

    private int play(Program scheduler) {
        if (!rig.trouble.equals("0")) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                String piece = String.format("%016x", 0xe000 + i);
                start(() -> repeat(piece));
            }
            rig.note(BAD_CLIENTS + " bad clients begin, each with a wait of " + badWaitMs + " ms");
        }
        double begin = rig.now();
        double nextNote = begin + 1;
        long sent = 0;
        long before = 0;
        while (rig.now() < begin + BAD_SECONDS + SECONDS_AFTER && scheduler.process.isAlive()) {
            long number = ++sent;
            start(() -> ask(number));
            Rig.pause(USUAL_EVERY_MS);
            if (rig.now() > begin + BAD_SECONDS && isOver.compareAndSet(false, true)) {
                rig.note("the bad clients end");
            }
            if (rig.now() > nextNote) {
                nextNote += 1;
                long now = turnedAway.get();
                rig.note("bad: " + (now - before) + " turned away; usual: " + sent + " sent, " + counts());
                before = now;
            }
        }
        isOver.set(true);
        Rig.pause(LOST_AFTER_MS + 100);
        rig.note("usual clients: " + sent + " sent, " + counts());
        boolean isAlive = scheduler.process.isAlive();
        rig.note(
                isAlive
                        ? "the scheduler runs"
                        : "the scheduler has ended by itself, with " + scheduler.process.exitValue());
        return isAlive && lost.get() == 0 ? Rig.HELD : Rig.BROKEN;
    }

    private String counts() {
        return served + " served, " + notServed + " refused or failed, " + lost
                + " without an answer " + LOST_AFTER_MS + " ms after they were sent, " + notTaken
                + " not connected, or closed twice";
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(null, task, "client", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** A bad client: the same read again, under a new id, as soon as it is turned away. */
    private void repeat(String piece) {
        while (!isOver.get()) {
            try (Socket socket = new Socket(clients.getAddress(), clients.getPort())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(8000);
                DataInputStream in =
                        new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                Message answer = new Message();
                while (!isOver.get() && answer != null) {
                    String id = String.format("%016x", badIds.incrementAndGet());
                    String head =
                            Rig.head(
                                            "GET", "report-read", "00000000000000d1", piece, id,
                                            badWaitMs, 0, 0, "")
                                    .replace("Tier: standard", "Tier: basic")
                                    .replace("units=1", "units=6");
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                    answer = Message.read(in);
                    if (answer != null && answer.status == 503) {
                        turnedAway.incrementAndGet();
                    }
                }
            } catch (IOException gone) {
                Rig.pause(20);
            }
        }
    }

    /**
     * A usual client: one write, and the wait for its answer. Where its connection ends without an
     * answer it sends the request once more on a new one, as after a close that crossed it.
     */
    private void ask(long number) {
        byte[] body = new byte[200];
        double begin = rig.now();
        String what = "usual client " + number + ": PUT ";
        for (int i = 0; i < 2; i++) {
            int passedMs = (int) ((rig.now() - begin) * 1000);
            String head =
                    Rig.head(
                            "PUT", "job-write", String.format("%016x", 0xa0 + number % 20),
                            String.format("%016x", 0xb000 + number),
                            String.format("%016x", number),
                            Math.max(1, DEADLINE_MS - passedMs), 0, body.length, "");
            try (HttpConnection client = new HttpConnection(clients)) {
                client.send(head, body);
                int status = client.receive(Math.max(1, LOST_AFTER_MS - passedMs)).status;
                (status == 200 ? served : notServed).incrementAndGet();
                rig.note(what + "answered " + status + waited(begin));
                return;
            } catch (SocketTimeoutException none) {
                (none.getMessage().startsWith("Connect") ? notTaken : lost).incrementAndGet();
                rig.note(what + "not answered: " + none.getMessage() + waited(begin));
                return;
            } catch (IOException ended) {
                rig.note(what + "once more at most: " + ended.getMessage() + waited(begin));
            }
        }
        notTaken.incrementAndGet();
    }

    private String waited(double begin) {
        return String.format(", after %.3f s", rig.now() - begin);
    }
}
