package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * What every case needs: the record, a temporary folder, free ports, the program's processes by the
 * commands of the deploy file, and the end of all of it. Exit codes: 0 the rule held, 1 it was
 * broken, 2 the case could not run.
 */
public final class Rig implements AutoCloseable {
    public static final int HELD = 0;
    public static final int BROKEN = 1;
    public static final int NOT_RUN = 2;
    private static final int MOST_SECONDS = 112;

    /** The disruption to play: "1" for the one of the claim, "0" for none. */
    public final String trouble = System.getenv().getOrDefault("TROUBLE", "1");

    public final Path folder;
    private final Path root = Path.of("").toAbsolutePath();
    private final long start = System.nanoTime();
    private final PrintStream record;
    private final List<Program> programs = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> owned = new CopyOnWriteArrayList<>();

    /** The body of a case; returns an exit code. */
    public interface Body {
        int play(Rig rig) throws Exception;
    }

    private Rig(String recordFile) throws IOException {
        record = new PrintStream(Files.newOutputStream(Path.of(recordFile)), true, "UTF-8");
        folder =
                Files.createTempDirectory(
                        "review-2-",
                        PosixFilePermissions.asFileAttribute(
                                PosixFilePermissions.fromString("rwx------")));
    }

    /** Plays a case, ends all that it started and exits with its code. */
    public static void main(String recordFile, Body body) {
        int code = NOT_RUN;
        try (Rig rig = new Rig(recordFile)) {
            Thread main = Thread.currentThread();
            Thread watchdog =
                    new Thread(
                            () -> {
                                pause(MOST_SECONDS * 1000L);
                                rig.note("over its time: the case is ended");
                                main.interrupt();
                                pause(3000);
                                rig.close();
                                Runtime.getRuntime().halt(NOT_RUN);
                            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
            rig.note("TROUBLE=" + rig.trouble);
            try {
                code = body.play(rig);
            } catch (CannotRun why) {
                rig.note("cannot run: " + why.getMessage());
            } catch (Exception | AssertionError why) {
                rig.note("cannot run: " + why);
                why.printStackTrace(rig.record);
            }
            rig.note(
                    code == HELD
                            ? "VERDICT: the rule held"
                            : code == BROKEN
                                    ? "VERDICT: the rule was broken"
                                    : "VERDICT: the case could not run");
        } catch (IOException why) {
            System.err.println("cannot run: " + why);
        }
        System.exit(code);
    }

    /** The case's preconditions are not met. */
    public static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        public CannotRun(String why) {
            super(why);
        }
    }

    /** Seconds since the start of the case. */
    public double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Writes one line to the record, with its time. */
    public synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f  %s", now(), line));
    }

    public static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Closes this at the end, before the programs are ended. */
    public <T extends AutoCloseable> T own(T part) {
        owned.add(part);
        return part;
    }

