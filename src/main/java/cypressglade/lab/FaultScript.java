package cypressglade.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Steps with times, by which faults are put into a fleet. Each line is a time since the start, a
 * verb and its words; empty lines and those that begin with {@code #} are skipped:
 *
 * <pre>
 * 0s     delay * * 1ms..20ms      of each datagram on these one-way links: FROM TO, * for all,
 *                                 or 0,1,4
 * 0s     loss * * 0.1             the share that is lost; likewise twice, out-of-turn
 * 2s     cut 0,1 2,3,4            both ways between the two groups
 * 2s     cut-one-way 1 2          what 1 sends to 2 is lost
 * 12s    mend                     all cuts
 * 3s     kill 2                   SIGKILL; likewise stop (SIGTERM), start, stall (SIGSTOP),
 *                                 resume (SIGCONT)
 * 20s    expect-dead 2 5s         every member that runs holds it dead within the time
 * 20s    expect-one-view 5s       every member that runs holds every other that runs alive
 *                                 within the time
 * </pre>
 */
public record FaultScript(List<Step> steps) {
    private static final Duration MOST = Duration.ofMinutes(60);
    private static final int MOST_STEPS = 1000;

    /** What a step does. */
    public enum Verb {
        DELAY(3),
        LOSS(3),
        TWICE(3),
        OUT_OF_TURN(3),
        CUT(2),
        CUT_ONE_WAY(2),
        MEND(0),
        KILL(1),
        STOP(1),
        START(1),
        STALL(1),
        RESUME(1),
        EXPECT_DEAD(2),
        EXPECT_ONE_VIEW(1);

        private final int words;

        Verb(int words) {
            this.words = words;
        }

        /** As scripts write it. */
        public String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One step.
     *
     * @param at since the start of the script
     * @param from members whom it is about; on links, those who send
     * @param to on links, those who are sent to
     * @param share of datagrams, 0 to 1
     * @param least of a delay; the time within which something is expected
     */
    public record Step(
            Duration at,
            Verb verb,
            List<Integer> from,
            List<Integer> to,
            double share,
            Duration least,
            Duration most) {}

    /** A script that cannot be used; the message names line and remedy. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1;

        Unusable(String message) {
            super(message);
        }
    }

    /**
     * Reads a script for a fleet of so many members, numbered from 0.
     *
     * @param what names the script in messages
     */
    public static FaultScript parse(String what, String text, int members) throws Unusable {
        List<Step> steps = new ArrayList<>();
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String plain = line.strip();
            if (plain.isEmpty() || plain.startsWith("#")) {
                continue;
            }
            try {
                steps.add(step(plain.split("\\s+"), members));
            } catch (IllegalArgumentException bad) {
                throw new Unusable(what + ":" + number + ": " + bad.getMessage());
            }
            if (steps.size() > MOST_STEPS) {
                throw new Unusable(what + ": more than " + MOST_STEPS + " steps");
            }
        }
        steps.sort(Comparator.comparing(Step::at)); // keeps the order of lines of one time
        return new FaultScript(List.copyOf(steps));
    }

    private static IllegalArgumentException noVerb() {
        List<String> verbs = Stream.of(Verb.values()).map(Verb::text).toList();
        return new IllegalArgumentException(
                "a line is TIME VERB ..., VERB one of " + String.join(" ", verbs));
    }

    private static Step step(String[] words, int members) {
        Duration at = time(words[0]);
        Verb verb =
                Stream.of(Verb.values())
                        .filter(one -> words.length > 1 && one.text().equals(words[1]))
                        .findFirst()
                        .orElseThrow(FaultScript::noVerb);
        if (words.length != verb.words + 2) {
            throw new IllegalArgumentException(
                    verb.text() + " takes " + verb.words + " words, not " + (words.length - 2));
        }
        List<Integer> all = IntStream.range(0, members).boxed().toList();
        return switch (verb) {
            case DELAY -> {
                String[] span = words[4].split("\\.\\.", 2);
                yield new Step(
                        at,
                        verb,
                        who(words[2], members),
                        who(words[3], members),
                        0,
                        time(span[0]),
                        time(span[span.length - 1]));
            }
            case LOSS, TWICE, OUT_OF_TURN ->
                    new Step(
                            at,
                            verb,
                            who(words[2], members),
                            who(words[3], members),
                            share(words[4]),
                            Duration.ZERO,
                            Duration.ZERO);
            case CUT, CUT_ONE_WAY ->
                    new Step(
                            at,
                            verb,
                            who(words[2], members),
                            who(words[3], members),
                            0,
                            Duration.ZERO,
                            Duration.ZERO);
            case KILL, STOP, START, STALL, RESUME ->
                    new Step(
                            at, verb, who(words[2], members), all, 0, Duration.ZERO, Duration.ZERO);
            case EXPECT_DEAD ->
                    new Step(
                            at,
                            verb,
                            who(words[2], members),
                            all,
                            0,
                            time(words[3]),
                            Duration.ZERO);
            case EXPECT_ONE_VIEW -> new Step(at, verb, all, all, 0, time(words[2]), Duration.ZERO);
            default -> new Step(at, verb, all, all, 0, Duration.ZERO, Duration.ZERO);
        };
    }

    private static List<Integer> who(String text, int members) {
        if (text.equals("*")) {
            return IntStream.range(0, members).boxed().toList();
        }
        return Stream.of(text.split(","))
                .map(
                        word -> {
                            if (!word.matches("[0-9]{1,4}") || Integer.parseInt(word) >= members) {
                                throw new IllegalArgumentException(
                                        "'"
                                                + word
                                                + "' is no member: give numbers from 0 to "
                                                + (members - 1)
                                                + " with commas, or *");
                            }
                            return Integer.parseInt(word);
                        })
                .toList();
    }

    private static double share(String text) {
        if (!text.matches("0|1|0?\\.[0-9]{1,6}|1\\.0|0\\.0")) {
            throw new IllegalArgumentException(
                    "'" + text + "' is no share from 0 to 1, such as 0.1");
        }
        return Double.parseDouble(text);
    }

    private static Duration time(String text) {
        if (!text.matches("[0-9]{1,7}(ms|s)")) {
            throw new IllegalArgumentException("'" + text + "' is no time: give 250ms or 12s");
        }
        long number = Long.parseLong(text.replaceAll("[a-z]", ""));
        Duration time =
                text.endsWith("ms") ? Duration.ofMillis(number) : Duration.ofSeconds(number);
        if (time.compareTo(MOST) > 0) {
            throw new IllegalArgumentException("'" + text + "' is over an hour");
        }
        return time;
    }

    /** Does to the links what a step says; false where the step is not about links. */
    public static boolean apply(Step step, Faults faults) {
        switch (step.verb) {
            case MEND -> faults.mend();
            case CUT -> {
                link(step.from, step.to, faults, rule -> rule.cut(true));
                link(step.to, step.from, faults, rule -> rule.cut(true));
            }
            case CUT_ONE_WAY -> link(step.from, step.to, faults, rule -> rule.cut(true));
            case DELAY ->
                    link(step.from, step.to, faults, rule -> rule.delay(step.least, step.most));
            case LOSS -> link(step.from, step.to, faults, rule -> rule.loss(step.share));
            case TWICE -> link(step.from, step.to, faults, rule -> rule.twice(step.share));
            case OUT_OF_TURN ->
                    link(step.from, step.to, faults, rule -> rule.outOfTurn(step.share));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void link(
            List<Integer> from,
            List<Integer> to,
            Faults faults,
            UnaryOperator<Faults.Rule> change) {
        for (int one : from) {
            for (int other : to) {
                if (one != other) {
                    faults.rule(one, other, change.apply(faults.rule(one, other)));
                }
            }
        }
    }
}
