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
 * {@code make measure-fleet-limits}: what five processes use of one limit with a connected and with
 * a split network, how soon a verdict reaches all members at 10% loss, what a cold node receives
 * from all members, and 10,000 fault schedules of the model.
 */
public final class FleetLimitsMeasure {
    private static final int SCHEDULES = 10_000;
    private static final int MAX_FAULTS = 16;
    private static final int VERDICTS = 60;
    private static final double COLD_MS = 30;
    private static final Duration SPLIT_SPAN = Duration.ofSeconds(8);
    private static final Duration CONNECTED_SPAN = Duration.ofSeconds(6);

    /**
     * A verdict is sent once; if that is lost, it arrives after the next comparison of digests:
     * within two windows.
     */
    private static final double MAX_SPREAD_MS = 2.0 * LimitRig.SETTINGS.windowLength().toMillis();

    private static final Duration COLD_LIMIT_SPAN = Duration.ofSeconds(1);

    private final Figures figures = new Figures();

    public static void main(String[] args) throws Exception {
        new FleetLimitsMeasure().run();
    }

    private void run() throws Exception {
        CompletableFuture<Long> violations =
                CompletableFuture.supplyAsync(FleetLimitsMeasure::violations);
        try (LimitRig rig = new LimitRig(Files.createTempDirectory("limits"), COLD_MS)) {
            awaitAgreement(rig, 5, 0, 1, 2, 3, 4);
            measureLimits(rig);
            measureVerdicts(rig);
            figures.atMost(
                    "cold_overshoot",
                    rig.maxColdUnits(COLD_LIMIT_SPAN)
                            / (2 * 2 * COLD_LIMIT_SPAN.toMillis() / COLD_MS),
                    1);
            figures.say("clients_refused", rig.refused());
        }
        figures.say("schedules_checked", SCHEDULES);
        figures.atMost("violations", violations.get(), 0);
        figures.end();
    }

    private void measureLimits(LimitRig rig) throws Exception {
        rig.startClients(1, 12, LimitRig.VOLUME, "basic", 0);
        for (int member = 0; member < LimitRig.MEMBERS; member++) {
            rig.startClients(member, 2, LimitRig.OTHER_VOLUME, "standard", 1);
        }
        rig.fleet.pass(Duration.ofSeconds(3));
        long connectedFrom = System.nanoTime();
        rig.fleet.pass(CONNECTED_SPAN);
        // An even share of the limit would be 0.2.
        figures.atLeast("used_whole", rig.usedFraction(connectedFrom), 0.7);
        figures.atMost("overshoot_whole", rig.overshoot(), LimitRig.SLACK_UNITS);
        rig.startClients(3, 12, LimitRig.VOLUME, "basic", 0);
        rig.startClients(4, 12, LimitRig.VOLUME, "basic", 0);
        long cut = System.nanoTime();
        rig.fleet.act("0s cut 0,1 2,3,4");
        rig.fleet.pass(SPLIT_SPAN);
        figures.say("agreed_among_of_three", rig.agreed(3));
        figures.say("used_split", rig.usedFraction(cut));
        rig.fleet.hub().change(Faults::mend);
        awaitAgreement(rig, 5, 0, 1, 2, 3, 4);
        rig.fleet.pass(Duration.ofSeconds(2));
        figures.atMost("overshoot_split", rig.overshoot(cut), LimitRig.SLACK_UNITS);
        figures.say("bound_split", LimitRig.SLACK_UNITS);
    }

    private void measureVerdicts(LimitRig rig) throws Exception {
        rig.fleet.act("0s loss * * 0.1");
        Random random = new Random(5);
        List<Long> spreadMs = new ArrayList<>();
        for (int i = 0; i < VERDICTS; i++) {
            String action = i % 2 == 0 ? "exclude" : "include";
            long from = System.currentTimeMillis();
            int issuer = random.nextInt(LimitRig.MEMBERS);
            String answer = rig.fleet.call(issuer, action + " s-0");
            boolean all =
                    answer.startsWith("200")
                            && rig.await(
                                    () ->
                                            acceptedAtMs(rig, from, issuer, action).size()
                                                    == LimitRig.MEMBERS - 1);
            if (!all) {
                throw new IOException(
                        action + " at " + issuer + " did not reach all members: " + answer);
            }
            spreadMs.add(
                    acceptedAtMs(rig, from, issuer, action).stream()
                            .mapToLong(at -> at - from)
                            .max()
                            .orElseThrow());
        }
        spreadMs.sort(Long::compare);
        figures.say("verdict_spread_ms_p50", spreadMs.get(VERDICTS / 2));
        figures.atMost("verdict_spread_ms_p99", spreadMs.get(VERDICTS - 1), MAX_SPREAD_MS);
    }

    /** When each other member accepted a verdict, in milliseconds since the epoch. */
    private static List<Long> acceptedAtMs(LimitRig rig, long from, int issuer, String action) {
        return rig.fleet.since(from).stream()
                .filter(
                        event ->
                                event.seenBy() != issuer
                                        && isAcceptance(event.line(), issuer, action))
                .map(ProcessFleet.Event::atMs)
                .toList();
    }

    private static boolean isAcceptance(JsonNode line, int issuer, String action) {
        JsonNode verdict = line.path("verdict");
        return line.path("fleet").asText().equals("verdict_taken")
                && verdict.path("word").asText().equals(action)
                && verdict.path("by").asText().equals(ProcessFleet.name(issuer));
    }

    private static void awaitAgreement(LimitRig rig, int among, Integer... members)
            throws IOException {
        if (!rig.awaitAgreement(among, members)) {
            throw new IOException("no agreement on shares: " + rig.fleet.text());
        }
    }

    /** Counts the seeded fault schedules for which the model violated a guarantee. */
    private static long violations() {
        return LongStream.range(0, SCHEDULES)
                .parallel()
                .filter(
                        seed -> {
                            Random random = new Random(seed);
                            int members = 1 + random.nextInt(7);
                            List<Fault> faults =
                                    IntStream.range(0, random.nextInt(MAX_FAULTS + 1))
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
