package cypressglade.operate;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.NodeList;
import cypressglade.core.NodeList.Entry;
import cypressglade.core.Scheduler.State;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * The operators' door: bans by exact id that hold over restarts and lists, and calls that are read
 * strictly.
 */
class OperatorProtocolTest {
    private static final InetSocketAddress AT = new InetSocketAddress("127.0.0.1", 1);

    private final Map<String, State> seen = new LinkedHashMap<>();
    private final ManualDrains drains =
            new ManualDrains(
                    list -> {
                        if (list.full()) {
                            seen.clear();
                        }
                        list.entries().forEach(entry -> seen.put(entry.id(), entry.state()));
                        seen.values().removeIf(state -> state == State.GONE);
                    });
    private boolean started;
    private int evacuations;
    private int activations;
    private Optional<String> fleet = Optional.empty();
    private final OperatorProtocol door =
            new OperatorProtocol(
                    new OperatorProtocol.Actions() {
                        @Override
                        public boolean takesClients() {
                            return started;
                        }

                        @Override
                        public ManualDrains.Result exclude(String node) {
                            return drains.exclude(node);
                        }

                        @Override
                        public ManualDrains.Result include(String node) {
                            return drains.include(node);
                        }

                        @Override
                        public void evacuate() {
                            evacuations++;
                        }

                        @Override
                        public void activate() {
                            activations++;
                        }

                        @Override
                        public Optional<String> fleet() {
                            return fleet;
                        }
                    });

    private static Entry entry(String id, State state, long startedS) {
        return new Entry(id, AT, 0, 0, 0, state, 1, Instant.ofEpochSecond(startedS));
    }

    private void tell(boolean full, Entry... entries) {
        drains.updateNodes(new NodeList(1, full, List.of(entries)));
    }

    @Test
    void anUnknownIdIsRefusedAndChangesNothing() {
        tell(true, entry("s-1", State.READY, 5), entry("s-2", State.READY, 5));
        assertThat(door.answer("exclude s-9")).startsWith("400 ").contains("s-1 s-2");
        assertThat(door.answer("exclude s")).as("no prefixes at this door").startsWith("400 ");
        assertThat(door.answer("include s-9")).startsWith("400 ");
        assertThat(drains.bans()).isEmpty();
        assertThat(seen).containsEntry("s-1", State.READY).containsEntry("s-2", State.READY);
    }

    @Test
    void theFleetIsToldWhereAViewIsKept() {
        assertThat(door.answer("fleet")).startsWith("400 no fleet view").contains("\"view\": true");
        fleet = Optional.of("{\"fleet\":\"view\"}");
        assertThat(door.answer("fleet")).isEqualTo("200 {\"fleet\":\"view\"}");
        assertThat(door.answer("fleet now")).startsWith("400 unknown call");
    }

    @Test
    void twoExcludesAreUndoneByOneInclude() {
        tell(true, entry("s-1", State.READY, 5), entry("s-2", State.READY, 5));
        assertThat(door.answer("exclude s-1")).isEqualTo("200 excluded s-1");
        assertThat(seen).containsEntry("s-1", State.DRAINING);
        assertThat(door.answer("exclude s-1")).startsWith("200 excluded s-1");
        assertThat(door.answer("include s-1")).isEqualTo("200 included s-1");
        assertThat(seen).containsEntry("s-1", State.READY);
        assertThat(drains.bans()).isEmpty();
    }

    @Test
    void aBanHoldsOverTheNodesRestartAndAbsence() {
        tell(true, entry("s-1", State.READY, 5), entry("s-2", State.READY, 5));
        door.answer("exclude s-1");
        tell(false, entry("s-1", State.GONE, 5));
        assertThat(door.answer("exclude s-1"))
                .as("the second call while it is away")
                .startsWith("200 ");
        tell(true, entry("s-1", State.READY, 9), entry("s-2", State.READY, 5));
        assertThat(seen)
                .as("back cold with a later start, still out")
                .containsEntry("s-1", State.DRAINING);
        door.answer("include s-1");
        assertThat(seen).containsEntry("s-1", State.READY);
    }

    @Test
    void callsAreReadStrictly() {
        assertThat(door.answer("readyz")).startsWith("400 ");
        started = true;
        assertThat(door.answer("readyz")).startsWith("200 ");
        assertThat(door.answer(" READYZ ")).startsWith("200 ");
        assertThat(door.answer("exclude")).startsWith("400 ").contains("exclude ID");
        assertThat(door.answer("exclude a b")).startsWith("400 ");
        assertThat(door.answer("reboot")).startsWith("400 unknown call");
        assertThat(door.answer("")).startsWith("400 ");
        assertThat(door.answer("evacuate")).startsWith("200 ");
        assertThat(door.answer("activate")).startsWith("200 ");
        assertThat(evacuations).isEqualTo(1);
        assertThat(activations).isEqualTo(1);
    }
}
