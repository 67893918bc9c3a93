package cypressglade.standin;

import cypressglade.member.Member;
import cypressglade.member.Member.State;
import cypressglade.member.Message;
import cypressglade.member.Swim;
import cypressglade.member.Timing;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;

/** A network of instances in virtual time, with losses and cuts, and all chance from one seed. */
public final class VirtualNet {
    public Instant now = Instant.EPOCH;
    public double loss;
    /** Whether the first can reach the second, by name. */
    public BiPredicate<String, String> cut = (from, to) -> false;
    public ToIntFunction<Message> size = message -> 0;
    public long bytes;
    public final Map<String, Swim> running = new LinkedHashMap<>();
    /** Each change that any instance took in. */
    public final List<Change> changes = new ArrayList<>();
    private final Timing timing;
    private final Random random;
    private final Map<InetSocketAddress, String> names = new LinkedHashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparing(Event::at).thenComparing(Event::number));
    private long lastEvent;
    private long lastLife;

    private record Event(Instant at, long number, Runnable run) { }

    /** What one instance took in of a member. */
    public record Change(Instant at, String seenBy, Member member) { }

    public VirtualNet(long seed, Timing timing) {
        random = new Random(seed);
        this.timing = timing;
    }

    public static InetSocketAddress address(int number) {
        return new InetSocketAddress("127.0.0.1", 1000 + number);
    }

    /** Starts an instance, or starts it again, that seeks the others at the first address. */
    public Swim start(int number) {
        String name = "i-" + number;
        Member self = new Member(name, address(number), ++lastLife, 0, State.ALIVE);
        names.put(self.address(), name);
        Swim swim = new Swim(self, List.of(address(0)), timing, random, new Swim.Out() {
            @Override
            public void send(InetSocketAddress to, Message message) {
                bytes += size.applyAsInt(message);
                String there = names.get(to);
                if (random.nextDouble() >= loss && !cut.test(name, there)) {
                    after(Duration.ofMillis(1 + random.nextInt(20)), () -> {
                        if (running.containsKey(there)) {
                            running.get(there).receive(message, self.address(), now);
                        }
                    });
                }
            }

            @Override
            public void exchange(InetSocketAddress with) {
                String there = names.get(with);
                after(Duration.ofMillis(5), () -> {
                    Swim mine = running.get(name);
                    Swim theirs = running.get(there);
                    if (mine != null && theirs != null && !cut.test(name, there) && !cut.test(there, name)) {
                        List<Member> list = mine.list();
                        mine.merge(theirs.list(), now);
                        theirs.merge(list, now);
                    }
                });
            }

            @Override
            public void changed(Member member) {
                changes.add(new Change(now, name, member));
            }
        }, now);
        running.put(name, swim);
        tick(name, swim);
        return swim;
    }

    private void tick(String name, Swim swim) {
        after(Duration.between(now, swim.due()).plusNanos(1), () -> {
            if (running.get(name) == swim) {
                swim.tick(now);
                if (swim.due().isBefore(Instant.MAX)) {
                    tick(name, swim);
                }
            }
        });
    }

    public void stop(int number) {
        running.remove("i-" + number);
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
