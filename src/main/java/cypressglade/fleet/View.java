package cypressglade.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.Swim;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * One member's view of the fleet, kept from the changes that its membership protocol reports, and
 * written as JSON: one line for the log at each change ({@link #recordChange}), and the whole view
 * on request ({@link #toJson}).
 *
 * <p>A member that goes from present (alive or suspect) to absent (dead or left) and back counts as
 * a flap. There is an entry for each member that the protocol knows, until {@link #retain} drops
 * it. Not safe for use by several threads.
 */
public final class View {
    /**
     * Most refused names that are remembered so that each is logged once; then all are forgotten.
     */
    private static final int MAX_LOGGED_REFUSALS = 64;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String self;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> loggedRefusals = new HashSet<>();
    private Instant lastChange;
    private long changes;
    private long flaps;

    /**
     * What is known of one other member.
     *
     * @param since when its state was recorded
     * @param flaps how often it came back from absent
     */
    private record Entry(Member member, Instant since, int flaps) {}

    /** Creates the view of the member of this name, which starts now and knows no others. */
    public View(String self, Instant now) {
        this.self = self;
        lastChange = now;
    }

    /**
     * Records a changed state of a member.
     *
     * @return the change as one line of JSON
     */
    public String recordChange(Member member, Instant now) {
        Entry before = entries.get(member.name());
        boolean isFlap = before != null && !before.member.isPresent() && member.isPresent();
        flaps += isFlap ? 1 : 0;
        changes++;
        lastChange = now;
        Entry after =
                new Entry(member, now, (before == null ? 0 : before.flaps) + (isFlap ? 1 : 0));
        entries.put(member.name(), after);
        ObjectNode line = newLine("change", now);
        line.set("member", json(after, now));
        line.set("counts", countsByState());
        return line.toString();
    }

    /**
     * Records that {@code claim} was refused because {@code known}, another process, uses the same
     * name.
     *
     * @return the refusal as one line of JSON; empty if it was returned before for these two, as a
     *     refused process shows up again with each of its messages
     */
    public String recordRefusal(Member known, Member claim, Instant now) {
        if (loggedRefusals.size() >= MAX_LOGGED_REFUSALS) {
            loggedRefusals.clear();
        }
        if (!loggedRefusals.add(
                known.name() + " " + known.generation() + " " + claim.generation())) {
            return "";
        }
        ObjectNode line = newLine("name_refused", now);
        line.set("known", json(new Entry(known, now, 0), now));
        line.set("claim", json(new Entry(claim, now, 0), now));
        return line.put("remedy", "give one of the two processes another name in its fleet file")
                .toString();
    }

    /**
     * The whole view: this member with its incarnation and local health; every other member with
     * its state and for how long it has had it; counts by state; changes and flaps since the start;
     * and for how long there was no change ({@code settled_ms}).
     */
    public ObjectNode toJson(Swim swim, Instant now) {
        ObjectNode line =
                newLine("view", now)
                        .put("incarnation", swim.self().incarnation())
                        .put("life", Long.toHexString(swim.self().generation()))
                        .put("health", swim.health().score())
                        .put("stalls", swim.stalls())
                        .put("names_refused", swim.refusedNameClaims())
                        .put("changes", changes)
                        .put("flaps", flaps)
                        .put("settled_ms", Duration.between(lastChange, now).toMillis());
        line.set("counts", countsByState());
        ArrayNode members = line.putArray("members");
        entries.values().forEach(entry -> members.add(json(entry, now)));
        return line;
    }

    /** Drops the entries of all members but these, which the membership protocol still knows. */
    public void retain(List<Member> members) {
        entries.keySet().retainAll(members.stream().map(Member::name).collect(Collectors.toSet()));
    }

    private ObjectNode newLine(String kind, Instant now) {
        return JSON.createObjectNode()
                .put("fleet", kind)
                .put("self", self)
                .put("at_ms", now.toEpochMilli());
    }

    private ObjectNode countsByState() {
        ObjectNode counts = JSON.createObjectNode();
        for (State state : State.values()) {
            counts.put(
                    lowerCase(state),
                    entries.values().stream()
                            .filter(entry -> entry.member.state() == state)
                            .count());
        }
        return counts;
    }

    private static ObjectNode json(Entry entry, Instant now) {
        Member member = entry.member;
        InetSocketAddress address = member.address();
        return JSON.createObjectNode()
                .put("name", member.name())
                .put("address", address.getHostString() + ":" + address.getPort())
                .put("incarnation", member.incarnation())
                .put("life", Long.toHexString(member.generation()))
                .put("state", lowerCase(member.state()))
                .put("since_ms", Duration.between(entry.since, now).toMillis())
                .put("flaps", entry.flaps);
    }

    private static String lowerCase(State state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
