package cypressglade.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import cypressglade.config.ConfigException;
import cypressglade.config.PeersConfigParser;
import cypressglade.learn.NodeObservation;
import cypressglade.member.Member;
import cypressglade.peer.PeerReport;
import cypressglade.peer.PeersConfig;
import cypressglade.peer.PeersConfig.Network;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Shows whom a running instance knows, and what it learned, by asking it as a peer does. */
@Parameters(
        commandDescription = "show the members that a running scheduler sees, and what it learned")
final class PeersCommand implements Asking {
    private static final int KEY_BYTES = 32;

    @Parameter(names = "--peers", description = "the file on other schedulers")
    private String file = "deploy/peers.json";

    @Parameter(
            names = "--at",
            description = "ADDRESS:PORT to ask; by default where the file listens")
    private String at = "";

    @Parameter(names = "--json", description = "print JSON")
    private boolean json;

    /** A line for {@code check-config}. */
    static String summary(PeersConfig config) {
        return config.name()
                + config.network()
                        .map(
                                network ->
                                        " on "
                                                + text(network.listenAddress())
                                                + " with "
                                                + network.seeds().size()
                                                + " seeds")
                        .orElse(" alone")
                + config.snapshots().map(kept -> ", snapshots in " + kept.directory()).orElse("");
    }

    @Parameters(commandDescription = "print a line for a key file of peers, with a key by chance")
    static final class NewKey implements Asking {
        @Override
        public void run(PrintStream out) {
            byte[] key = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(key);
            out.println("1 " + HexFormat.of().formatHex(key));
        }
    }

    @Override
    public void run(PrintStream out) throws ConfigException, IOException {
        PeersConfig config = PeersConfigParser.read(Path.of(file)).orElseThrow(this::notEnabled);
        Network network = config.network().orElseThrow(this::alone);
        PeerReport report =
                PeerReport.fetch(
                        at.isEmpty() ? network.listenAddress() : address(at), network.keys());
        out.print(json ? json(report) : table(report));
    }

    private ConfigException notEnabled() {
        return new ConfigException(
                file
                        + ": is not there or says \"enabled\": false; "
                        + "without it there are no peers to show");
    }

    private ConfigException alone() {
        return new ConfigException(
                file + ": names no \"listen\"; an instance that is alone has no peers to show");
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException notAnAddress) {
            throw new ParameterException("--at " + text + " is not ADDRESS:PORT");
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String table(PeerReport report) {
        StringBuilder table =
                new StringBuilder(
                        String.format(
                                "%-24s %-22s %-8s %s%n",
                                "MEMBER", "ADDRESS", "STATE", "INCARNATION"));
        for (Member member : report.members()) {
            table.append(
                    String.format(
                            "%-24s %-22s %-8s %d%n",
                            member.name(),
                            text(member.address()),
                            state(member),
                            member.incarnation()));
        }
        table.append(
                String.format(
                        "%n%-24s %-24s %9s %9s %10s %s%n",
                        "NODE", "TOLD BY", "AGE s", "SILENT s", "ms a UNIT", "ANSWERS"));
        for (NodeObservation observation : sorted(report.observations())) {
            table.append(
                    String.format(
                            Locale.ROOT,
                            "%-24s %-24s %9.1f %9s %10.2f %d%n",
                            observation.nodeId(),
                            observation.origin().name(),
                            seconds(observation, report.requestedAt()),
                            observation.isSilent()
                                    ? String.format(
                                            Locale.ROOT,
                                            "%.1f",
                                            observation.silentFor().toMillis() / 1e3)
                                    : "-",
                            observation.serviceTimePerUnitMicros() / 1e3,
                            observation.answerCount()));
        }
        table.append(String.format("%n"));
        for (Map.Entry<String, Long> figure : report.counters().entrySet()) {
            table.append(String.format("%-24s %d%n", figure.getKey(), figure.getValue()));
        }
        return table.toString();
    }

    private static List<NodeObservation> sorted(List<NodeObservation> words) {
        return words.stream()
                .sorted(
                        Comparator.comparing(NodeObservation::nodeId)
                                .thenComparing(
                                        NodeObservation::observedAt, Comparator.reverseOrder()))
                .toList();
    }

    private static String state(Member member) {
        return member.state().name().toLowerCase(Locale.ROOT);
    }

    private static double seconds(NodeObservation observation, Instant now) {
        return observation.age(now).toMillis() / 1e3;
    }

    private static String json(PeerReport report) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out =
                new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeArrayFieldStart("members");
            for (Member member : report.members()) {
                out.writeStartObject();
                out.writeStringField("name", member.name());
                out.writeStringField("address", text(member.address()));
                out.writeStringField("state", state(member));
                out.writeNumberField("incarnation", member.incarnation());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("learned");
            for (NodeObservation observation : sorted(report.observations())) {
                out.writeStartObject();
                out.writeStringField("node", observation.nodeId());
                out.writeStringField("told_by", observation.origin().name());
                out.writeNumberField("age_s", seconds(observation, report.requestedAt()));
                out.writeNumberField("silent_s", observation.silentFor().toMillis() / 1e3);
                out.writeNumberField("us_a_unit", observation.serviceTimePerUnitMicros());
                out.writeNumberField("backlog_us", observation.backlogMicros());
                out.writeNumberField("strain", observation.latencyRatio());
                out.writeNumberField("errors", observation.errorRatio());
                out.writeNumberField("answers", observation.answerCount());
                out.writeNumberField("started_us", observation.startedMicros());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeObjectFieldStart("figures");
            for (Map.Entry<String, Long> figure : report.counters().entrySet()) {
                out.writeNumberField(figure.getKey(), figure.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return text + System.lineSeparator();
    }
}
