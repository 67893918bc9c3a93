package cypressglade.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * What becomes of each datagram on each one-way link between numbered members: whether it is lost,
 * how late it comes, whether it comes twice or out of turn, and whether the link is cut. Chance
 * comes from one seed, drawn by link, so that what one link does to its messages does not hang on
 * how busy the others are. No I/O; not safe for use by several threads.
 */
public final class Faults {
    /** How far behind its turn a datagram comes that is put out of order. */
    private static final Duration OUT_OF_TURN = Duration.ofMillis(50);

    private final long seed;
    private final Map<Link, Rule> rules = new HashMap<>();
    private final Map<Link, Random> chances = new HashMap<>();
    private Rule otherwise = Rule.NONE;

    private record Link(int from, int to) {}

    /**
     * What a link does.
     *
     * @param loss share of datagrams that are lost, 0 to 1
     * @param twice share that comes a second time
     * @param outOfTurn share that is held back, so that later ones overtake it
     * @param least of the delay, drawn evenly up to {@code most}
     */
    public record Rule(
            boolean cut,
            double loss,
            double twice,
            double outOfTurn,
            Duration least,
            Duration most) {
        /** A link that does nothing to what it carries. */
        public static final Rule NONE = new Rule(false, 0, 0, 0, Duration.ZERO, Duration.ZERO);

        public Rule cut(boolean now) {
            return new Rule(now, loss, twice, outOfTurn, least, most);
        }

        public Rule loss(double share) {
            return new Rule(cut, share, twice, outOfTurn, least, most);
        }

        public Rule twice(double share) {
            return new Rule(cut, loss, share, outOfTurn, least, most);
        }

        public Rule outOfTurn(double share) {
            return new Rule(cut, loss, twice, share, least, most);
        }

        public Rule delay(Duration from, Duration to) {
            return new Rule(cut, loss, twice, outOfTurn, from, to);
        }
    }

    public Faults(long seed) {
        this.seed = seed;
    }

    /** The rule of a link, which is the common one where none was set for it alone. */
    public Rule rule(int from, int to) {
        return rules.getOrDefault(new Link(from, to), otherwise);
    }

    public void rule(int from, int to, Rule rule) {
        rules.put(new Link(from, to), rule);
    }

    /** One rule for all links; those set before are forgotten. */
    public void all(Rule rule) {
        rules.clear();
        otherwise = rule;
    }

    /** Mends all cuts; losses and delays stay. */
    public void mend() {
        rules.replaceAll((link, rule) -> rule.cut(false));
        otherwise = otherwise.cut(false);
    }

    /** When one datagram arrives, from now: not at all, once, or twice. */
    public List<Duration> fate(int from, int to) {
        Rule rule = rule(from, to);
        Random chance =
                chances.computeIfAbsent(
                        new Link(from, to),
                        link -> new Random(seed * 1_000_003 + link.from * 1_009L + link.to));
        List<Duration> arrivals = new ArrayList<>(2);
        if (rule.cut || chance.nextDouble() < rule.loss) {
            return arrivals;
        }
        Duration late = delay(rule, chance);
        arrivals.add(chance.nextDouble() < rule.outOfTurn ? late.plus(OUT_OF_TURN) : late);
        if (chance.nextDouble() < rule.twice) {
            arrivals.add(delay(rule, chance));
        }
        return arrivals;
    }

    private static Duration delay(Rule rule, Random chance) {
        long spread = rule.most.minus(rule.least).toNanos();
        return spread <= 0
                ? rule.least
                : rule.least.plusNanos((long) (chance.nextDouble() * spread));
    }
}
