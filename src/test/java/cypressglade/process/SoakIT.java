package cypressglade.process;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.standin.CutClient;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A scheduler under sound clients, such as leave, repeat an id or send at full speed, a crowd in
 * some runs, and signals in series up to the kill at the earliest time that is allowed. {@code
 * -Dsoak.seeds=1-50} plays more seeds than the few of an ordinary build.
 */
class SoakIT {
    private static final int STEADY_CLIENTS = 12;
    private static final int LEAVING_CLIENTS = 3;
    private static final int CROWD = 200;
    private static final int CUT_OFF_CLIENTS = 4;
    private static final String CUT_OFF = "/job-write/00000000000000c7/";
    private static final long BEFORE_TERM_MS = 3000;
    private static final long LONGEST_DEADLINE_MS = 2000;

    /** What comes later than this after SIGTERM is owed no answer, and SIGKILL follows soon. */
    private static final long OWED_MS = 700;

    private static final int CONFLICT = 409;
    private static final long LATE_MS = 500;
    private static final long LEFT_NANOS = 100_000_000;
    private static final long NANOS_PER_MS = 1_000_000;

    @TempDir Path folder;
    private final Queue<String> broken = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile long termAt = Long.MAX_VALUE;
    private volatile long mostMb;
    private String options = "";

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1-6").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldUnderLeavesFloodsCrowdsAndSignals(long seed) throws Exception {
        soak(seed);
    }

    /** Guards against an attempt too long after a leave, which these seeds have shown. */
    @ParameterizedTest
    @ValueSource(longs = 337)
    void noAttemptBeginsLongAfterALeave(long seed) throws Exception {
        soak(seed);
    }

    private void soak(long seed) throws Exception {
        SoakNode node = new SoakNode(seed);
        boolean mayCopy = seed % 4 == 1;
        if (mayCopy) {
            node.judge.allowSecondCopies();
        }
        UnaryOperator<String> edit = mayCopy ? Site::allowSecondCopies : UnaryOperator.identity();
        FaultLibrary library = new FaultLibrary(Files.createDirectory(folder.resolve("faults")));
        library.noteSent();
        options = seed % 5 < 2 ? "--storms " + stormsOn() : "";
        try (SmallSite site = new SmallSite(folder, node, Optional.of(library), edit, options)) {
            List<Thread> clients = startClients(site, new Random(seed));
            play(site, seed, library);
            over.set(true);
            for (Thread client : clients) {
                client.join();
            }
            judge(node, library.sent());
            judgeCutOffWrites(node);
        }
        System.out.printf(
                "soak seed %d: %d answered, %d served, %d MB, broken: %s%n",
                seed, answered.get(), served.get(), mostMb, broken);
        assertThat(broken).isEmpty();
        assertThat(served.get()).isGreaterThan(answered.get() / 3);
    }

    /** A file that turns the measures against storms on. */
    private Path stormsOn() throws IOException {
        return Files.writeString(
                folder.resolve("storms.json"),
                Files.readString(Path.of("deploy/storms.json"))
                        .replace("\"enabled\": false", "\"enabled\": true"));
    }

    /** A write of a client that was cut off runs once, whichever process gets its retry. */
    private void judgeCutOffWrites(SoakNode node) {
        node.runsByPath.forEach(
                (path, count) -> {
                    if (path.startsWith(CUT_OFF) && count > 1) {
                        broken.add(path + " of a client that was cut off ran " + count + " times");
                    }
                });
    }

    private List<Thread> startClients(SmallSite site, Random seeds) {
        List<Runnable> plays = new ArrayList<>();
        for (int i = 0; i < STEADY_CLIENTS; i++) {
            Random random = new Random(seeds.nextLong());
            plays.add(() -> askUntilOver(site, random));
        }
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            Random random = new Random(seeds.nextLong());
            plays.add(() -> leaveUntilOver(site, random));
        }
        for (int i = 0; i < CUT_OFF_CLIENTS && !options.isEmpty(); i++) {
            Random random = new Random(seeds.nextLong());
            plays.add(() -> cutOffUntilOver(site, random));
        }
        plays.add(() -> floodUntilOver(site));
        plays.add(() -> sendEmptyLinesUntilOver(site));
        return plays.stream()
                .map(
                        play -> {
                            Thread thread = new Thread(play, "soak client");
                            thread.start();
                            return thread;
                        })
                .toList();
    }

    /** Sends signals in series, at last those of a planned restart, in some runs of an upgrade. */
    private void play(SmallSite site, long seed, FaultLibrary library) throws Exception {
        Random random = new Random(~seed);
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            watchMemory(BEFORE_TERM_MS / 3, List.of(site.scheduler));
            if (i == 0 && seed % 3 == 0) {
                joinCrowd(site, crowd);
            }
            if (random.nextBoolean()) {
                site.scheduler.signal("HUP");
                site.scheduler.signal("HUP");
            }
        }
        Optional<RealScheduler> next = Optional.empty();
        if (seed % 2 == 0) {
            next = Optional.of(RealScheduler.start(site.place, Optional.of(library), options));
        }
        List<RealScheduler> all = new ArrayList<>(List.of(site.scheduler));
        next.ifPresent(all::add);
        site.scheduler.signal("TERM");
        termAt = System.nanoTime();
        watchMemory(LONGEST_DEADLINE_MS + OWED_MS, all);
        site.scheduler.signal("KILL");
        next.ifPresent(RealScheduler::close);
        for (Socket socket : crowd) {
            socket.close();
        }
        if (site.scheduler.output().stream().anyMatch(line -> line.contains("OutOfMemory"))) {
            broken.add("out of memory");
        }
    }

    private void watchMemory(long spanMs, List<RealScheduler> processes) {
        long end = System.nanoTime() + spanMs * NANOS_PER_MS;
        while (System.nanoTime() < end) {
            long mb = processes.stream().mapToLong(RealScheduler::proportionalKb).sum() / 1024;
            mostMb = Math.max(mostMb, mb);
            if (mb > SmallSite.MEMORY_MB) {
                broken.add("memory: " + mb + " MB");
            }
            RealScheduler.pause(50);
        }
    }

    private static void joinCrowd(SmallSite site, List<Socket> crowd) {
        for (int i = 0; i < CROWD; i++) {
            try {
                Socket socket = site.scheduler.connect();
                crowd.add(socket);
                SmallSite.send(
                        socket,
                        i % 2 == 0
                                ? "GET /x HTTP/1.1\r\n" + "a:b\r\n".repeat(2000)
                                : SmallSite.write(1800, "y".repeat(60_000)).substring(0, 50_000));
            } catch (IOException closed) {
                // a crowd may be closed
            }
        }
    }

    /** Clients that lose their link while a write is out, and come again with the mark. */
    private void cutOffUntilOver(SmallSite site, Random random) {
        while (!over.get()) {
            String path = CUT_OFF + String.format("%016x", random.nextLong());
            int bytes = random.nextInt(4) > 0 ? Integer.MAX_VALUE : random.nextInt(400);
            String headers = SmallSite.headers(400 + random.nextInt(1400));
            try (CutClient client =
                    new CutClient(site.scheduler.address(), path, headers, "payment", bytes)) {
                RealScheduler.pause(random.nextInt(300));
                client.comeAgain();
                if (bytes < Integer.MAX_VALUE) {
                    client.reconnect();
                }
            } catch (IOException ended) {
                RealScheduler.pause(10); // by the kill, or a request that did not come in time
            }
        }
    }

    /** A sound client: asks on one connection, and on a new one when that has ended at rest. */
    private void askUntilOver(SmallSite site, Random random) {
        boolean isOpen = true;
        while (isOpen && !over.get()) {
            try (Socket socket = site.scheduler.connect()) {
                boolean isFirst = true;
                while (!over.get() && ask(site, socket, random, isFirst)) {
                    isFirst = false;
                    RealScheduler.pause(random.nextInt(60));
                }
            } catch (IOException refused) {
                isOpen = System.nanoTime() < termAt;
                RealScheduler.pause(10);
            }
        }
    }

    /** Asks once; returns whether the connection goes on. */
    private boolean ask(SmallSite site, Socket socket, Random random, boolean isFirst)
            throws IOException {
        int waitMs = 400 + random.nextInt(1400);
        String request =
                random.nextInt(3) > 0
                        ? SmallSite.read(waitMs)
                        : SmallSite.write(waitMs, "z".repeat(random.nextInt(3000) + 1));
        long sent = System.nanoTime();
        try {
            SmallSite.send(socket, request);
            socket.setSoTimeout(waitMs + (int) LATE_MS);
            check(request, readAnswer(socket));
            return true;
        } catch (SocketTimeoutException late) {
            report(request, sent, "no answer in time");
        } catch (EOFException | java.net.SocketException ended) {
            if (isFirst) {
                report(request, sent, "closed unanswered on a new connection");
            } else {
                askAgain(site, request, waitMs, isOwed(sent));
            }
        }
        return false;
    }

    /**
     * A request that crossed the end of a resting connection is sent once more. One that the kill
     * found unanswered may have run, so that its id may be refused at the next process.
     */
    private void askAgain(SmallSite site, String request, int waitMs, boolean isOwed) {
        long sent = System.nanoTime();
        try (Socket socket = site.scheduler.connect()) {
            SmallSite.send(socket, request);
            socket.setSoTimeout(waitMs + (int) LATE_MS);
            Message answer = readAnswer(socket);
            if (isOwed || answer.status() != CONFLICT) {
                check(request, answer);
            }
        } catch (IOException ended) {
            report(request, sent, "unanswered when sent once more: " + ended);
        }
    }

    private static Message readAnswer(Socket socket) throws IOException {
        return Message.read(new DataInputStream(socket.getInputStream()));
    }

    private void check(String request, Message answer) {
        answered.incrementAndGet();
        if (answer.status() == 200) {
            served.incrementAndGet();
            if (!SoakNode.isBodyOf(id(request), answer.body())) {
                broken.add(id(request) + ": not its own answer, or not whole");
            }
        } else if (answer.status() != 502 && answer.status() != 503) {
            broken.add(id(request) + ": status " + answer.status());
        }
    }

    /** Whether a request that was sent then is owed an answer. */
    private boolean isOwed(long sent) {
        return termAt == Long.MAX_VALUE || sent < termAt + OWED_MS * NANOS_PER_MS;
    }

    private void report(String request, long sent, String what) {
        if (isOwed(sent)) {
            broken.add(
                    id(request)
                            + ": "
                            + what
                            + (termAt == Long.MAX_VALUE
                                    ? ""
                                    : ", sent "
                                            + (sent - termAt) / NANOS_PER_MS
                                            + " ms after TERM"));
        }
    }

    /** Leaves with more or less unread behind a request, and at times comes again under its id. */
    private void leaveUntilOver(SmallSite site, Random random) {
        while (!over.get()) {
            String request =
                    random.nextBoolean()
                            ? SmallSite.write(700, "once")
                            : SmallSite.read(400 + random.nextInt(1400));
            StringBuilder behind = new StringBuilder();
            int bytesBehind = random.nextInt(3) * random.nextInt(60_000);
            List<String> ids = new ArrayList<>(List.of(id(request)));
            while (behind.length() < bytesBehind) {
                String further = SmallSite.read(1500);
                ids.add(id(further));
                behind.append(further);
            }
            try {
                Socket socket = site.scheduler.connect();
                SmallSite.send(socket, request + behind);
                RealScheduler.pause(random.nextInt(150));
                socket.setSoLinger(random.nextBoolean(), 0);
                socket.close();
                ids.forEach(id -> leftAt.put(id, System.nanoTime()));
                if (request.startsWith("PUT") && random.nextBoolean()) {
                    RealScheduler.pause(random.nextInt(1000));
                    leftAt.remove(id(request));
                    askAfterLeave(site, request);
                }
            } catch (IOException ended) {
                RealScheduler.pause(20);
            }
        }
    }

    /** Sends a request again after its client has left; it is owed an answer, a refusal or not. */
    private void askAfterLeave(SmallSite site, String request) {
        long sent = System.nanoTime();
        try {
            site.askUntimed(request);
        } catch (IOException unanswered) {
            report(request, sent, "unanswered after a leave: " + unanswered);
        }
    }

    private void floodUntilOver(SmallSite site) {
        String requests = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(20);
        byte[] buffer = new byte[64 * 1024];
        while (!over.get()) {
            try (Socket socket = site.scheduler.connect()) {
                while (!over.get()) {
                    SmallSite.send(socket, requests);
                    if (socket.getInputStream().read(buffer) < 0) {
                        break;
                    }
                }
            } catch (IOException ended) {
                RealScheduler.pause(20);
            }
        }
    }

    /** Writes what makes no request, as fast as it is taken. */
    private void sendEmptyLinesUntilOver(SmallSite site) {
        String lines = "\r\n".repeat(32 * 1024);
        while (!over.get()) {
            try (Socket socket = site.scheduler.connect()) {
                while (!over.get()) {
                    SmallSite.send(socket, lines);
                }
            } catch (IOException ended) {
                RealScheduler.pause(20);
            }
        }
    }

    /**
     * Judges what the node saw, and the times at which attempts were written. Those of the node's
     * threads would count by how long this process kept them waiting, beside all its clients.
     */
    private void judge(SoakNode node, List<FaultLibrary.Sent> attempts) {
        broken.addAll(node.judge.violations());
        Set<String> written =
                attempts.stream().map(FaultLibrary.Sent::id).collect(Collectors.toSet());
        if (!written.containsAll(node.attempts)) {
            broken.add("an attempt that the node saw is not among those written");
        }
        for (FaultLibrary.Sent attempt : attempts) {
            long left = leftAt.getOrDefault(attempt.id(), Long.MAX_VALUE - LEFT_NANOS);
            if (attempt.nanos() > left + LEFT_NANOS) {
                broken.add(
                        attempt.id()
                                + ": begun "
                                + (attempt.nanos() - left) / NANOS_PER_MS
                                + " ms after its client left");
            }
        }
        node.runs.forEach(
                (id, count) -> {
                    if (count > 1) {
                        broken.add(id + ": ran " + count + " times");
                    }
                });
    }

    private static String id(String request) {
        return request.replaceAll("(?s).*X-Trace-Id: (\\S+).*", "$1");
    }
}