    public Path write(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    /** An empty folder inside the temporary one, for its owner alone. */
    public Path makeFolder(String name) throws IOException {
        return Files.createDirectories(
                folder.resolve(name),
                PosixFilePermissions.asFileAttribute(
                        PosixFilePermissions.fromString("rwx------")));
    }

    /** A value of deploy/balancer.toml. */
    private String deploy(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.matches(key + "\\s*=.*")) {
                String rest = line.substring(line.indexOf('"') + 1);
                return rest.substring(0, rest.indexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** Starts the `run` of the deploy file, with further options behind it. */
    public Program run(String name, Path config, Map<String, String> environment, String options)
            throws IOException {
        Map<String, String> all = new LinkedHashMap<>(environment);
        all.put("ROUTER_CONFIG", config.toString());
        all.putIfAbsent("TMPDIR", makeFolder("tmp").toString());
        return new Program(name, deploy("run") + (options.isEmpty() ? "" : " " + options), all);
    }

    /** One of the project's programs, as a process of its own. */
    public final class Program {
        public final String name;
        public final Process process;
        private final List<String> output = new CopyOnWriteArrayList<>();

        private Program(String name, String command, Map<String, String> environment)
                throws IOException {
            this.name = name;
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", command)
                            .directory(root.toFile())
                            .redirectErrorStream(true);
            builder.environment().putAll(environment);
            process = builder.start();
            programs.add(this);
            note(name + " started, pid " + process.pid() + ": " + command);
            Thread reader =
                    new Thread(
                            () -> {
                                try (var lines = process.inputReader(StandardCharsets.UTF_8)) {
                                    lines.lines()
                                            .forEach(
                                                    line -> {
                                                        output.add(line);
                                                        note("    [" + name + "] " + line);
                                                    });
                                } catch (IOException | java.io.UncheckedIOException ended) {
                                    // with its process
                                }
                            });
            reader.setDaemon(true);
            reader.start();
        }

        public List<String> output() {
            return output;
        }

        /** SIGKILL. */
        public void kill() throws InterruptedException {
            note(name + " gets SIGKILL");
            process.destroyForcibly().waitFor();
        }

        /** SIGTERM. */
        public void terminate() {
            note(name + " gets SIGTERM");
            process.destroy();
        }

        /** SIGHUP, or another signal by its name. */
        public void signal(String signal) throws IOException, InterruptedException {
            note(name + " gets SIG" + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        public void awaitEnd(int seconds) throws InterruptedException, CannotRun {
            if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
                throw new CannotRun(name + " has not ended in " + seconds + " s");
            }
            note(name + " ended with " + process.exitValue());
        }
    }

    public void await(String what, int seconds, BooleanSupplier condition) throws CannotRun {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new CannotRun("waited " + seconds + " s for: " + what);
            }
            pause(10);
        }
    }

    /** Waits until the scheduler answers GET /healthz by 200, as the platform does. */
    public void awaitHealthy(Program program, InetSocketAddress clients) throws CannotRun {
        await(
                program.name + " is healthy",
                30,
                () -> {
                    try {
                        return !program.process.isAlive() || health(clients) == 200;
                    } catch (IOException notYet) {
                        return false;
                    }
                });
        if (!program.process.isAlive()) {
            throw new CannotRun(program.name + " ended at its start");
        }
        note(program.name + " answers /healthz by 200");
    }

    /** The status of one GET /healthz on a new connection. */
    public static int health(InetSocketAddress clients) throws IOException {
        try (HttpConnection connection = new HttpConnection(clients)) {
            return connection.call("GET /healthz HTTP/1.1\r\nHost: check\r\n\r\n", new byte[0], 3000)
                    .status;
        }
    }

    /** One call at an operators' door. */
    public String door(int port, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .strip();
            note("door " + port + ": " + line + " -> " + answer);
            return answer;
        }
    }

    public void awaitReadyz(Program program, int port) throws CannotRun {
        await(
                program.name + " says yes to readyz",
                20,
                () -> {
                    try {
                        return !program.process.isAlive() || door(port, "readyz").startsWith("200");
                    } catch (IOException notYet) {
                        pause(50);
                        return false;
                    }
                });
    }

    private boolean isClosed;

    @Override
    public synchronized void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        for (AutoCloseable part : owned) {
            try {
                part.close();
            } catch (Exception ended) {
                // it is closed all the same
            }
        }
        for (Program program : programs) {
            program.process.destroyForcibly();
        }
        for (Program program : programs) {
            try {
                program.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException end) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> all = new ArrayList<>(files.toList());
            java.util.Collections.reverse(all);
            for (Path file : all) {
                Files.deleteIfExists(file);
            }
        } catch (IOException left) {
            record.println("left behind: " + folder + ": " + left);
        }
    }

