package cypressglade.share;

import com.fasterxml.jackson.databind.JsonNode;
import cypressglade.lab.Faults;
import cypressglade.lab.ProcessFleet;
import cypressglade.lab.ShareLab;
import cypressglade.lab.ShareLab.Fault;
import cypressglade.lab.ShareLab.Kind;
import cypressglade.measure.Figures;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * {@code make measure-fleet-limits}: what five processes send of one limit while links are whole
 * and while they are split, how soon a verdict is everywhere at 10% loss, what a cold node gets
 * from all, and 10,000 schedules of the model.
 */
public final class FleetLimitsMeasure {
    private static final int SCHEDULES = 10_000;
    private static final int MOST_FAULTS = 16;
    private static final int VERDICTS = 60;
    private static final double COLD_MS = 30;
    private static final Duration SPLIT = Duration.ofSeconds(8);
    private static final Duration WHOLE = Duration.ofSeconds(6);

    /**
     * A verdict goes out once, and what is lost comes with the next comparison: within two windows.
     */
    private static final double MOST_SPREAD_MS = 2.0 * LimitRig.TERMS.windowLength().toMillis();

    private static final Duration FALL = Duration.ofSeconds(1);

    private final Figures figures = new Figures();

    public static void main(String[] args) throws Exception {
        new FleetLimitsMeasure().run();
    }

    private void run() throws Exception {
        CompletableFuture<Long> broken = CompletableFuture.supplyAsync(FleetLimitsMeasure::broken);
        try (LimitRig rig = new LimitRig(Files.createTempDirectory("limits"), COLD_MS)) {
            agree(rig, 5, 0, 1, 2, 3, 4);
            limits(rig);
            verdicts(rig);
            figures.atMost(
                    "cold_overshoot", rig.mostCold(FALL) / (2 * 2 * FALL.toMillis() / COLD_MS), 1);
            figures.say("clients_refused", rig.refused());
        }
        figures.say("schedules_checked", SCHEDULES);
        figures.atMost("violations", broken.get(), 0);
        figures.end();
    }

    private void limits(LimitRig rig) throws Exception {
        rig.surge(1, 12, LimitRig.VOLUME, "basic", 0);
        for (int member = 0; member < LimitRig.MEMBERS; member++) {
            rig.surge(member, 2, LimitRig.OTHER, "standard", 1);
        }
        rig.fleet.pass(Duration.ofSeconds(3));
        long whole = System.nanoTime();
        rig.fleet.pass(WHOLE);
        figures.atLeast("used_whole", rig.used(whole), 0.7); // of it an even part were 0.2
        figures.atMost("overshoot_whole", rig.overshoot(), LimitRig.SLACK);
        rig.surge(3, 12, LimitRig.VOLUME, "basic", 0);
        rig.surge(4, 12, LimitRig.VOLUME, "basic", 0);
        long cut = System.nanoTime();
        rig.fleet.act("0s cut 0,1 2,3,4");
        rig.fleet.pass(SPLIT);
        figures.say("agreed_among_of_three", rig.agreed(3));
        figures.say("used_split", rig.used(cut));
        rig.fleet.hub().change(Faults::mend);
        agree(rig, 5, 0, 1, 2, 3, 4);
        rig.fleet.pass(Duration.ofSeconds(2));
        figures.atMost("overshoot_split", rig.overshoot(cut), LimitRig.SLACK);
        figures.say("bound_split", LimitRig.SLACK);
    }

    private void verdicts(LimitRig rig) throws Exception {
        rig.fleet.act("0s loss * * 0.1");
        Random random = new Random(5);
        List<Long> spread = new ArrayList<>();
        for (int i = 0; i < VERDICTS; i++) {
            String word = i % 2 == 0 ? "exclude" : "include";
            long from = System.currentTimeMillis();
            int giver = random.nextInt(LimitRig.MEMBERS);
            String answer = rig.fleet.call(giver, word + " s-0");
            boolean all =
                    answer.startsWith("200")
                            && rig.until(
                                    () ->
                                            taken(rig, from, giver, word).size()
                                                    == LimitRig.MEMBERS - 1);
            if (!all) {
                throw new IOException(word + " at " + giver + " is not everywhere: " + answer);
            }
            spread.add(
                    taken(rig, from, giver, word).stream()
                            .mapToLong(at -> at - from)
                            .max()
                            .orElseThrow());
        }
        spread.sort(Long::compare);
        figures.say("verdict_spread_ms_p50", spread.get(VERDICTS / 2));
        figures.atMost("verdict_spread_ms_p99", spread.get(VERDICTS - 1), MOST_SPREAD_MS);
    }

    /** When each other member took a verdict. */
    private static List<Long> taken(LimitRig rig, long from, int giver, String word) {
        return rig.fleet.since(from).stream()
                .filter(event -> event.seenBy() != giver && tellsOfTaken(event.line(), giver, word))
                .map(ProcessFleet.Event::atMs)
                .toList();
    }

    private static boolean tellsOfTaken(JsonNode line, int giver, String word) {
        JsonNode verdict = line.path("verdict");
        return line.path("fleet").asText().equals("verdict_taken")
                && verdict.path("word").asText().equals(word)
                && verdict.path("by").asText().equals(ProcessFleet.name(giver));
    }

    private static void agree(LimitRig rig, int among, Integer... members) throws IOException {
        if (!rig.agree(among, members)) {
            throw new IOException("no agreement: " + rig.fleet.text());
        }
    }

    /**
     * Of so many seeded schedules of faults, those on which something that is promised did not
     * hold.
     */
    private static long broken() {
        return LongStream.range(0, SCHEDULES)
                .parallel()
                .filter(
                        seed -> {
                            Random random = new Random(seed);
                            int members = 1 + random.nextInt(7);
                            List<Fault> faults =
                                    IntStream.range(0, random.nextInt(MOST_FAULTS + 1))
                                            .mapToObj(i -> fault(random, members))
                                            .toList();
                            return !ShareLab.play(members, faults, seed).holds();
                        })
                .count();
    }

    private static Fault fault(Random random, int members) {
        return new Fault(
                Kind.values()[random.nextInt(Kind.values().length)],
                random.nextInt(members),
                random.nextInt(members),
                random.nextInt(13),
                1 + random.nextInt(8));
    }
}
