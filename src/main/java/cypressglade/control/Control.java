package cypressglade.control;

import com.fasterxml.jackson.core.JsonGenerator;
import cypressglade.core.Counters;
import cypressglade.core.Engine;
import cypressglade.core.MonotonicClock;
import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler;
import cypressglade.core.Scheduler.Reason;
import cypressglade.member.Member;
import cypressglade.operate.Events;
import cypressglade.operate.Events.Event;
import cypressglade.operate.HandDrain;
import cypressglade.operate.HandDrains;
import cypressglade.operate.HandDrains.Order;
import cypressglade.operate.HandDrains.Result;
import cypressglade.operate.Picture;
import cypressglade.operate.Pictures;
import cypressglade.snapshot.SnapshotStore;
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
 * What may be asked and ordered over the control socket. Orders are carried out and written to the
 * disk on the server's thread before they are answered; the fronts and the decision module never
 * wait for it. The engine's thread only gathers figures: they become text here.
 */
public final class Control implements ControlServer.Handler, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Control.class.getName());

    /** Drains hold however long the scheduler was away. */
    private static final Duration ANY_AGE = Duration.ofDays(36_500);

    private static final int SHOWN_EVENTS = 8;

    private final Engine engine;
    private final Counters counters;
    private final HandDrains drains;
    private final Events events = new Events();
    private final Pictures pictures;
    private final Supplier<List<String>> classes;
    private final Supplier<List<Member>> members;
    private final Supplier<Map<String, String>> settings;
    private final SnapshotStore store;
    private final ControlServer server;

    /**
     * Opens the socket.
     *
     * @param classes the names of the request classes, as the settings have them now
     * @param members the instances that this one sees, itself first; empty where it talks to none
     * @param settings what the scheduler runs by now, by name
     * @throws IOException naming what is wrong and what to do
     */
    public Control(
            ControlConfig config,
            Engine engine,
            Counters counters,
            HandDrains drains,
            Supplier<List<String>> classes,
            Supplier<List<Member>> members,
            Supplier<Map<String, String>> settings)
            throws IOException {
        this.engine = engine;
        this.counters = counters;
        this.drains = drains;
        this.classes = classes;
        this.members = members;
        this.settings = settings;
        pictures = new Pictures(this::gather);
        store = new SnapshotStore(config.directory(), "drains");
        recall();
        server = new ControlServer(config.socket(), this, MonotonicClock::now);
        server.start();
        event("control.open", Map.of("socket", config.socket().toString()));
    }

    private void recall() {
        for (SnapshotStore.SnapshotFile found : store.read(Instant.now(), ANY_AGE)) {
            try {
                if (found.fault() == SnapshotStore.Fault.NONE) {
                    drains.restore(DrainFile.parse(found.body()));
                    return;
                }
                LOG.log(Level.WARNING, "{0} is ignored: {1}", found.file(), found.fault());
            } catch (IOException unreadable) {
                LOG.log(
                        Level.WARNING,
                        "{0} is ignored: {1}",
                        found.file(),
                        unreadable.getMessage());
            }
        }
    }

    private void gather(Consumer<Picture> seen) {
        engine.readStatus((nodes, load) -> server.post(() -> seen.accept(picture(nodes, load))));
    }

    private Picture picture(List<NodeStatus> nodes, Scheduler.QueueView load) {
        return new Picture(MonotonicClock.now(), nodes, classes.get(), load, drains.list());
    }

    /** Tells when drains are done; asks the engine only while there are any that are not. */
    @Override
    public void tick() {
        if (drains.list().stream().anyMatch(drain -> !drain.done())) {
            engine.readNodes(facts -> server.post(() -> drains.seen(facts).forEach(this::done)));
        }
    }

    private void done(HandDrain drain) {
        keep();
        event("drain.done", Map.of("node", drain.node()));
    }

    private void event(String name, Map<String, String> fields) {
        events.add(Instant.now(), name, fields);
        LOG.log(Level.INFO, "{0} {1}", name, fields);
    }

    @Override
    public void called(Call call, Consumer<byte[]> answer) {
        switch (call.what()) {
            case "view" ->
                    pictures.look(
                            MonotonicClock.now(),
                            picture ->
                                    answer.accept(
                                            Call.answer(call.id(), out -> write(out, picture))));
            case "drain" -> answer.accept(ordered(call, drains.drain(order(call), Instant.now())));
            case "undrain" -> answer.accept(ordered(call, drains.undrain(order(call))));
            case "settings" -> answer.accept(Call.answer(call.id(), this::writeSettings));
            case "events" -> answer.accept(Call.answer(call.id(), out -> write(out, after(call))));
            default ->
                    answer.accept(
                            Call.refusal(
                                    call.id(),
                                    "\"do\":\"" + call.what() + "\" is not known here",
                                    "use one of view, watch, drain, undrain, events, settings"));
        }
    }

    @Override
    public void frame(Consumer<byte[]> line) {
        pictures.look(
                MonotonicClock.now(),
                picture -> line.accept(Call.answer("watch", out -> write(out, picture))));
    }

    private static Order order(Call call) {
        String command = call.field("command");
        return new Order(
                command.isEmpty() ? "call " + UUID.randomUUID() : command,
                call.field("node"),
                call.field("who"),
                call.field("why"),
                call.field("force").equals("true"));
    }

    private List<Event> after(Call call) {
        try {
            return events.after(Long.parseLong("0" + call.field("after")));
        } catch (NumberFormatException notANumber) {
            return events.after(0);
        }
    }

    private byte[] ordered(Call call, Result result) {
        String names = String.join(", ", result.names());
        return switch (result.kind()) {
            case UNKNOWN_NODE ->
                    Call.refusal(
                            call.id(),
                            "no node is called \"" + result.node() + "\"",
                            "see the nodes with: nodes; there are " + names);
            case AMBIGUOUS ->
                    Call.refusal(
                            call.id(),
                            "\"" + result.node() + "\" fits several nodes",
                            "give more of its id; it may be " + names);
            case ONLY_NODE ->
                    Call.refusal(
                            call.id(),
                            result.node()
                                    + " alone holds shard "
                                    + names
                                    + ": all its requests would be refused",
                            "drain it all the same with --force");
            default -> {
                boolean acted = result.kind() == HandDrains.Kind.DONE;
                boolean kept = !acted || keep();
                if (acted) {
                    event(
                            call.what() + ".ordered",
                            Map.of(
                                    "node",
                                    result.node(),
                                    "who",
                                    call.field("who"),
                                    "why",
                                    call.field("why"),
                                    "durable",
                                    Boolean.toString(kept)));
                }
                yield Call.answer(
                        call.id(),
                        out -> {
                            out.writeStringField("node", result.node());
                            out.writeBooleanField("acted", acted);
                            out.writeBooleanField("durable", kept);
                        });
            }
        };
    }

    /** A drain that cannot be kept holds all the same: it protects now what would be lost. */
    private boolean keep() {
        try {
            store.write(DrainFile.bytes(drains.list()), Instant.now());
            return true;
        } catch (IOException failed) {
            LOG.log(Level.ERROR, "drains will not outlive a restart: {0}", failed.toString());
            return false;
        }
    }

    // ---- what is shown

    private void write(JsonGenerator out, Picture picture) throws IOException {
        out.writeArrayFieldStart("nodes");
        for (NodeStatus fact : picture.nodes()) {
            write(out, fact, picture);
        }
        out.writeEndArray();
        out.writeArrayFieldStart("queues");
        for (int i = 0; i < picture.load().queued().length; i++) {
            out.writeStartObject();
            out.writeStringField(
                    "class", i < picture.classes().size() ? picture.classes().get(i) : "?");
            out.writeNumberField("held", picture.load().queued()[i]);
            out.writeNumberField("oldest_ms", picture.load().oldestWaitUs()[i] / 1000);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeObjectFieldStart("given_up");
        for (Reason reason : Reason.values()) {
            out.writeNumberField(
                    reason.name().toLowerCase(Locale.ROOT),
                    picture.load().unserved()[reason.ordinal()]);
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
        for (HandDrain drain : picture.drains()) {
            DrainFile.write(out, drain);
        }
        out.writeEndArray();
        List<Event> all = events.after(0);
        write(out, all.subList(Math.max(0, all.size() - SHOWN_EVENTS), all.size()));
    }

    private static void write(JsonGenerator out, NodeStatus fact, Picture picture)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("id", fact.node().id());
        out.writeNumberField("shard", fact.node().shard());
        boolean byHand =
                picture.drains().stream().anyMatch(drain -> drain.node().equals(fact.node().id()));
        out.writeStringField(
                "state",
                byHand
                        ? "drained by hand"
                        : !fact.view().ready()
                                ? "draining"
                                : fact.view().silent()
                                        ? "silent"
                                        : fact.view().coldCapacityUnits() < Double.MAX_VALUE
                                                ? "cold"
                                                : "ready");
        out.writeNumberField("us_a_unit", Math.round(fact.view().serviceTimePerUnitUs()));
        out.writeNumberField("units_out", fact.view().inFlightUnits());
        out.writeNumberField("bound", Math.max(0, fact.view().maxInFlightUnits()));
        out.writeNumberField("held", fact.view().queued());
        out.writeNumberField("answers", fact.view().answers());
        out.writeNumberField(
                "answered_ago_ms",
                fact.view().answeredAgoUs() < 0 ? -1 : fact.view().answeredAgoUs() / 1000);
        out.writeBooleanField("hearsay", fact.view().unconfirmed());
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
