package cypressglade.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import cypressglade.adapter.Adapter;
import cypressglade.config.Config;
import cypressglade.config.ConfigException;
import cypressglade.config.ControlConfigParser;
import cypressglade.config.NbdConfigParser;
import cypressglade.config.PeersConfigParser;
import cypressglade.config.StormsConfigParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The command line. */
public final class Main {
    private static final System.Logger LOG = System.getLogger(Main.class.getName());
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final Set<String> SERVING = Set.of("serve", "adapter", "check-config");
    private static final Duration ASK_LIMIT = Duration.ofSeconds(5);

    private Main() {}

    @Parameters(commandDescription = "run one scheduler until SIGTERM")
    private static final class ServeCommand extends ConfigCommand {}

    @Parameters(commandDescription = "speak the simulator's wire on standard input and output")
    private static final class AdapterCommand {}

    @Parameters(commandDescription = "print the version")
    private static final class VersionCommand {}

    @Parameters(commandDescription = "read the configuration and say what is wrong with it")
    private static final class CheckConfigCommand extends ConfigCommand {
        @Parameter(
                names = "--start",
                description = "also start every part, on a free port, and stop it")
        private boolean start;
    }

    /** Commands that take a configuration. */
    private static class ConfigCommand implements Reload.Source {
        @Parameter(
                names = "--config",
                description = "config.json; by default what ROUTER_CONFIG names")
        private String config = System.getenv("ROUTER_CONFIG");

        @Parameter(names = "--nbd", description = "the file of the NBD front; off without it")
        private String nbd = "deploy/nbd.json";

        @Parameter(names = "--peers", description = "the file on other schedulers; off without")
        private String peers = "deploy/peers.json";

        @Parameter(
                names = "--console",
                description = "the file of the control socket; off without it")
        private String console = "deploy/console.json";

        @Parameter(names = "--storms", description = "the file on retry storms; off without it")
        private String storms = "deploy/storms.json";

        @Override
        public OperatorFiles readFiles(Config scheduler) throws ConfigException {
            return new OperatorFiles(
                    NbdConfigParser.read(Path.of(nbd), scheduler.settings()),
                    PeersConfigParser.read(Path.of(peers)),
                    ControlConfigParser.read(Path.of(console)),
                    StormsConfigParser.read(Path.of(storms)));
        }

        @Override
        public Config read() throws ConfigException {
            if (config == null || config.isEmpty()) {
                throw new ConfigException("no configuration: give --config or set ROUTER_CONFIG");
            }
            return Config.read(Path.of(config)).operatorFrom(System.getenv("ROUTER_OPERATOR"));
        }
    }

    /** Runs the command that {@code args} name; exits with 0, 1 on a failure, 2 on wrong usage. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    /** Runs a command; returns its exit code. */
    static int run(String[] args, InputStream in, PrintStream out, PrintStream errors) {
        try {
            boolean plain = args.length == 1 && args[0].equals("serve");
            // A restart must not pay for reading no options.
            return plain ? serve(new ServeCommand(), out) : command(args, in, out, errors);
        } catch (ConfigException bad) {
            errors.println("cypressglade: " + bad.getMessage());
            return USAGE;
        } catch (IOException failed) {
            errors.println("cypressglade: " + failed.getMessage());
            return FAILED;
        }
    }

    private static int command(String[] args, InputStream in, PrintStream out, PrintStream errors)
            throws ConfigException, IOException {
        ServeCommand serve = new ServeCommand();
        CheckConfigCommand check = new CheckConfigCommand();
        JCommander commands =
                JCommander.newBuilder()
                        .programName("cypressglade")
                        .addCommand("serve", serve)
                        .addCommand("adapter", new AdapterCommand())
                        .addCommand("check-config", check)
                        .addCommand("version", new VersionCommand())
                        .build();
        // Those that serve must not pay at their start for the classes of those that ask.
        boolean serves = args.length > 0 && SERVING.contains(args[0]);
        Map<String, Asking> asking = serves ? Map.of() : asking(commands);
        try {
            commands.parse(args);
            Asking asked = asking.get(Optional.ofNullable(commands.getParsedCommand()).orElse(""));
            if (asked != null) {
                asked.run(out);
                return OK;
            }
            switch (Optional.ofNullable(commands.getParsedCommand()).orElse("")) {
                case "serve" -> {
                    return serve(serve, out);
                }
                case "adapter" -> {
                    return Adapter.run(in, out, errors);
                }
                case "check-config" -> {
                    Config config = check.read();
                    OperatorFiles files = check.readFiles(config);
                    out.println(
                            config.name()
                                    + ": usable; "
                                    + config.settings().classes().size()
                                    + " classes, "
                                    + config.settings().plans().size()
                                    + " plans, "
                                    + config.known().entries().size()
                                    + " nodes known, NBD "
                                    + files.nbd().map(nbd -> "on " + nbd.listen()).orElse("off")
                                    + ", peers "
                                    + files.peers().map(PeersCommand::summary).orElse("off")
                                    + ", control socket "
                                    + files.control()
                                            .map(control -> control.socket().toString())
                                            .orElse("off")
                                    + ", storms "
                                    + (files.storms().isPresent() ? "on" : "off"));
                    return check.start && !starts(config, out) ? FAILED : OK;
                }
                case "version" -> {
                    String version = Main.class.getPackage().getImplementationVersion();
                    out.println(
                            "cypressglade " + Optional.ofNullable(version).orElse("(unpacked)"));
                    return OK;
                }
                default -> throw new ParameterException("no command given");
            }
        } catch (ParameterException wrong) {
            errors.println("cypressglade: " + wrong.getMessage());
            if (serves) {
                asking(commands); // the usage names all
            }
            StringBuilder usage = new StringBuilder();
            commands.getUsageFormatter().usage(usage);
            errors.print(usage);
            return USAGE;
        }
    }

