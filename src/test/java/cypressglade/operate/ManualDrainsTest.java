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
 * Manual drains: an order acts once, overrides the announced node state, and ends with the run of
 * the node that it was for.
 */
class ManualDrainsTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    /** The node states that the policy and the directory see, from the published lists. */
    private final Map<String, State> effectiveStates = new LinkedHashMap<>();

    private int publishedLists;
    private int orders;
    private final ManualDrains drains =
            new ManualDrains(
                    list -> {
                        publishedLists++;
                        if (list.full()) {
                            effectiveStates.clear();
                        }
                        list.entries()
                                .forEach(entry -> effectiveStates.put(entry.id(), entry.state()));
                        effectiveStates.values().removeIf(state -> state == State.GONE);
                    });

    private static Entry entry(String id, int shard, State state, long startedS) {
        return new Entry(id, ADDRESS, 0, 0, shard, state, 1, Instant.ofEpochSecond(startedS));
    }

    private void announce(boolean full, Entry... entries) {
        drains.updateNodes(new NodeList(1, full, List.of(entries)));
    }

    private void announceThreeNodes() {
        announce(
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
    void repeatedOrReplayedDrainActsOnce() {
        announceThreeNodes();
        Order order = order("s-1", false);
        assertThat(drains.drain(order, NOW).kind()).isEqualTo(Kind.DONE);
        int before = publishedLists;
        assertThat(drains.drain(order, NOW).kind()).isEqualTo(Kind.ALREADY);
        assertThat(drain("s-1")).isEqualTo(Kind.ALREADY);
        assertThat(drains.undrain(order("s-1", false)).kind()).isEqualTo(Kind.DONE);
        assertThat(drains.drain(order, NOW).kind())
                .isEqualTo(Kind.ALREADY); // replayed after the undrain
        assertThat(publishedLists).isEqualTo(before + 1);
        assertThat(effectiveStates).containsEntry("s-1", State.READY);
    }

    @ParameterizedTest
    @CsvSource({
        "s-3, DONE, s-30",
        "s, AMBIGUOUS, s",
        "x, UNKNOWN_NODE, x",
        "'', UNKNOWN_NODE, ''",
        "s-1, DONE, s-1"
    })
    void nodesAreFoundByIdOrUniquePrefix(String name, Kind kind, String node) {
        announceThreeNodes();
        ManualDrains.Result result = drains.drain(order(name, true), NOW);
        assertThat(result.kind()).isEqualTo(kind);
        assertThat(result.node()).isEqualTo(node);
        assertThat(result.names()).hasSize(kind == Kind.DONE ? 0 : 3);
    }

    @Test
    void onlyReadyNodeOfAShardIsDrainedOnlyByForce() {
        announceThreeNodes();
        assertThat(drains.drain(order("s-30", false), NOW))
                .isEqualTo(new ManualDrains.Result(Kind.ONLY_NODE, "s-30", List.of("1")));
        assertThat(effectiveStates).containsEntry("s-30", State.READY);
        assertThat(drain("s-1")).isEqualTo(Kind.DONE);
        assertThat(drain("s-2")).isEqualTo(Kind.ONLY_NODE); // the other one is drained already
        assertThat(drains.drain(order("s-2", true), NOW).kind()).isEqualTo(Kind.DONE);
    }

    /**
     * A row: the state and start of s-1 that a source announces after the drain, the state that the
     * policy sees, and whether the drain is still in force.
     */
    @ParameterizedTest
    @CsvSource({
        "READY, 5, DRAINING, true",
        "DRAINING, 5, DRAINING, true",
        "READY, 6, READY, false",
        "GONE, 5, , false",
        "READY, 4, DRAINING, true"
    })
    void drainAppliesToItsRunWhateverStateIsAnnounced(
            State announced, long startedS, State state, boolean holds) {
        announceThreeNodes();
        drain("s-1");
        for (boolean full : new boolean[] {false, true}) {
            announce(full, entry("s-1", 0, announced, startedS), entry("s-2", 0, State.READY, 5));
            assertThat(effectiveStates.get("s-1")).isEqualTo(state);
            assertThat(drains.list()).hasSize(holds ? 1 : 0);
        }
        announce(false, entry("s-9", 0, State.READY, 9));
        assertThat(effectiveStates).containsEntry("s-9", State.READY);
    }

    @Test
    void restoredDrainsApplyAndUndrainRestoresTheAnnouncedState() {
        drains.restoreDrains(
                List.of(
                        new ManualDrain("s-1", Instant.ofEpochSecond(5), "ann", NOW, "disk", true),
                        new ManualDrain("s-8", Instant.ofEpochSecond(5), "ann", NOW, "", true),
                        new ManualDrain("s-9", Instant.ofEpochSecond(5), "ann", NOW, "", true)));
        announceThreeNodes(); // a list without s-8 and s-9
        assertThat(effectiveStates).containsEntry("s-1", State.DRAINING);
        assertThat(drains.list()).hasSize(3);
        assertThat(drains.undrain(order("s-9", false)).kind()).isEqualTo(Kind.DONE);
        announce(false, entry("s-8", 1, State.READY, 5));
        assertThat(effectiveStates).containsEntry("s-8", State.DRAINING);
        announce(false, entry("s-8", 1, State.GONE, 5));
        assertThat(drains.list()).extracting(ManualDrain::node).containsExactly("s-1");
        assertThat(drain("s-1")).isEqualTo(Kind.ALREADY);
        announce(false, entry("s-1", 0, State.DRAINING, 5));
        drains.undrain(order("s-1", false));
        assertThat(effectiveStates).containsEntry("s-1", State.DRAINING);
        assertThat(drains.undrain(order("s-1", false)).kind()).isEqualTo(Kind.ALREADY);
    }

    private static NodeStatus nodeStatus(String id, double units, int queued) {
        return new NodeStatus(
                new NodeDirectory.ListedNode(
                        id, ADDRESS, 0, State.DRAINING, Instant.EPOCH, Instant.EPOCH),
                new NodeView(
                        1, 0, false, false, false, 0, 1, 0, 0, 0, 0, -1, -1, units, 0, queued, 0));
    }

    @Test
    void drainIsReportedDoneOnceWhenNothingIsInFlightOrQueued() {
        announceThreeNodes();
        drain("s-1");
        assertThat(
                        drains.markFinishedDrains(
                                List.of(nodeStatus("s-1", 2, 0), nodeStatus("s-2", 0, 0))))
                .isEmpty();
        assertThat(drains.markFinishedDrains(List.of(nodeStatus("s-1", 0, 1)))).isEmpty();
        assertThat(drains.markFinishedDrains(List.of(nodeStatus("s-1", 0, 0))))
                .extracting(ManualDrain::node)
                .containsExactly("s-1");
        assertThat(drains.markFinishedDrains(List.of())).isEmpty();
        assertThat(drains.list()).allMatch(ManualDrain::done);
    }

    /** In any order of lists and orders, the policy sees the announced list with drained nodes. */
    @Test
    void effectiveListIsTheAnnouncedOneWithDrainedNodes() {
        SplittableRandom random = new SplittableRandom(9);
        Map<String, Entry> announced = new LinkedHashMap<>();
        for (int i = 0; i < 5000; i++) {
            String id = "n" + random.nextInt(6);
            switch (random.nextInt(4)) {
                case 0 -> drains.drain(order(id, true), NOW);
                case 1 -> drains.undrain(order(id, false));
                default -> {
                    Entry entry =
                            entry(id, 0, State.values()[random.nextInt(3)], random.nextInt(3));
                    announced.put(id, entry);
                    if (entry.state() == State.GONE) {
                        announced.remove(id);
                    }
                    announce(false, entry);
                }
            }
            List<String> drained =
                    new ArrayList<>(drains.list().stream().map(ManualDrain::node).toList());
            assertThat(effectiveStates.keySet())
                    .containsExactlyInAnyOrderElementsOf(announced.keySet());
            announced.forEach(
                    (name, entry) ->
                            assertThat(effectiveStates.get(name))
                                    .isEqualTo(
                                            drained.contains(name)
                                                    ? State.DRAINING
                                                    : entry.state()));
        }
    }

    /** Another instance can apply the announced decisions, also before the node is listed there. */
    @Test
    void decisionsOfOneInstanceApplyAtAnother() {
        List<String[]> announced = new ArrayList<>();
        ManualDrains otherInstance =
                new ManualDrains(
                        list -> {},
                        (subject, decision) -> announced.add(new String[] {subject, decision}));
        otherInstance.updateNodes(
                new NodeList(
                        1,
                        true,
                        List.of(entry("s-1", 0, State.READY, 5), entry("s-2", 0, State.READY, 5))));
        otherInstance.exclude("s-1");
        otherInstance.drain(order("s-2", true), NOW);
        assertThat(otherInstance.exclude("s-9").kind()).isEqualTo(Kind.UNKNOWN_NODE);
        assertThat(announced)
                .hasSize(2)
                .allSatisfy(
                        one ->
                                assertThat(drains.applyDecision(one[0], one[1], "m-1", NOW))
                                        .isTrue());
        announceThreeNodes();
        assertThat(effectiveStates)
                .containsEntry("s-1", State.DRAINING)
                .containsEntry("s-2", State.DRAINING);
        announced.clear();
        otherInstance.include("s-1");
        otherInstance.undrain(order("s-2", false));
        assertThat(announced)
                .hasSize(2)
                .allSatisfy(
                        one ->
                                assertThat(drains.applyDecision(one[0], one[1], "m-1", NOW))
                                        .isTrue());
        assertThat(effectiveStates)
                .containsEntry("s-1", State.READY)
                .containsEntry("s-2", State.READY);
    }

    @Test
    void receivedDrainOfAnEndedRunAndOtherDecisionsChangeNothing() {
        announceThreeNodes();
        assertThat(drains.applyDecision("drain s-1", "drain 4000", "m-1", NOW)).isTrue();
        assertThat(drains.applyDecision("member m-1", "evacuate", "m-1", NOW)).isFalse();
        assertThat(drains.applyDecision("drain s-1", "drain x", "m-1", NOW)).isFalse();
        assertThat(effectiveStates).containsEntry("s-1", State.READY);
    }
}
