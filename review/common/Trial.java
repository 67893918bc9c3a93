import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the record, a temporary folder, the schedulers that a case starts, and the
 * exit code. Runs from the root of the repository.
 */
final class Trial {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_MS = 100_000;

    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean run(Trial trial) throws Exception;
    }

    /** Whether the disruption is played. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Trial(Path caseFolder) throws IOException {
        record =
                new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        folder = Files.createTempDirectory("review");
    }

    /** Runs a case and ends the program with the exit code that the case's result calls for. */
    static void main(String caseFolder, Case body) throws IOException {
        Trial trial = new Trial(Path.of(caseFolder));
        Runtime.getRuntime().addShutdownHook(new Thread(trial::cleanUp));
        Thread limit =
                new Thread(
                        () -> {
                            pause(LIMIT_MS);
                            trial.note("trial", "did not end in time");
                            System.exit(COULD_NOT_RUN);
                        });
        limit.setDaemon(true);
        limit.start();
        int code;
        try {
            trial.note("trial", trial.trouble ? "with the disruption" : "without the disruption");
            boolean broken = body.run(trial);
            trial.note("trial", broken ? "RULE BROKEN" : "rule held");
            code = broken ? BROKEN : HELD;
        } catch (Exception | AssertionError failure) {
            trial.note("trial", "could not run: " + failure);
            failure.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }

    /** Writes a line to the record, and shows it. */
    void note(String who, String what) {
        System.out.println(record(who, what));
    }

    /** Writes a line to the record only; returns it. */
    synchronized String record(String who, String what) {
        String line =
                String.format("%8.3f %-12s %s", (System.nanoTime() - startNanos) / 1e9, who, what);
        record.println(line);
        return line;
    }

    private void cleanUp() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException cut) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (this) {
            record.flush();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException left) {
            System.err.println("temporary folder not removed: " + left);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
    }

    /** A condition that is waited for. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for a condition; the case could not run where it does not come to hold. */
    static void await(String what, long millis, Condition condition) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("it did not come: " + what);
            }
            pause(20);
        }
    }

    Path file(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
        return file;
    }

    /** The command of the deploy file that runs one scheduler. */
    private static String runCommand() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run\\s*=\\s*\"([^\"]*)\"")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        return run.group(1);
    }

    /**
     * Starts a scheduler by the deploy file's command.
     *
     * @param options further options of the command, such as the file of a front
     */
    Scheduler start(String name, Path config, Path temporary, String door, String options)
            throws IOException {
        Files.createDirectories(temporary);
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", (runCommand() + " " + options).trim())
                        .redirectErrorStream(true);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        if (!door.isEmpty()) {
            builder.environment().put("ROUTER_OPERATOR", door);
        }
        Process process = builder.start();
        processes.add(process);
        note(name, "started, pid " + process.pid() + ", options \"" + options + "\"");
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader lines =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    process.getInputStream(),
                                                    StandardCharsets.UTF_8))) {
                                lines.lines()
                                        .filter(line -> !line.isBlank())
                                        .forEach(line -> note(name, "log: " + line));
                            } catch (IOException | UncheckedIOException ended) {
                                note(name, "log ended");
                            }
                        });
        reader.setDaemon(true);
        reader.start();
        return new Scheduler(this, name, process);
    }

    /** A scheduler's process. */
    record Scheduler(Trial trial, String name, Process process) {
        void signal(String signal) throws Exception {
            trial.note(name, "gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        /** Waits until GET /healthz at the clients' address says 200. */
        void awaitHealthy(int port) throws Exception {
            Trial.await(
                    name + " is ready",
                    30_000,
                    () -> {
                        if (!process.isAlive()) {
                            throw new IllegalStateException(name + " ended");
                        }
                        try {
                            return Http.get(port, "/healthz").status() == 200;
                        } catch (IOException notYet) {
                            return false;
                        }
                    });
            trial.note(name, "ready");
        }

        void awaitEnd(long millis) throws Exception {
            if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(name + " did not end");
            }
            trial.note(name, "ended with " + process.exitValue());
        }
    }

    /** One counter of a scheduler. */
    static long counter(int port, String name) throws IOException {
        Matcher found =
                Pattern.compile("(?m)^" + name + "[ =:]+(\\d+)")
                        .matcher(Http.get(port, "/counters").text());
        return found.find() ? Long.parseLong(found.group(1)) : -1;
    }

    /** One call at the operators' door. */
    static String door(int port, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }
}
