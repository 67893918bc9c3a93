package cypressglade.operate;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeDirectory;
import cypressglade.core.NodeList;
import cypressglade.core.NodeList.Entry;
import cypressglade.core.NodeStatus;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.State;
import cypressglade.operate.ManualDrains.Kind;
import cypressglade.operate.ManualDrains.Order;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Drains by hand: they act once, hold against the sources, and end with the run that they were for.
 */
class ManualDrainsTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final InetSocketAddress AT = new InetSocketAddress("127.0.0.1", 1);

    /** What the module and the directory hold, made of what was handed on. */
    private final Map<String, State> seen = new LinkedHashMap<>();

    private int handedOn;
    private int orders;
    private final ManualDrains drains =
            new ManualDrains(
                    list -> {
                        handedOn++;
                        if (list.full()) {
                            seen.clear();
                        }
                        list.entries().forEach(entry -> seen.put(entry.id(), entry.state()));
                        seen.values().removeIf(state -> state == State.GONE);
                    });

    private static Entry entry(String id, int cell, State state, long startedS) {
        return new Entry(id, AT, 0, 0, cell, state, 1, Instant.ofEpochSecond(startedS));
    }

    private void tell(boolean full, Entry... entries) {
        drains.updateNodes(new NodeList(1, full, List.of(entries)));
    }

    private void start() {
        tell(
                true,
                entry("s-1", 0, State.READY, 5),
                entry("s-2", 0, State.READY, 5),
                entry("s-30", 1, State.READY, 5));
    }

    private Order order(String node, boolean force) {
        return new Order("c" + ++orders, node, "ann", "disk", force);
    }

    private Kind drain(String node) {
        return drains.drain(order(node, false), NOW).kind();
    }

    @Test
    void drainTypedTwiceOrReplayedActsOnce() {
        start();
        Order order = order("s-1", false);
        assertThat(drains.drain(order, NOW).kind()).isEqualTo(Kind.DONE);
        int before = handedOn;
        assertThat(drains.drain(order, NOW).kind()).isEqualTo(Kind.ALREADY);
        assertThat(drain("s-1")).isEqualTo(Kind.ALREADY);
        assertThat(drains.undrain(order("s-1", false)).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.drain(order, NOW).kind())
                .isEqualTo(Kind.ALREADY); // replayed after it was taken back
        assertThat(handedOn).isEqualTo(before + 1);
        assertThat(seen).containsEntry("s-1", State.READY);
    }

    @ParameterizedTest
    @CsvSource({
        "s-3, DONE, s-30",
        "s, AMBIGUOUS, s",
        "x, UNKNOWN_NODE, x",
        "'', UNKNOWN_NODE, ''",
        "s-1, DONE, s-1"
    })
    void nodesAreNamedByIdOrByABeginningThatFitsOne(String name, Kind kind, String node) {
        start();
        ManualDrains.Result result = drains.drain(order(name, true), NOW);
        assertThat(result.kind()).isEqualTo(kind);
        assertThat(result.node()).isEqualTo(node);
        assertThat(result.names()).hasSize(kind == Kind.DONE ? 0 : 3);
    }

    @Test
    void onlyNodeOfAShardAsksForForce() {
        start();
        assertThat(drains.drain(order("s-30", false), NOW))
                .isEqualTo(new ManualDrains.Result(Kind.ONLY_NODE, "s-30", List.of("1")));
        assertThat(seen).containsEntry("s-30", State.READY);
        assertThat(drain("s-1")).isEqualTo(Kind.DONE);
        assertThat(drain("s-2")).isEqualTo(Kind.ONLY_NODE); // the other one is drained already
        assertThat(drains.drain(order("s-2", true), NOW).kind()).isEqualTo(Kind.DONE);
    }

    /**
     * Whatever the sources tell after: the state of s-1 as the module sees it, and whether the
     * drain still holds.
     */
    @ParameterizedTest
    @CsvSource({
        "READY, 5, DRAINING, true",
        "DRAINING, 5, DRAINING, true",
        "READY, 6, READY, false",
        "GONE, 5, , false",
        "READY, 4, DRAINING, true"
    })
    void drainHoldsForItsRunWhateverTheSourcesSay(
            State told, long startedS, State state, boolean holds) {
        start();
        drain("s-1");
        for (boolean full : new boolean[] {false, true}) {
            tell(full, entry("s-1", 0, told, startedS), entry("s-2", 0, State.READY, 5));
            assertThat(seen.get("s-1")).isEqualTo(state);
            assertThat(drains.list()).hasSize(holds ? 1 : 0);
        }
        tell(false, entry("s-9", 0, State.READY, 9));
        assertThat(seen).containsEntry("s-9", State.READY);
    }

    @Test
    void drainsOutliveARestartAndShowWhatTheSourcesSayOnceTakenBack() {
        drains.restoreDrains(
                List.of(
                        new ManualDrain("s-1", Instant.ofEpochSecond(5), "ann", NOW, "disk", true),
                        new ManualDrain("s-8", Instant.ofEpochSecond(5), "ann", NOW, "", true),
                        new ManualDrain("s-9", Instant.ofEpochSecond(5), "ann", NOW, "", true)));
        start(); // a list that does not know s-8 and s-9 yet
        assertThat(seen).containsEntry("s-1", State.DRAINING);
        assertThat(drains.list()).hasSize(3);
        assertThat(drains.undrain(order("s-9", false)).kind()).isEqualTo(Kind.DONE);
        tell(false, entry("s-8", 1, State.READY, 5));
        assertThat(seen).containsEntry("s-8", State.DRAINING);
        tell(false, entry("s-8", 1, State.GONE, 5));
        assertThat(drains.list()).extracting(ManualDrain::node).containsExactly("s-1");
        assertThat(drain("s-1")).isEqualTo(Kind.ALREADY);
        tell(false, entry("s-1", 0, State.DRAINING, 5));
        drains.undrain(order("s-1", false));
        assertThat(seen).containsEntry("s-1", State.DRAINING);
        assertThat(drains.undrain(order("s-1", false)).kind()).isEqualTo(Kind.ALREADY);
    }

    private static NodeStatus fact(String id, double outUnits, int held) {
        return new NodeStatus(
                new NodeDirectory.ListedNode(
                        id, AT, 0, State.DRAINING, Instant.EPOCH, Instant.EPOCH),
                new NodeView(
                        1, 0, false, false, false, 0, 1, 0, 0, 0, 0, -1, -1, outUnits, 0, held, 0));
    }

    @Test
    void drainIsDoneWhenNothingRunsThereAnyMoreAndThatIsToldOnce() {
        start();
        drain("s-1");
        assertThat(drains.markFinishedDrains(List.of(fact("s-1", 2, 0), fact("s-2", 0, 0))))
                .isEmpty();
        assertThat(drains.markFinishedDrains(List.of(fact("s-1", 0, 1)))).isEmpty();
        assertThat(drains.markFinishedDrains(List.of(fact("s-1", 0, 0))))
                .extracting(ManualDrain::node)
                .containsExactly("s-1");
        assertThat(drains.markFinishedDrains(List.of())).isEmpty();
        assertThat(drains.list()).allMatch(ManualDrain::done);
    }

    /**
     * However lists and orders mix: what the module sees is the list as told, with what is drained
     * by hand.
     */
    @Test
    void moduleSeesTheListAsToldUnderTheDrains() {
        SplittableRandom random = new SplittableRandom(9);
        Map<String, Entry> told = new LinkedHashMap<>();
        for (int i = 0; i < 5000; i++) {
            String id = "n" + random.nextInt(6);
            switch (random.nextInt(4)) {
                case 0 -> drains.drain(order(id, true), NOW);
                case 1 -> drains.undrain(order(id, false));
                default -> {
                    Entry entry =
                            entry(id, 0, State.values()[random.nextInt(3)], random.nextInt(3));
                    told.put(id, entry);
                    if (entry.state() == State.GONE) {
                        told.remove(id);
                    }
                    tell(false, entry);
                }
            }
            List<String> held =
                    new ArrayList<>(drains.list().stream().map(ManualDrain::node).toList());
            assertThat(seen.keySet()).containsExactlyInAnyOrderElementsOf(told.keySet());
            told.forEach(
                    (name, entry) ->
                            assertThat(seen.get(name))
                                    .isEqualTo(
                                            held.contains(name) ? State.DRAINING : entry.state()));
        }
    }

    /** What is decided here is told in words that another takes, also before it knows the node. */
    @Test
    void decisionsOfOneHoldAtAnother() {
        List<String[]> told = new ArrayList<>();
        ManualDrains there =
                new ManualDrains(
                        list -> {}, (subject, word) -> told.add(new String[] {subject, word}));
        there.updateNodes(
                new NodeList(
                        1,
                        true,
                        List.of(entry("s-1", 0, State.READY, 5), entry("s-2", 0, State.READY, 5))));
        there.exclude("s-1");
        there.drain(order("s-2", true), NOW);
        assertThat(there.exclude("s-9").kind()).isEqualTo(Kind.UNKNOWN_NODE);
        assertThat(told)
                .hasSize(2)
                .allSatisfy(
                        one ->
                                assertThat(drains.applyDecision(one[0], one[1], "m-1", NOW))
                                        .isTrue());
        start();
        assertThat(seen).containsEntry("s-1", State.DRAINING).containsEntry("s-2", State.DRAINING);
        told.clear();
        there.include("s-1");
        there.undrain(order("s-2", false));
        assertThat(told)
                .hasSize(2)
                .allSatisfy(
                        one ->
                                assertThat(drains.applyDecision(one[0], one[1], "m-1", NOW))
                                        .isTrue());
        assertThat(seen).containsEntry("s-1", State.READY).containsEntry("s-2", State.READY);
    }

    @Test
    void aRuledDrainOfARunThatIsOverAndWhatIsNotAboutNodesChangeNothing() {
        start();
        assertThat(drains.applyDecision("drain s-1", "drain 4000", "m-1", NOW)).isTrue();
        assertThat(drains.applyDecision("member m-1", "evacuate", "m-1", NOW)).isFalse();
        assertThat(drains.applyDecision("drain s-1", "drain x", "m-1", NOW)).isFalse();
        assertThat(seen).containsEntry("s-1", State.READY);
    }
}
