package cypressglade.fleet;

import cypressglade.lab.Faults;
import cypressglade.lab.MemberLab;
import cypressglade.lab.ProcessFleet;
import cypressglade.measure.Figures;
import cypressglade.member.Member.State;
import cypressglade.member.SwimSettings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * {@code make measure-fleet-view}: detection time, heal time, false deaths and traffic of the
 * fleet's view, from 5 and 9 real processes with network faults and from the model with 5, 9 and
 * 1,000 members, all at once; checked against {@link Bounds} and against each other.
 */
public final class FleetViewMeasure {
    private static final SwimSettings TIMING = SwimSettings.withPeriod(Duration.ofMillis(200));

    /** The standard proportions, with room for a thousand members. */
    private static final SwimSettings LARGE_TIMING =
            new SwimSettings(
                    TIMING.period(),
                    TIMING.ackTimeout(),
                    TIMING.indirectProbers(),
                    2048,
                    TIMING.reconnectInterval());

    private static final int SEEDS = 200;
    private static final int LARGE_SIZE = 1000;
    private static final Duration SPLIT_SPAN = Duration.ofSeconds(8);
    private static final Duration REAL_LOSS_SPAN = Duration.ofSeconds(10);
    private static final Duration MODEL_LOSS_SPAN = Duration.ofSeconds(20);
    private static final Duration STALL_SPAN = Duration.ofMillis(400);
    private static final double LOSS_FRACTION = 0.1;

    /** Most of the probes in the span with loss that go to the stalled member, as a fraction. */
    private static final double ABSENT_FRACTION = 0.05;

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String DELAY_STEP = "0s delay * * 1ms..20ms";

    private final Figures figures = new Figures();

    /**
     * The results of one fleet size.
     *
     * @param detect sorted detection times in milliseconds
     * @param heal sorted heal times in milliseconds
     * @param falseDead how often a live member was held dead
     * @param messages datagrams a member and period
     */
    private record Results(List<Long> detect, List<Long> heal, long falseDead, double messages) {
        long detectP99() {
            return p99(detect);
        }

        long healP99() {
            return p99(heal);
        }
    }

    public static void main(String[] args) throws Exception {
        new FleetViewMeasure().run();
    }

    private void run() throws Exception {
        CompletableFuture<Results> model =
                CompletableFuture.supplyAsync(() -> model(LARGE_TIMING, LARGE_SIZE, 1));
        List<Integer> sizes = List.of(5, 9);
        List<CompletableFuture<Results>> real =
                sizes.stream()
                        .map(size -> CompletableFuture.supplyAsync(() -> real(size)))
                        .toList();
        for (int i = 0; i < sizes.size(); i++) {
            int size = sizes.get(i);
            Results measured = real.get(i).get();
            Results modelled = model(TIMING, size, SEEDS);
            say("real_" + size, size, measured);
            say("model_" + size, size, modelled);
            // Both rarely show their worst case, so all real times have to lie in the model's
            // range, widened by the tolerance.
            checkInModelRange("detect_agrees_" + size, measured.detect, modelled.detect);
            checkInModelRange("heal_agrees_" + size, measured.heal, modelled.heal);
        }
        say("model_" + LARGE_SIZE, LARGE_SIZE, model.get());
        figures.end();
    }

    private void say(String what, int size, Results results) {
        Bounds bounds = new Bounds(TIMING, size);
        figures.atMost(
                "detect_ms_p99_" + what, results.detectP99(), bounds.detectionTime().toMillis());
        figures.atMost("heal_ms_p99_" + what, results.healP99(), bounds.healTime().toMillis());
        figures.atMost("false_dead_" + what, results.falseDead, 0);
        figures.atMost(
                "msgs_per_member_period_" + what,
                results.messages,
                bounds.messagesPerPeriod(LOSS_FRACTION, ABSENT_FRACTION));
    }

    private void checkInModelRange(String name, List<Long> measured, List<Long> modelled) {
        double least = modelled.get(0) * (1 - Bounds.MODEL_TOLERANCE_FRACTION);
        double most = modelled.get(modelled.size() - 1) * (1 + Bounds.MODEL_TOLERANCE_FRACTION);
        figures.atLeast(
                name,
                measured.stream().filter(ms -> ms >= least && ms <= most).count()
                        / (double) measured.size(),
                1);
    }

