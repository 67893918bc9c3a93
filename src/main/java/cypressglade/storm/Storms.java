package cypressglade.storm;

import cypressglade.storm.ComeBacks.Kind;
import cypressglade.storm.Weather.State;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * What this instance does about storms of second tries: sees them by node, by volume and for
 * itself, tells who is refused when to come again, lets second tries by as the state allows, and
 * keeps writes in doubt from running twice. It is asked before the decision module ({@link
 * #arrived}) and when that refuses ({@link #refused}); first tries always go to the module.
 *
 * <p>Time and chance come in as arguments. Not safe for use by several threads.
 */
public final class Storms {
    /**
     * Nodes, and volumes, that are watched at a time; the one not heard of for longest makes way.
     */
    private static final int MOST_PLACES = 4096;

    /** Slots held at a time over all nodes, some 300 bytes each. */
    private static final int MOST_SLOTS = 32_768;

    // An answer's way there and the try's back.
    private static final Duration GRACE = Duration.ofMillis(250);
    private static final Duration MEMORY = Duration.ofSeconds(1);

    /**
     * Of a node's speed: promised at least, however many first tries come; and kept for new
     * objects.
     */
    private static final double LEAST_ROOM = 0.1;

    private static final double NEW_OBJECTS = 0.1;
    // Second tries let by for one that was served, while damping.
    private static final double SERVED = 0.5;
    private static final double SPREAD = 0.25; // of the longest advice, where nothing is promised

    private final Terms terms;
    private final RandomGenerator chance;
    private final Out out;
    private final Map<Integer, Node> nodes = places();
    private final Map<Long, Place> volumes = places();
    private final Set<Place> restless = new HashSet<>();
    private final Map<Integer, Speed> speeds = new HashMap<>();
    private final Place instance;
    private final Doubts doubts;
    private Duration longest = Duration.ZERO;
    private double allSpeed;
    private int slots;

    /** What becomes of a try before the module is asked. */
    public enum Answer {
        /** The module decides. */
        PASS,
        /** Refused, with the time to come again. */
        TURNED_AWAY,
        /** Failed: a write that may have run already is not sent. */
        IN_DOUBT
    }

    /** The answer; {@code comeBack} is zero where it is no refusal, or no time may be told. */
    public record Decision(Answer answer, Duration comeBack) {
        private static final Decision PASS = new Decision(Answer.PASS, Duration.ZERO);
        private static final Decision IN_DOUBT = new Decision(Answer.IN_DOUBT, Duration.ZERO);
    }

    /** What is counted. */
    public enum Count {
        DAMPINGS,
        SLOTS_GIVEN,
        SLOTS_KEPT,
        CAME_EARLY,
        TURNED_AWAY,
        WRITES_KEPT_ONCE
    }

    /** Where states and counts go. */
    public interface Out {
        /** A node, a volume or the instance came into another state. */
        void turned(String place, State state, Instant now);

        void counted(Count what);
    }

    /**
     * A node's speed in units a second, and what it bears at most while it is cold, infinite when
     * warm.
     */
    public record Speed(double units, double bears) {}

    /** A node, a volume or the instance. */
    private class Place {
        final String name;
        final Weather weather;
        final Budget budget;
        State known = State.CALM;

        Place(String name, Instant now) {
            this.name = name;
            weather = new Weather(terms.secondTries(), terms.back(), now);
            budget = new Budget(now);
        }

        void look(Instant now) {
            State next = weather.look(now);
            if (next != known) {
                known = next;
                out.turned(name, next, now);
                if (next == State.DAMPING) {
                    out.counted(Count.DAMPINGS);
                }
                if (next == State.CALM) {
                    restless.remove(this);
                } else {
                    restless.add(this);
                }
            }
        }

        boolean letsBy(Instant now) {
            return known == State.CALM || budget.take(now);
        }

        /** It makes way for another. */
        void forgotten() {
            restless.remove(this);
        }
    }

    /**
     * A place that can be told how much it takes: a shard, or new objects, which any node takes.
     */
    private final class Node extends Place {
        private final int shard;
        private final Rate firsts; // units of first tries
        private final ComeBacks comeBacks = new ComeBacks(terms.slot(), GRACE);

        Node(int shard, Instant now) {
            super(shard < 0 ? "new objects" : "shard " + shard, now);
            this.shard = shard;
            firsts = new Rate(MEMORY, now);
        }

        /** Units a second that it will be able to take beside first tries. */
        double room(Instant now) {
            if (shard < 0) {
                return NEW_OBJECTS * terms.room() * allSpeed;
            }
            Speed speed = speeds.get(shard);
            if (speed == null) {
                return 0;
            }
            double promised =
                    (1 - NEW_OBJECTS) * terms.room() * speed.units - firsts.perSecond(now);
            return Math.min(Math.max(promised, LEAST_ROOM * speed.units), speed.bears);
        }

        /** Whether this slot has room beside what those may bring who were promised it. */
        boolean spare(Instant now) {
            return comeBacks.booked(now) < room(now) * terms.slot().toNanos() / 1e9;
        }

        /** Books, or takes a booking back; the one place where slots are counted. */
        <T> T slots(Function<ComeBacks, T> act) {
            int before = comeBacks.held();
            T result = act.apply(comeBacks);
            slots += comeBacks.held() - before;
            return result;
        }

        @Override
        void forgotten() {
            super.forgotten();
            slots -= comeBacks.held();
        }
    }

    public Storms(Terms terms, RandomGenerator chance, Out out, Instant now) {
        this.terms = terms;
        this.chance = chance;
        this.out = out;
        instance = new Place("instance", now);
        doubts = new Doubts(terms.doubt(), now);
    }

    private static <K, P extends Place> Map<K, P> places() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, P> eldest) {
                if (size() <= MOST_PLACES) {
                    return false;
                }
                eldest.getValue().forgotten();
                return true;
            }
        };
    }

    /** What nodes can do by now, by shard; of this instance's part where several send there. */
    public void speeds(Map<Integer, Speed> now) {
        speeds.clear();
        speeds.putAll(now);
        allSpeed =
                speeds.values().stream().mapToDouble(one -> Math.min(one.units, one.bears)).sum();
    }

    /** To be called some times a second: states turn with time, whether tries come or not. */
    public void tick(Instant now) {
        List.copyOf(restless).forEach(place -> place.look(now));
    }

    /** A try came: whether the module is asked. */
    public Decision arrived(Try came, Instant now) {
        Node node = node(came, now);
        Place volume = volume(came, now);
        Kind kind = came.second() ? node.slots(ledger -> ledger.came(came, now)) : Kind.NONE;
        for (Place place : List.of(node, volume, instance)) {
            place.weather.tried(now, came.second(), kind == Kind.EARLY);
            place.look(now);
        }
        if (!came.second()) {
            node.firsts.add(now, came.units());
            for (Place place : List.of(node, volume, instance)) {
                place.budget.add(place.weather.letBy(now));
            }
            return Decision.PASS;
        }
        if (doubts.twice(came, now)) {
            out.counted(Count.WRITES_KEPT_ONCE);
            return Decision.IN_DOUBT;
        }
        if (kind != Kind.NONE) {
            out.counted(kind == Kind.EARLY ? Count.CAME_EARLY : Count.SLOTS_KEPT);
        }
        // Where one of many instances sees too little of a node to tell, what it sees of all has to
        // do.
        boolean dim = instance.known != State.CALM && !node.weather.tells(now);
        if (!dim && node.known == State.CALM && volume.known == State.CALM || kind == Kind.KEPT) {
            return Decision.PASS;
        }
        if (kind == Kind.NONE
                && node.spare(now)
                && node.letsBy(now)
                && volume.letsBy(now)
                && (!dim || instance.letsBy(now))) {
            return Decision.PASS;
        }
        out.counted(Count.TURNED_AWAY);
        return new Decision(Answer.TURNED_AWAY, refused(came, Duration.ZERO, now));
    }

    /** The longest time to come again that a client honours; zero where none may be told. */
    public void longest(Duration most) {
        longest = most;
    }

    /**
     * A try was served: where tries succeed there is room for second ones, as in gRPC's retry
     * throttling.
     */
    public void served(Try one, Instant now) {
        for (Place place : List.of(node(one, now), volume(one, now), instance)) {
            place.budget.add(SERVED);
        }
    }

    /**
     * A try is refused, by the module or here.
     *
     * @param advice the module's own, which is kept to
     * @return when to come again, from now; zero where none may be told
     */
    public Duration refused(Try refused, Duration advice, Instant now) {
        Node node = node(refused, now);
        Place volume = volume(refused, now);
        for (Place place : List.of(node, volume, instance)) {
            place.weather.refused(now);
        }
        if (longest.isZero()) {
            return Duration.ZERO;
        }
        Optional<Instant> slot =
                slots >= MOST_SLOTS
                        ? Optional.empty()
                        : node.slots(
                                ledger ->
                                        ledger.book(
                                                refused,
                                                node.room(now),
                                                now,
                                                now.plus(advice),
                                                now.plus(longest),
                                                chance));
        if (slot.isPresent()) {
            out.counted(Count.SLOTS_GIVEN);
            return Duration.between(now, slot.get());
        }
        long spread = (long) (longest.toNanos() * SPREAD * chance.nextDouble());
        Duration late = longest.minusNanos(spread);
        return late.compareTo(advice) < 0 ? advice : late;
    }

    /** Whether further attempts of our own are to be kept few. */
    public boolean saving() {
        return instance.known != State.CALM;
    }

    /** Writes that may have run. */
    public Doubts doubts() {
        return doubts;
    }

    /** Places that are not calm, as an operator reads them. */
    public Map<String, State> states() {
        Map<String, State> states = new LinkedHashMap<>();
        restless.forEach(place -> states.put(place.name, place.known));
        return states;
    }

    /** Slots that are held. */
    public int slots() {
        return slots;
    }

    private Node node(Try one, Instant now) {
        return nodes.computeIfAbsent(
                one.shard() < 0 ? -1 : one.shard(), shard -> new Node(shard, now));
    }

    private Place volume(Try one, Instant now) {
        return volumes.computeIfAbsent(
                one.volume(), volume -> new Place("volume " + Long.toHexString(volume), now));
    }
}