    private static int serve(ServeCommand command, PrintStream out)
            throws ConfigException, IOException {
        Thread.setDefaultUncaughtExceptionHandler(new ThreadDeath());
        Reload reload = new Reload(command);
        if (!Signals.onHangUp(reload)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored by whoever started this program, as by nohup: "
                            + "no new configuration is read; "
                            + "start it with the signal at its default");
        }
        Config config = Reload.readable(command::read);
        Rehearsal.play(config);
        return serve(new Serve(config, command.readFiles(config)), reload, out);
    }

    /** Adds the commands that print something and end. */
    private static Map<String, Asking> asking(JCommander commands) {
        Map<String, Asking> asking = new LinkedHashMap<>();
        asking.put("console", new OperatorCommand.ConsoleCommand());
        asking.put("nodes", new OperatorCommand.Nodes());
        asking.put("queues", new OperatorCommand.Queues());
        asking.put("refusals", new OperatorCommand.Refusals());
        asking.put("settings", new OperatorCommand.SettingsCommand());
        asking.put("events", new OperatorCommand.EventsCommand());
        asking.put("drain", new OperatorCommand.Drain());
        asking.put("undrain", new OperatorCommand.Undrain());
        asking.put("peers", new PeersCommand());
        asking.put("new-key", new PeersCommand.NewKey());
        asking.put("lab", new LabCommand());
        asking.put("completion", new CompletionCommand(commands));
        asking.forEach(commands::addCommand);
        return asking;
    }

    /**
     * Starts a scheduler beside whatever runs, and asks it for its health and for a request of no
     * node.
     */
    private static boolean starts(Config config, PrintStream out) throws IOException {
        InetSocketAddress free = new InetSocketAddress("127.0.0.1", 0);
        try (Serve scheduler = new Serve(config.on(free), OperatorFiles.NONE)) {
            out.println("rehearsed: " + Rehearsal.play(config) + " requests");
            scheduler.start();
            String health = ask(scheduler, "/healthz", "");
            String type = config.settings().classes().get(0).name();
            String request =
                    ask(
                            scheduler,
                            "/" + type + "/0000000000000001/0000000000000002",
                            "X-Trace-Id: 1\r\nTier: "
                                    + config.settings().plans().get(0).name()
                                    + "\r\nX-Expires-In-Ms: 500\r\n"
                                    + "IO-Info: units=1,shard=0,hosts=1\r\n");
            out.println("health: " + health + "; a request: " + request);
            return health.endsWith(" 200 OK");
        }
    }

    private static String ask(Serve scheduler, String path, String headers) throws IOException {
        try (Socket socket =
                new Socket(scheduler.address().getAddress(), scheduler.address().getPort())) {
            socket.setSoTimeout((int) ASK_LIMIT.toMillis());
            socket.getOutputStream()
                    .write(
                            ("GET " + path + " HTTP/1.1\r\nHost: check\r\n" + headers + "\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    private static int serve(Serve scheduler, Reload reload, PrintStream out) throws IOException {
        reload.to(scheduler);
        // Guards against a signal to stop between the first answer to /healthz and the hook.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        scheduler.drain();
                                    } catch (InterruptedException cut) {
                                        Thread.currentThread().interrupt();
                                    }
                                    out.print(scheduler.counters().text());
                                    out.print(ProcessMemory.peak());
                                    out.flush();
                                    // a planned stop is no failure, whatever the signal's own
                                    // code
                                    Runtime.getRuntime().halt(OK);
                                },
                                "stop"));
        if (scheduler.start()) {
            out.println("listening on " + scheduler.address());
        } // else a signal to stop came first, and the hook above ends the program
        scheduler.peerAddress().ifPresent(address -> out.println("peers on " + address));
        scheduler.nbdAddress().ifPresent(address -> out.println("NBD on " + address));
        scheduler
                .operatorAddress()
                .ifPresent(address -> out.println("operators' door on " + address));
        try {
            Thread.currentThread().join();
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
        return OK;
    }
}
