package cypressglade.fleet;

import cypressglade.lab.Faults;
import cypressglade.lab.MemberLab;
import cypressglade.lab.ProcessFleet;
import cypressglade.measure.Figures;
import cypressglade.member.Member.State;
import cypressglade.member.Timing;
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
 * {@code make measure-fleet-view}: the view's four figures from real processes at 5 and 9 members
 * behind fault links, and from the model at 5, 9 and 1,000, all at once; held against {@link
 * Bounds}, and against each other.
 */
public final class FleetViewMeasure {
    private static final Timing TIMING = Timing.every(Duration.ofMillis(200));

    /** As the standard one, with room for a thousand. */
    private static final Timing LARGE =
            new Timing(
                    TIMING.period(), TIMING.answer(), TIMING.helpers(), 2048, TIMING.reconnect());

    private static final int SEEDS = 200;
    private static final int LARGE_SIZE = 1000;
    private static final Duration SPLIT = Duration.ofSeconds(8);
    private static final Duration LOSS_REAL = Duration.ofSeconds(10);
    private static final Duration LOSS_MODEL = Duration.ofSeconds(20);
    private static final Duration STALL = Duration.ofMillis(400);
    private static final double LOSS = 0.1;

    /** Of the probes in the lossy span, those that meet the member that stands still, at most. */
    private static final double ABSENT = 0.05;

    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final String DELAY = "0s delay * * 1ms..20ms";

    private final Figures figures = new Figures();

    /** What one size gave: times in milliseconds, most of all where there are few. */
    private record Found(List<Long> detect, List<Long> heal, long falseDead, double messages) {
        long detectMost() {
            return p99(detect);
        }

        long healMost() {
            return p99(heal);
        }
    }

    public static void main(String[] args) throws Exception {
        new FleetViewMeasure().run();
    }

    private void run() throws Exception {
        CompletableFuture<Found> model =
                CompletableFuture.supplyAsync(() -> model(LARGE, LARGE_SIZE, 1));
        List<Integer> sizes = List.of(5, 9);
        List<CompletableFuture<Found>> real =
                sizes.stream()
                        .map(size -> CompletableFuture.supplyAsync(() -> real(size)))
                        .toList();
        for (int i = 0; i < sizes.size(); i++) {
            int size = sizes.get(i);
            Found ran = real.get(i).get();
            Found played = model(TIMING, size, SEEDS);
            say("real_" + size, size, ran);
            say("model_" + size, size, played);
            // Both seldom meet their worst: the real ones' most lies in the model's range, widened
            // by the margin.
            within("detect_agrees_" + size, ran.detect, played.detect);
            within("heal_agrees_" + size, ran.heal, played.heal);
        }
        say("model_" + LARGE_SIZE, LARGE_SIZE, model.get());
        figures.end();
    }

    private void say(String what, int size, Found found) {
        Bounds bounds = new Bounds(TIMING, size);
        figures.atMost(
                "detect_ms_p99_" + what, found.detectMost(), bounds.detectionTime().toMillis());
        figures.atMost("heal_ms_p99_" + what, found.healMost(), bounds.healTime().toMillis());
        figures.atMost("false_dead_" + what, found.falseDead, 0);
        figures.atMost(
                "msgs_per_member_period_" + what,
                found.messages,
                bounds.messagesPerPeriod(LOSS, ABSENT));
    }

    private void within(String name, List<Long> ran, List<Long> played) {
        double least = played.get(0) * (1 - Bounds.AGREE);
        double most = played.get(played.size() - 1) * (1 + Bounds.AGREE);
        figures.atLeast(
                name,
                ran.stream().filter(ms -> ms >= least && ms <= most).count() / (double) ran.size(),
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

    private static Found model(Timing timing, int size, int seeds) {
        MemberLab lab = new MemberLab(timing);
        CompletableFuture<List<Long>> detect =
                CompletableFuture.supplyAsync(
                        () -> sorted(seeds, seed -> lab.crash(size, seed, 0)));
        CompletableFuture<List<Long>> heal =
                CompletableFuture.supplyAsync(
                        () -> sorted(seeds, seed -> lab.heal(size, size * 2 / 5, SPLIT, seed)));
        MemberLab.Result lossy = lab.loss(size, LOSS, LOSS_MODEL, STALL, 1);
        return new Found(detect.join(), heal.join(), lossy.falseDead(), lossy.perMemberPeriod());
    }

    // ---- real processes

    private static Found real(int size) {
        try (ProcessFleet fleet =
                new ProcessFleet(Files.createTempDirectory("fleet"), size, TIMING.period(), size)) {
            fleet.act(DELAY);
            fleet.startAll(size);
            List<Long> detect = new ArrayList<>();
            List<Long> heal = new ArrayList<>();
            long from = System.currentTimeMillis();
            long falseDead = 0;
            for (int victim = 1; victim <= 2; victim++) {
                long killed = fleet.kill(victim);
                String name = ProcessFleet.name(victim);
                detect.add(fleet.held(fleet.running(), name, State.DEAD, WAIT) - killed);
                falseDead += fleet.deaths(killed, name, ProcessFleet.name(1)).size();
            }
            CompletableFuture<?>[] starts =
                    IntStream.rangeClosed(1, 2)
                            .mapToObj(
                                    victim ->
                                            CompletableFuture.runAsync(() -> start(fleet, victim)))
                            .toArray(CompletableFuture[]::new);
            CompletableFuture.allOf(starts).get();
            settle(fleet);
            fleet.act("0s cut " + numbers(0, size * 2 / 5) + " " + numbers(size * 2 / 5, size));
            fleet.pass(SPLIT);
            fleet.hub().change(Faults::mend);
            long healed = System.currentTimeMillis();
            heal.add(fleet.oneView(WAIT) - healed);
            settle(fleet);
            fleet.act("0s loss * * " + LOSS);
            from = System.currentTimeMillis();
            long before = sent(fleet);
            fleet.stall(1);
            fleet.pass(STALL);
            fleet.resume(1);
            fleet.pass(LOSS_REAL.minus(STALL));
            double periods =
                    (System.currentTimeMillis() - from) / (double) TIMING.period().toMillis();
            return new Found(
                    detect.stream().sorted().toList(),
                    heal,
                    falseDead + fleet.deaths(from).size(),
                    (sent(fleet) - before) / periods / size);
        } catch (Exception failed) {
            throw new IllegalStateException("the fleet of " + size, failed);
        }
    }

    private static void start(ProcessFleet fleet, int member) {
        try {
            fleet.start(member);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private static void settle(ProcessFleet fleet) {
        if (fleet.oneView(WAIT) < 0) {
            throw new IllegalStateException("no one view: " + fleet.text());
        }
    }

    private static long sent(ProcessFleet fleet) {
        return IntStream.range(0, fleet.size()).mapToLong(fleet.hub()::sent).sum();
    }

    private static String numbers(int from, int to) {
        return String.join(",", IntStream.range(from, to).mapToObj(Integer::toString).toList());
    }
}
