package cypressglade.lab;

import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.Message;
import cypressglade.member.Swim;
import cypressglade.member.SwimSettings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;

/**
 * A network of membership instances ({@link Swim}) in virtual time, with losses, delays, cuts one
 * way or both, stalled members and restarts, and all chance from one seed. Names are {@code i-N};
 * all seek {@code i-0} first. What an instance sends is counted, so that the cost of the protocol
 * can be read by member and period.
 *
 * <p>A stalled member is a process that stands still (a pause, SIGSTOP): it neither ticks nor
 * reads, and what comes to it waits until it goes on, as in a socket's buffer.
 */
public final class MemberNet {
    /** Whole lists that one member asks for at a time, as in the program. */
    private static final int MOST_PULLS = 3;

    /** A connection, a nonce, a question and an answer: four ways of some 10 ms. */
    private static final Duration EXCHANGE = Duration.ofMillis(40);

    public Instant now = Instant.EPOCH;
    public double loss;

    /** Whether the first can reach the second, by name. */
    public BiPredicate<String, String> cut = (from, to) -> false;

    public ToIntFunction<Message> size = message -> 0;
    public long bytes;

    /** Datagrams sent, whether they arrive or not. */
    public long sent;

    /** Delay of a datagram, drawn evenly between these, in milliseconds. */
    public int leastDelayMs = 1;

    public int mostDelayMs = 20;
    private final Map<String, Integer> asking = new HashMap<>();
    private final Map<String, List<Runnable>> stalled = new LinkedHashMap<>();
    public final Map<String, Swim> running = new LinkedHashMap<>();

    /** Each change that any instance took in. */
    public final List<Change> changes = new ArrayList<>();

    private final SwimSettings timing;
    private final Random random;
    private final Map<InetSocketAddress, String> names = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private long lastEvent;
    private long lastLife;

    private record Event(Instant at, long number, Runnable run) {}

    /** What one instance took in of a member. */
    public record Change(Instant at, String seenBy, Member member) {}

    public MemberNet(long seed, SwimSettings timing) {
        random = new Random(seed);
        this.timing = timing;
    }

    public static InetSocketAddress address(int number) {
        return new InetSocketAddress("127.0.0.1", 1000 + number);
    }

    private void deliver(String there, Message message, Member from) {
        if (running.containsKey(there)) {
            running.get(there).receive(message, from.address(), now);
        }
    }

    /** Starts an instance, or starts it again, that seeks the others at the first address. */
    public Swim start(int number) {
        String name = "i-" + number;
        Member self = new Member(name, address(number), ++lastLife, 0, State.ALIVE);
        names.put(self.address(), name);
        Swim swim =
                new Swim(
                        self,
                        List.of(address(0)),
                        timing,
                        random,
                        new Swim.Callbacks() {
                            @Override
                            public void send(InetSocketAddress to, Message message) {
                                bytes += size.applyAsInt(message);
                                sent++;
                                String there = names.get(to);
                                if (random.nextDouble() >= loss && !cut.test(name, there)) {
                                    int span = Math.max(1, mostDelayMs - leastDelayMs + 1);
                                    int delay = leastDelayMs + random.nextInt(span);
                                    after(
                                            Duration.ofMillis(delay),
                                            () -> at(there, () -> deliver(there, message, self)));
                                }
                            }

                            @Override
                            public void exchangeMemberLists(InetSocketAddress with) {
                                String there = names.get(with);
                                if (asking.merge(name, 1, Integer::sum) > MOST_PULLS) {
                                    asking.merge(name, -1, Integer::sum);
                                    // as the program does: a list that comes from another soon has
                                    // the same
                                    return;
                                }
                                after(
                                        EXCHANGE,
                                        () -> {
                                            asking.merge(name, -1, Integer::sum);
                                            Swim mine = running.get(name);
                                            Swim theirs = running.get(there);
                                            if (mine != null
                                                    && theirs != null
                                                    && !cut.test(name, there)
                                                    && !cut.test(there, name)
                                                    && !stalled.containsKey(name)
                                                    && !stalled.containsKey(there)) {
                                                List<Member> list = mine.members();
                                                mine.merge(theirs.members(), now);
                                                theirs.merge(list, now);
                                            }
                                        });
                            }

                            @Override
                            public void memberChanged(Member member) {
                                changes.add(new Change(now, name, member));
                            }
                        },
                        now);
        running.put(name, swim);
        tick(name, swim);
        return swim;
    }

    private void tick(String name, Swim swim) {
        after(
                Duration.between(now, swim.nextTickAt()).plusNanos(1),
                () ->
                        at(
                                name,
                                () -> {
                                    if (running.get(name) == swim) {
                                        swim.tick(now);
                                        if (swim.nextTickAt().isBefore(Instant.MAX)) {
                                            tick(name, swim);
                                        }
                                    }
                                }));
    }

    /** Runs what is for a member now, or when it goes on where it stands still. */
    private void at(String name, Runnable run) {
        List<Runnable> waiting = stalled.get(name);
        if (waiting == null) {
            run.run();
        } else {
            waiting.add(run);
        }
    }

    /** Ends a member's process: its messages are lost from here on, and it is not told. */
    public void stop(int number) {
        running.remove("i-" + number);
        stalled.remove("i-" + number);
    }

    /** Stands a member still: nothing it was sent or has to do runs until {@link #resume}. */
    public void stall(int number) {
        stalled.putIfAbsent("i-" + number, new ArrayList<>());
    }

    /** Lets a member that stood still go on, with what came for it meanwhile, in order. */
    public void resume(int number) {
        List<Runnable> waiting = stalled.remove("i-" + number);
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }

    /** The name of the member of this number. */
    public static String name(int number) {
        return "i-" + number;
    }

    private void after(Duration delay, Runnable run) {
        events.add(new Event(now.plus(delay), ++lastEvent, run));
    }

    public void pass(Duration span) {
        Instant until = now.plus(span);
        while (!events.isEmpty() && !events.peek().at.isAfter(until)) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        now = until;
    }
}