    private static long p99(List<Long> sorted) {
        return sorted.get(Math.min(sorted.size() - 1, sorted.size() * 99 / 100));
    }

    private static List<Long> sorted(long seeds, LongFunction<MemberLab.Result> play) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .map(seed -> play.apply(seed).millis())
                .sorted()
                .boxed()
                .toList();
    }

    private static Results model(SwimSettings timing, int size, int seeds) {
        MemberLab lab = new MemberLab(timing);
        CompletableFuture<List<Long>> detect =
                CompletableFuture.supplyAsync(
                        () -> sorted(seeds, seed -> lab.crash(size, seed, 0)));
        CompletableFuture<List<Long>> heal =
                CompletableFuture.supplyAsync(
                        () ->
                                sorted(
                                        seeds,
                                        seed -> lab.heal(size, size * 2 / 5, SPLIT_SPAN, seed)));
        MemberLab.Result lossy = lab.loss(size, LOSS_FRACTION, MODEL_LOSS_SPAN, STALL_SPAN, 1);
        return new Results(detect.join(), heal.join(), lossy.falseDead(), lossy.perMemberPeriod());
    }

    // ---- real processes

    private static Results real(int size) {
        try (ProcessFleet fleet =
                new ProcessFleet(Files.createTempDirectory("fleet"), size, TIMING.period(), size)) {
            fleet.act(DELAY_STEP);
            fleet.startAll(size);
            List<Long> detect = new ArrayList<>();
            List<Long> heal = new ArrayList<>();
            long from = System.currentTimeMillis();
            long falseDead = 0;
            for (int victim = 1; victim <= 2; victim++) {
                long killed = fleet.kill(victim);
                String name = ProcessFleet.name(victim);
                detect.add(fleet.held(fleet.running(), name, State.DEAD, TIMEOUT) - killed);
                falseDead += fleet.deaths(killed, name, ProcessFleet.name(1)).size();
            }
            CompletableFuture<?>[] starts =
                    IntStream.rangeClosed(1, 2)
                            .mapToObj(
                                    victim ->
                                            CompletableFuture.runAsync(() -> start(fleet, victim)))
                            .toArray(CompletableFuture[]::new);
            CompletableFuture.allOf(starts).get();
            awaitOneView(fleet);
            fleet.act(
                    "0s cut " + memberList(0, size * 2 / 5) + " " + memberList(size * 2 / 5, size));
            fleet.pass(SPLIT_SPAN);
            fleet.hub().change(Faults::mend);
            long healed = System.currentTimeMillis();
            heal.add(fleet.oneView(TIMEOUT) - healed);
            awaitOneView(fleet);
            fleet.act("0s loss * * " + LOSS_FRACTION);
            from = System.currentTimeMillis();
            long before = sent(fleet);
            fleet.stall(1);
            fleet.pass(STALL_SPAN);
            fleet.resume(1);
            fleet.pass(REAL_LOSS_SPAN.minus(STALL_SPAN));
            double periods =
                    (System.currentTimeMillis() - from) / (double) TIMING.period().toMillis();
            return new Results(
                    detect.stream().sorted().toList(),
                    heal,
                    falseDead + fleet.deaths(from).size(),
                    (sent(fleet) - before) / periods / size);
        } catch (Exception failed) {
            throw new IllegalStateException("fleet of " + size, failed);
        }
    }

    private static void start(ProcessFleet fleet, int member) {
        try {
            fleet.start(member);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private static void awaitOneView(ProcessFleet fleet) {
        if (fleet.oneView(TIMEOUT) < 0) {
            throw new IllegalStateException("the members have no common view: " + fleet.text());
        }
    }

    private static long sent(ProcessFleet fleet) {
        return IntStream.range(0, fleet.size()).mapToLong(fleet.hub()::sent).sum();
    }

    private static String memberList(int from, int to) {
        return String.join(",", IntStream.range(from, to).mapToObj(Integer::toString).toList());
    }
}