    /** The configuration of a small deployment: two classes, two plans, the nodes given. */
    public static String config(
            String name, int listen, String discovery, String servers, String writeEffect) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\""
                + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                + " \"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                + " \"known\":{\"version\":1,\"full\":true,\"servers\":[" + servers + "]},\n"
                + " \"settings\":{\"balancers\":1,\"rank\":0,\"tickUs\":2000,\"zones\":[\"a\"],"
                + "\"kinds\":[\"m\"],\"discovery\":\"pushed\",\n"
                + "  \"categories\":[\n"
                + "   {\"name\":\"job-read\",\"effect\":\"read_like\",\"objectiveUs\":400000,"
                + "\"deadlineUs\":2500000,\"worth\":2.0,\"lateWorth\":0.1},\n"
                + "   {\"name\":\"job-write\"," + writeEffect + ",\"objectiveUs\":500000,"
                + "\"deadlineUs\":4000000,\"worth\":2.0,\"lateWorth\":0.1}],\n"
                + "  \"plans\":[{\"name\":\"standard\",\"baseRate\":600,\"floorRate\":600,"
                + "\"parts\":2,\"worthFactor\":1.0}],\n"
                + "  \"limits\":{\"attemptsCap\":3,\"mayCancel\":true,\"probes\":true,"
                + "\"retryAfter\":true,\"maxRetryAfterUs\":500000,"
                + "\"connectTimeoutUs\":250000,\"connIdleUs\":30000000},\n"
                + "  \"rules\":{\"stopSendingWithinUs\":500000,\"coldFrom\":0.29,"
                + "\"rampTimeUs\":17000000,\"overloadFactor\":2.0,\"fallUs\":1000000},\n"
                + "  \"specifics\":{\"changesData\":[false,true],\"unitMean\":2,\"unitsTop\":6,"
                + "\"fairWorth\":0.35,\"idleWorth\":0.05,\"shards\":2,\"youngLimit\":11}}}\n";
    }

    public static final String NON_IDEMPOTENT = "\"effect\":\"non_idempotent\"";

    /** A node's entry in discovery's list. */
    public static String server(String id, int port, int cell, String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":" + cell + ",\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    /** One HTTP message, as it was read. */
    public static final class Message {
        public String first = "";
        public int status;
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];

        public String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Reads one message; null at the end of the stream before its first byte. */
        public static Message read(DataInputStream in) throws IOException {
            String line = line(in);
            if (line == null) {
                return null;
            }
            Message message = new Message();
            message.first = line;
            if (line.startsWith("HTTP/")) {
                message.status = Integer.parseInt(line.split(" ")[1]);
            }
            for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            message.body = new byte[Integer.parseInt(message.headers.getOrDefault("content-length", "0"))];
            in.readFully(message.body);
            return message;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                if (next != '\r') {
                    bytes.write(next);
                }
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** A client's connection by HTTP. */
    public static final class HttpConnection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final DataInputStream in;

        public HttpConnection(InetSocketAddress to) throws IOException {
            try {
                socket.connect(to, 2000);
                socket.setTcpNoDelay(true);
                in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            } catch (IOException failed) {
                socket.close();
                throw failed;
            }
        }

        public void send(String head, byte[] body) throws IOException {
            byte[] start = head.getBytes(StandardCharsets.US_ASCII);
            byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            socket.getOutputStream().write(all);
        }

        /** Reads an answer; throws where the connection ends before it is whole. */
        public Message receive(int milliseconds) throws IOException {
            socket.setSoTimeout(milliseconds);
            Message answer = Message.read(in);
            if (answer == null) {
                throw new IOException("the connection ended without an answer");
            }
            return answer;
        }

        public Message call(String head, byte[] body, int milliseconds) throws IOException {
            send(head, body);
            return receive(milliseconds);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The head of a client's request, as the protocol page has it. */
    public static String head(
            String method, String type, String volume, String piece, String id, int milliseconds,
            int shard, int length, String more) {
        return method + " /" + type + "/" + volume + "/" + piece + " HTTP/1.1\r\n"
                + "Host: backend.local\r\nX-Trace-Id: " + id + "\r\nTier: standard\r\n"
                + "X-Expires-In-Ms: " + milliseconds + "\r\nContent-Length: " + length + "\r\n"
                + "IO-Info: units=1,shard=" + shard + ",hosts=1\r\n" + more + "\r\n";
    }
}
