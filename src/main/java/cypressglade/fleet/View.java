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
 * What one member sees of the fleet, kept from the changes that its membership tells, and written
 * as one line of JSON: for the log at each change ({@link #recordChange}), and whole for whoever
 * asks ({@link #toJson}).
 *
 * <p>A member that goes from present (alive or suspect) to absent (dead or left) and back again
 * counts as a flap. Keeps a row for each member that the membership knows, and forgets it with
 * {@link #retain}. Not safe for use by several threads.
 */
public final class View {
    /**
     * Refused names that are remembered, so that each is logged once; beyond that all are
     * forgotten.
     */
    private static final int MOST_REFUSALS = 64;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String self;
    private final Map<String, Seen> seen = new TreeMap<>();
    private final Set<String> refused = new HashSet<>();
    private Instant changed;
    private long changes;
    private long flaps;

    /** What is known of one other member: since when, and how often it came back from absent. */
    private record Seen(Member member, Instant since, int flaps) {}

    /** The view of the member of this name, which starts at {@code now} knowing nobody. */
    public View(String self, Instant now) {
        this.self = self;
        changed = now;
    }

    /** Takes a change of what is known of a member; the change as one line of JSON. */
    public String recordChange(Member member, Instant now) {
        Seen before = seen.get(member.name());
        boolean flap = before != null && !before.member.present() && member.present();
        flaps += flap ? 1 : 0;
        changes++;
        changed = now;
        Seen after = new Seen(member, now, (before == null ? 0 : before.flaps) + (flap ? 1 : 0));
        seen.put(member.name(), after);
        ObjectNode line = line("change", now);
        line.set("member", entry(after, now));
        line.set("counts", counts());
        return line.toString();
    }

    /**
     * Word of {@code claim} was refused, as its name is in use by {@code known}; as one line of
     * JSON, or nothing where these two were told of before: who is refused comes again with each
     * message.
     */
    public String recordRefusal(Member known, Member claim, Instant now) {
        if (refused.size() >= MOST_REFUSALS) {
            refused.clear();
        }
        if (!refused.add(known.name() + " " + known.life() + " " + claim.life())) {
            return "";
        }
        ObjectNode line = line("name_refused", now);
        line.set("known", entry(new Seen(known, now, 0), now));
        line.set("claim", entry(new Seen(claim, now, 0), now));
        return line.put("remedy", "give one of the two processes another name in its fleet file")
                .toString();
    }

    /**
     * The whole view, as JSON: this member with its incarnation and health, each other member with
     * its state and for how long it has held it, counts by state, changes and flaps since the
     * start, and for how long no change has come ({@code settled_ms}).
     */
    public ObjectNode toJson(Swim swim, Instant now) {
        ObjectNode line =
                line("view", now)
                        .put("incarnation", swim.self().incarnation())
                        .put("life", Long.toHexString(swim.self().life()))
                        .put("health", swim.health().score())
                        .put("stalls", swim.stalls())
                        .put("names_refused", swim.namesRefused())
                        .put("changes", changes)
                        .put("flaps", flaps)
                        .put("settled_ms", Duration.between(changed, now).toMillis());
        line.set("counts", counts());
        ArrayNode others = line.putArray("members");
        seen.values().forEach(one -> others.add(entry(one, now)));
        return line;
    }

    /** Forgets whom the membership no longer knows. */
    public void retain(List<Member> members) {
        seen.keySet().retainAll(members.stream().map(Member::name).collect(Collectors.toSet()));
    }

    private ObjectNode line(String kind, Instant now) {
        return JSON.createObjectNode()
                .put("fleet", kind)
                .put("self", self)
                .put("at_ms", now.toEpochMilli());
    }

    private ObjectNode counts() {
        ObjectNode counts = JSON.createObjectNode();
        for (State state : State.values()) {
            counts.put(
                    lower(state),
                    seen.values().stream().filter(one -> one.member.state() == state).count());
        }
        return counts;
    }

    private static ObjectNode entry(Seen one, Instant now) {
        Member member = one.member;
        InetSocketAddress at = member.address();
        return JSON.createObjectNode()
                .put("name", member.name())
                .put("address", at.getHostString() + ":" + at.getPort())
                .put("incarnation", member.incarnation())
                .put("life", Long.toHexString(member.life()))
                .put("state", lower(member.state()))
                .put("since_ms", Duration.between(one.since, now).toMillis())
                .put("flaps", one.flaps);
    }

    private static String lower(State state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
