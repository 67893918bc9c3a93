package cypressglade.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cypressglade.member.Member.State;
import cypressglade.share.SharingSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A fleet of real processes of this program on loopback, each with its own files, with a {@link
 * FaultHub} between them. What a member sees is read from the lines that it logs ({@code
 * fleet.View}); waits are for such lines and end at a bound. Member {@code n} is named {@code m-n};
 * all seek member 0, and member 0 seeks member 1.
 *
 * <p>Only processes that it started are signalled, by their id; {@link #close} ends all of them.
 */
public final class ProcessFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration START = Duration.ofSeconds(60);
    private static final Duration END = Duration.ofSeconds(20);
    private static final int KEY_BYTES = 32;
    private static final int MOST_TAIL = 40;
    private static final int MOST_EVENTS = 200_000;
    private static final String HEAP = "-Xmx64m";

    private final Path folder;
    private final Duration period;
    private final UnaryOperator<String> configuration;
    private final Optional<SharingSettings> terms;
    private final FaultHub hub;
    private final List<Slot> slots = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();

    /** A line that a member logged: a change of what it sees, or a name that it refused. */
    public record Event(long atMs, int seenBy, JsonNode line) {
        /** Whom it is about. */
        public String name() {
            return line.path("member").path("name").asText();
        }

        public String state() {
            return line.path("member").path("state").asText();
        }
    }

    /** One member's place: its process while it runs, and what it says. */
    private static final class Slot {
        private final int number;
        private String name;
        private Process process;
        private boolean stalled;
        private InetSocketAddress door;
        private InetSocketAddress clients;
        private boolean up;
        private final Map<String, String> seen = new HashMap<>();
        private final ArrayList<String> tail = new ArrayList<>();

        private Slot(int number) {
            this.number = number;
            name = "m-" + number;
        }
    }

    /**
     * A fleet of so many members, none of which runs yet.
     *
     * @param folder the members' files go there
     * @param period of the membership
     * @param seed of the faults
     */
    public ProcessFleet(Path folder, int members, Duration period, long seed) throws IOException {
        this(folder, members, period, seed, UnaryOperator.identity(), Optional.empty());
    }

    /**
     * The same, with a configuration changed from the example's, and with members that share limits
     * and verdicts where there are terms.
     */
    public ProcessFleet(
            Path folder,
            int members,
            Duration period,
            long seed,
            UnaryOperator<String> configuration,
            Optional<SharingSettings> terms)
            throws IOException {
        this.folder = folder;
        this.period = period;
        this.configuration = configuration;
        this.terms = terms;
        hub = new FaultHub(members, seed);
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        Path ring =
                Files.createFile(
                        folder.resolve("peers.key"),
                        PosixFilePermissions.asFileAttribute(
                                PosixFilePermissions.fromString("rw-------")));
        Files.writeString(ring, "1 " + HexFormat.of().formatHex(key) + "\n");
        IntStream.range(0, members).forEach(i -> slots.add(new Slot(i)));
    }

    public static String name(int member) {
        return "m-" + member;
    }

    public FaultHub hub() {
        return hub;
    }

    public int size() {
        return slots.size();
    }

    // ---- processes

    /**
     * Starts the first members, all at once, and waits until each serves and all hold each other
     * alive.
     */
    public void startAll(int members) throws IOException {
        for (Slot slot : slots.subList(0, members)) {
            launch(slot);
        }
        for (Slot slot : slots.subList(0, members)) {
            awaitUp(slot);
        }
        if (oneView(START) < 0) {
            throw new IOException("the fleet did not come to one view: " + text());
        }
    }

    /** Starts a member, or starts it again after it ended, and waits until it serves. */
    public void start(int member) throws IOException {
        start(member, name(member));
    }

    /** The same under any name, such as one that another member has. */
    public void start(int member, String name) throws IOException {
        slots.get(member).name = name;
        launch(slots.get(member));
        awaitUp(slots.get(member));
    }

    private void launch(Slot slot) throws IOException {
        int number = slot.number;
        Path own = Files.createDirectories(folder.resolve("m-" + number));
        Path config =
                Files.writeString(
                        own.resolve("config.json"),
                        configuration
                                .apply(Files.readString(Path.of("deploy/config.example.json")))
                                .replace("\"name\":\"n1\"", "\"name\":\"" + slot.name + "\"")
                                .replace("127.0.0.1:8500", "127.0.0.1:" + closedPort()));
        String seeds = text(hub.address(number == 0 ? Math.min(1, slots.size() - 1) : 0));
        ObjectNode file =
                JSON.createObjectNode()
                        .put("enabled", true)
                        .put("name", slot.name)
                        .put("listen", FaultHub.host(number) + ":0")
                        .put("advertise", text(hub.address(number)))
                        .put("seeds", seeds)
                        .put("key_file", "../peers.key")
                        .put("period_ms", period.toMillis())
                        .put("view", true)
                        .put("start_wait_ms", 0);
        if (terms.isPresent()) {
            ArrayNode roster = file.putArray("roster");
            terms.get().roster().forEach(roster::add);
            file.put("floor", terms.get().floorFraction())
                    .put("lag", terms.get().lagWindows())
                    .put("window_ms", terms.get().windowLength().toMillis())
                    .put(
                            "snapshot_dir",
                            Files.createDirectories(own.resolve("kept")).getFileName().toString());
        }
        Path fleet = Files.writeString(own.resolve("fleet.json"), file.toString());
        ProcessBuilder builder =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                HEAP,
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "cypressglade.cli.Main",
                                "serve",
                                "--config",
                                config.toString(),
                                "--peers",
                                fleet.toString(),
                                "--nbd",
                                "off",
                                "--console",
                                "off")
                        .redirectErrorStream(true);
        builder.environment().put("ROUTER_OPERATOR", "127.0.0.1:0");
        builder.environment().put("TMPDIR", own.toString());
        Process process = builder.start();
        synchronized (events) {
            slot.process = process;
            slot.up = false;
            slot.stalled = false;
            slot.door = null;
            slot.seen.clear();
        }
        Thread reader = new Thread(() -> read(slot, process), "reads m-" + number);
        reader.setDaemon(true);
        reader.start();
    }

    /** A port that nobody listens on, for the discovery that a fleet's members do without. */
    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void awaitUp(Slot slot) throws IOException {
        if (!await(START, () -> slot.up || !slot.process.isAlive()) || !slot.up) {
            throw new IOException(
                    slot.name + " did not start; it said last:\n" + String.join("\n", slot.tail));
        }
    }

    private void read(Slot slot, Process process) {
        try (BufferedReader out = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                int json = line.indexOf("{\"fleet\":");
                JsonNode node = json < 0 ? null : JSON.readTree(line.substring(json));
                synchronized (events) {
                    if (slot.process != process) {
                        return; // what a former life said last is of no account
                    }
                    said(slot, line, node);
                    events.notifyAll();
                }
            }
        } catch (IOException ended) {
            // the process ended
        }
        synchronized (events) {
            events.notifyAll();
        }
    }

    private void said(Slot slot, String line, JsonNode node) {
        if (node == null) {
            slot.tail.add(line);
            if (slot.tail.size() > MOST_TAIL) {
                slot.tail.remove(0);
            }
            if (line.startsWith("listening on ")) {
                slot.clients = address(line);
            } else if (line.startsWith("operators' door on ")) { // the last line of a start
                slot.door = address(line);
                slot.up = true;
            }
            return;
        }
        if (events.size() < MOST_EVENTS) {
            events.add(new Event(node.path("at_ms").asLong(), slot.number, node));
        }
        if (node.path("fleet").asText().equals("change")) {
            JsonNode member = node.path("member");
            slot.seen.put(member.path("name").asText(), member.path("state").asText());
        }
    }

    private static InetSocketAddress address(String line) {
        String address = line.substring(line.indexOf('/') + 1);
        return new InetSocketAddress(
                address.substring(0, address.lastIndexOf(':')),
                Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    }

    /** Where a member takes clients, in its present life. */
    public InetSocketAddress clients(int member) {
        synchronized (events) {
            return slots.get(member).clients;
        }
    }

    /** Ends a member at once, as a crash does; the time, in milliseconds of the epoch. */
    public long kill(int member) {
        long at = System.currentTimeMillis();
        slots.get(member).process.destroyForcibly();
        ended(member);
        return at;
    }

    /** Ends a member in order. */
    public void stop(int member) {
        slots.get(member).process.destroy();
        ended(member);
    }

    private void ended(int member) {
        Process process = slots.get(member).process;
        try {
            if (!process.waitFor(END.toMillis(), TimeUnit.MILLISECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        synchronized (events) {
            slots.get(member).up = false;
        }
    }

    /** Stands a member's process still (SIGSTOP). */
    public void stall(int member) throws IOException {
        signal(member, "-STOP");
    }

    /** Lets it go on (SIGCONT). */
    public void resume(int member) throws IOException {
        signal(member, "-CONT");
    }

    private void signal(int member, String signal) throws IOException {
        Slot slot = slots.get(member);
        Process kill =
                new ProcessBuilder("kill", signal, Long.toString(slot.process.pid())).start();
        try {
            if (kill.waitFor() != 0) {
                throw new IOException("kill " + signal + " of " + slot.name + " failed");
            }
        } catch (InterruptedException cut) {
            Thread.currentThread().interrupt();
        }
        synchronized (events) {
            slot.stalled = signal.equals("-STOP");
        }
    }

    /** Does at once what a line of a script says, whatever its time; false as for a step. */
    public boolean act(String line) throws IOException, FaultScript.Unusable {
        return act(FaultScript.parse("line", line, slots.size()).steps().get(0));
    }

    /**
     * Does what a step of a script says; false where it expects something that does not come in
     * time. A step about processes waits until it is done.
     */
    public boolean act(FaultScript.Step step) throws IOException {
        boolean held = true;
        switch (step.verb()) {
            case KILL -> step.from().forEach(this::kill);
            case STOP -> step.from().forEach(this::stop);
            case START -> {
                for (int member : step.from()) {
                    start(member);
                }
            }
            case STALL -> {
                for (int member : step.from()) {
                    stall(member);
                }
            }
            case RESUME -> {
                for (int member : step.from()) {
                    resume(member);
                }
            }
            case EXPECT_DEAD -> {
                List<Integer> rest = running(step.from().toArray(Integer[]::new));
                for (int member : step.from()) {
                    held &= held(rest, name(member), State.DEAD, step.least()) >= 0;
                }
            }
            case EXPECT_ONE_VIEW -> held = oneView(step.least()) >= 0;
            default -> hub.change(faults -> FaultScript.apply(step, faults));
        }
        return held;
    }

    // ---- what the members see

    /** One call at a member's operators' door: its answer. */
    public String call(int member, String line) throws IOException {
        InetSocketAddress door = slots.get(member).door;
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.setSoTimeout((int) END.toMillis());
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return Optional.ofNullable(
                            new BufferedReader(
                                            new InputStreamReader(
                                                    socket.getInputStream(),
                                                    StandardCharsets.UTF_8))
                                    .readLine())
                    .orElse("");
        }
    }

    /** A member's whole view, as its door tells it. */
    public JsonNode view(int member) throws IOException {
        String answer = call(member, "fleet");
        if (!answer.startsWith("200 ")) {
            throw new IOException(name(member) + " told no view: " + answer);
        }
        return JSON.readTree(answer.substring("200 ".length()));
    }

    /**
     * What was logged since a time in milliseconds of the epoch, by anyone, in the order it was
     * read in.
     */
    public List<Event> since(long ms) {
        synchronized (events) {
            return events.stream().filter(event -> event.atMs >= ms).toList();
        }
    }

    /** Changes to DEAD since a time, but for those of the names given. */
    public List<Event> deaths(long sinceMs, String... but) {
        return since(sinceMs).stream()
                .filter(
                        event ->
                                event.state().equals(text(State.DEAD))
                                        && !List.of(but).contains(event.name()))
                .toList();
    }

    /** Whether something is logged by a member before the bound, or was since the time given. */
    public boolean logged(long sinceMs, Duration most, Predicate<Event> wanted) {
        return await(
                most,
                () ->
                        events.stream()
                                .anyMatch(event -> event.atMs >= sinceMs && wanted.test(event)));
    }

    /**
     * Waits until those members hold one of that name in a state.
     *
     * @return when the last of them came to, in milliseconds of the epoch; -1 where one did not
     *     within the bound
     */
    public long held(List<Integer> by, String name, State state, Duration most) {
        boolean all =
                await(
                        most,
                        () ->
                                by.stream()
                                        .map(slots::get)
                                        .allMatch(slot -> text(state).equals(slot.seen.get(name))));
        return !all
                ? -1
                : last(
                        event ->
                                by.contains(event.seenBy)
                                        && event.name().equals(name)
                                        && event.state().equals(text(state)));
    }

    /**
     * Waits until all that run, and do not stand still, hold each other alive.
     *
     * @return when the last change to that came, in milliseconds of the epoch; -1 where it did not
     *     come
     */
    public long oneView(Duration most) {
        return await(most, this::one) ? last(event -> event.state().equals(text(State.ALIVE))) : -1;
    }

    private boolean one() {
        List<Slot> running = slots.stream().filter(slot -> slot.up && !slot.stalled).toList();
        return running.stream()
                .allMatch(
                        slot ->
                                running.stream()
                                        .filter(other -> other != slot)
                                        .allMatch(other -> holdsAlive(slot, other)));
    }

    private static boolean holdsAlive(Slot slot, Slot other) {
        return text(State.ALIVE).equals(slot.seen.get(other.name));
    }

    private long last(Predicate<Event> of) {
        synchronized (events) {
            return events.stream().filter(of).mapToLong(Event::atMs).max().orElse(-1);
        }
    }

    /** Members that run, but for those given. */
    public List<Integer> running(Integer... but) {
        synchronized (events) {
            return slots.stream()
                    .filter(slot -> slot.up && !List.of(but).contains(slot.number))
                    .map(slot -> slot.number)
                    .toList();
        }
    }

    private boolean await(Duration most, BooleanSupplier come) {
        long end = System.nanoTime() + most.toNanos();
        synchronized (events) {
            while (!come.getAsBoolean()) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return false;
                }
                try {
                    events.wait(left);
                } catch (InterruptedException cut) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
            return true;
        }
    }

    /**
     * Lets a time pass in which faults act; what is looked at after it is what was logged
     * meanwhile.
     */
    public void pass(Duration time) {
        await(time, () -> false);
    }

    private static String text(State state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /** What each member sees now, for messages. */
    public String text() {
        synchronized (events) {
            return slots.stream()
                    .map(
                            slot ->
                                    slot.name
                                            + (slot.up ? "" : " (down)")
                                            + (slot.stalled ? " (stalled)" : "")
                                            + " sees "
                                            + slot.seen)
                    .collect(Collectors.joining("; "));
        }
    }

    /** The one place where processes are ended for good. */
    @Override
    public void close() throws IOException {
        for (Slot slot : slots) {
            if (slot.process != null) {
                slot.process.destroyForcibly();
            }
        }
        for (Slot slot : slots) {
            if (slot.process != null) {
                ended(slot.number);
            }
        }
        hub.close();
    }
}
