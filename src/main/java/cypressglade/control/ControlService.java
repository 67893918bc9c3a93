package cypressglade.control;

import com.fasterxml.jackson.core.JsonGenerator;
import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.Micros;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler.ClassQueue;
import cypressglade.core.Scheduler.QueueView;
import cypressglade.core.Scheduler.Reason;
import cypressglade.member.Member;
import cypressglade.operate.EventLog;
import cypressglade.operate.EventLog.Event;
import cypressglade.operate.ManualDrain;
import cypressglade.operate.ManualDrains;
import cypressglade.operate.ManualDrains.Order;
import cypressglade.operate.ManualDrains.Result;
import cypressglade.operate.SchedulerStatus;
import cypressglade.operate.StatusCache;
import cypressglade.snapshot.SnapshotStore;
import cypressglade.snapshot.SnapshotStore.SnapshotFile;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Executes the requests of the control socket. Orders are executed and written to the disk on the
 * server's thread before they are answered; the fronts and the scheduling policy never wait for
 * them. The engine's thread only collects the status, which is formatted here.
 */
public final class ControlService implements ControlServer.Handler, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ControlService.class.getName());

    /** Drains are restored however long the scheduler was down. */
    private static final Duration MAX_DRAIN_AGE = Duration.ofDays(36_500);

    private static final int MAX_EVENTS_IN_STATUS = 8;

    private final Engine engine;
    private final Counters counters;
    private final ManualDrains drains;
    private final EventLog events = new EventLog();
    private final StatusCache statusCache;
    private final Supplier<List<Member>> members;
    private final Supplier<Map<String, String>> settings;
    private final SnapshotStore store;
    private final ControlServer server;

    /**
     * Restores the stored drains, opens the socket and starts to serve.
     *
     * @param config where the socket and the stored drains are
     * @param engine the source of the status
     * @param counters the counters to show
     * @param drains the drains that clients read and change
     * @param members the instances that this one sees, itself first; empty without peers
     * @param settings the current settings by name
     * @throws IOException if the socket cannot be opened; the message says why and what to do
     */
    public ControlService(
            ControlConfig config,
            Engine engine,
            Counters counters,
            ManualDrains drains,
            Supplier<List<Member>> members,
            Supplier<Map<String, String>> settings)
            throws IOException {
        this.engine = engine;
        this.counters = counters;
        this.drains = drains;
        this.members = members;
        this.settings = settings;
        statusCache = new StatusCache(this::readStatus);
        store = new SnapshotStore(config.directory(), "drains");
        restoreDrains();
        server = new ControlServer(config.socket(), this, MonotonicClock::now);
        server.start();
        recordEvent("control.open", Map.of("socket", config.socket().toString()));
    }

    private void restoreDrains() {
        for (SnapshotFile file : store.read(Instant.now(), MAX_DRAIN_AGE)) {
            try {
                if (file.fault() == SnapshotStore.Fault.NONE) {
                    drains.restoreDrains(ManualDrainJson.parse(file.body()));
                    return;
                }
                LOG.log(Level.WARNING, "{0} is ignored: {1}", file.file(), file.fault());
            } catch (IOException unreadable) {
                LOG.log(Level.WARNING, "{0} is ignored: {1}", file.file(), unreadable.getMessage());
            }
        }
    }

    private void readStatus(Consumer<SchedulerStatus> consumer) {
        engine.readStatus(
                (nodes, queues) -> server.post(() -> consumer.accept(status(nodes, queues))));
    }

    private SchedulerStatus status(List<NodeStatus> nodes, QueueView queues) {
        return new SchedulerStatus(MonotonicClock.now(), nodes, queues, drains.list());
    }

    /** Records finished drains; reads the nodes only while a drain is unfinished. */
    @Override
    public void tick() {
        if (drains.list().stream().anyMatch(drain -> !drain.done())) {
            engine.readNodes(
                    nodes ->
                            server.post(
                                    () ->
                                            drains.markFinishedDrains(nodes)
                                                    .forEach(this::recordDone)));
        }
    }

    private void recordDone(ManualDrain drain) {
        storeDrains();
        recordEvent("drain.done", Map.of("node", drain.node()));
    }

    private void recordEvent(String name, Map<String, String> fields) {
        events.add(Instant.now(), name, fields);
        LOG.log(Level.INFO, "{0} {1}", name, fields);
    }

    @Override
    public void handleRequest(ControlRequest request, Consumer<byte[]> answer) {
        switch (request.action()) {
            case "view" ->
                    statusCache.read(
                            MonotonicClock.now(),
                            status ->
                                    answer.accept(
                                            ControlRequest.answerLine(
                                                    request.id(), out -> write(out, status))));
            case "drain" ->
                    answer.accept(
                            answerOrder(request, drains.drain(parseOrder(request), Instant.now())));
            case "undrain" ->
                    answer.accept(answerOrder(request, drains.undrain(parseOrder(request))));
            case "settings" ->
                    answer.accept(ControlRequest.answerLine(request.id(), this::writeSettings));
            case "events" ->
                    answer.accept(
                            ControlRequest.answerLine(
                                    request.id(), out -> write(out, eventsAfter(request))));
            default ->
                    answer.accept(
                            ControlRequest.errorLine(
                                    request.id(),
                                    "\"do\":\"" + request.action() + "\" is not known here",
                                    "use one of view, watch, drain, undrain, events, settings"));
        }
    }

    @Override
    public void writeStatusFrame(Consumer<byte[]> line) {
        statusCache.read(
                MonotonicClock.now(),
                status ->
                        line.accept(ControlRequest.answerLine("watch", out -> write(out, status))));
    }

    private static Order parseOrder(ControlRequest request) {
        String command = request.field("command");
        return new Order(
                command.isEmpty() ? "call " + UUID.randomUUID() : command,
                request.field("node"),
                request.field("who"),
                request.field("why"),
                request.field("force").equals("true"));
    }

    private List<Event> eventsAfter(ControlRequest request) {
        try {
            return events.after(Long.parseLong("0" + request.field("after")));
        } catch (NumberFormatException notANumber) {
            return events.after(0);
        }
    }

    private byte[] answerOrder(ControlRequest request, Result result) {
        String names = String.join(", ", result.names());
        return switch (result.kind()) {
            case UNKNOWN_NODE ->
                    ControlRequest.errorLine(
                            request.id(),
                            "no node is called \"" + result.node() + "\"",
                            "see the nodes with: nodes; there are " + names);
            case AMBIGUOUS ->
                    ControlRequest.errorLine(
                            request.id(),
                            "\"" + result.node() + "\" fits several nodes",
                            "give more of its id; it may be " + names);
            case ONLY_NODE ->
                    ControlRequest.errorLine(
                            request.id(),
                            result.node()
                                    + " alone holds shard "
                                    + names
                                    + ": all its requests would be refused",
                            "drain it all the same with --force");
            default -> {
                boolean acted = result.kind() == ManualDrains.Kind.DONE;
                boolean isDurable = !acted || storeDrains();
                if (acted) {
                    recordEvent(
                            request.action() + ".ordered",
                            Map.of(
                                    "node",
                                    result.node(),
                                    "who",
                                    request.field("who"),
                                    "why",
                                    request.field("why"),
                                    "durable",
                                    Boolean.toString(isDurable)));
                }
                yield ControlRequest.answerLine(
                        request.id(),
                        out -> {
                            out.writeStringField("node", result.node());
                            out.writeBooleanField("acted", acted);
                            out.writeBooleanField("durable", isDurable);
                        });
            }
        };
    }

    /**
     * Stores the drains. Drains that cannot be stored stay in force: they protect now what a
     * restart would lose.
     */
    private boolean storeDrains() {
        try {
            store.write(ManualDrainJson.encode(drains.list()), Instant.now());
            return true;
        } catch (IOException failed) {
            LOG.log(
                    Level.ERROR,
                    "storing the drains failed, a restart will lose them: {0}",
                    failed.toString());
            return false;
        }
    }

    private void write(JsonGenerator out, SchedulerStatus status) throws IOException {
        out.writeArrayFieldStart("nodes");
        for (NodeStatus nodeStatus : status.nodes()) {
            write(out, nodeStatus, status);
        }
        out.writeEndArray();
        out.writeArrayFieldStart("queues");
        for (ClassQueue queue : status.queues().classes()) {
            out.writeStartObject();
            out.writeStringField("class", queue.className());
            out.writeNumberField("held", queue.queued());
            out.writeNumberField("oldest_ms", Micros.toDuration(queue.oldestWaitUs()).toMillis());
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeObjectFieldStart("given_up");
        for (Reason reason : Reason.values()) {
            out.writeNumberField(
                    reason.name().toLowerCase(Locale.ROOT),
                    status.queues().unserved()[reason.ordinal()]);
        }
        out.writeEndObject();
        out.writeObjectFieldStart("counters");
        for (Counters.Name name : Counters.Name.values()) {
            out.writeNumberField(name.name().toLowerCase(Locale.ROOT), counters.get(name));
        }
        out.writeEndObject();
        out.writeArrayFieldStart("members");
        for (Member member : members.get()) {
            out.writeStartObject();
            out.writeStringField("name", member.name());
            out.writeStringField("state", member.state().name().toLowerCase(Locale.ROOT));
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeArrayFieldStart("drains");
        for (ManualDrain drain : status.drains()) {
            ManualDrainJson.write(out, drain);
        }
        out.writeEndArray();
        List<Event> stored = events.after(0);
        write(
                out,
                stored.subList(Math.max(0, stored.size() - MAX_EVENTS_IN_STATUS), stored.size()));
    }

    private static void write(JsonGenerator out, NodeStatus nodeStatus, SchedulerStatus status)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("id", nodeStatus.node().id());
        out.writeNumberField("shard", nodeStatus.node().shard());
        boolean isDrained =
                status.drains().stream()
                        .anyMatch(drain -> drain.node().equals(nodeStatus.node().id()));
        out.writeStringField(
                "state",
                isDrained
                        ? "drained by hand"
                        : !nodeStatus.view().ready()
                                ? "draining"
                                : nodeStatus.view().silent()
                                        ? "silent"
                                        : nodeStatus.view().coldCapacityUnits() < Double.MAX_VALUE
                                                ? "cold"
                                                : "ready");
        out.writeNumberField("us_a_unit", Math.round(nodeStatus.view().serviceTimePerUnitUs()));
        out.writeNumberField("units_out", nodeStatus.view().inFlightUnits());
        out.writeNumberField("bound", Math.max(0, nodeStatus.view().maxInFlightUnits()));
        out.writeNumberField("held", nodeStatus.view().queued());
        out.writeNumberField("answers", nodeStatus.view().answers());
        out.writeNumberField(
                "answered_ago_ms",
                nodeStatus.view().answeredAgoUs() < 0
                        ? -1
                        : nodeStatus.view().answeredAgoUs() / 1000);
        out.writeBooleanField("hearsay", nodeStatus.view().unconfirmed());
        out.writeEndObject();
    }

    private void writeSettings(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("settings");
        for (Map.Entry<String, String> setting : settings.get().entrySet()) {
            out.writeStartObject();
            out.writeStringField("setting", setting.getKey());
            out.writeStringField("value", setting.getValue());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static void write(JsonGenerator out, List<Event> events) throws IOException {
        out.writeArrayFieldStart("events");
        for (Event event : events) {
            out.writeStartObject();
            out.writeNumberField("number", event.number());
            out.writeStringField("at", event.at().toString());
            out.writeStringField("event", event.name());
            for (Map.Entry<String, String> field : event.fields().entrySet()) {
                out.writeStringField(field.getKey(), field.getValue());
            }
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    @Override
    public void close() {
        server.close();
    }
}
