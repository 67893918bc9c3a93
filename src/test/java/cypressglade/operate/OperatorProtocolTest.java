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
 * The commands of the operator port: bans by exact id, which outlast restarts of the node and new
 * node lists, and strict parsing.
 */
class OperatorProtocolTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    private final Map<String, State> effectiveStates = new LinkedHashMap<>();
    private final ManualDrains drains =
            new ManualDrains(
                    list -> {
                        if (list.full()) {
                            effectiveStates.clear();
                        }
                        list.entries()
                                .forEach(entry -> effectiveStates.put(entry.id(), entry.state()));
                        effectiveStates.values().removeIf(state -> state == State.GONE);
                    });
    private boolean takesClients;
    private int evacuations;
    private int activations;
    private Optional<String> fleet = Optional.empty();
    private final OperatorProtocol protocol =
            new OperatorProtocol(
                    new OperatorProtocol.Actions() {
                        @Override
                        public boolean takesClients() {
                            return takesClients;
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
        return new Entry(id, ADDRESS, 0, 0, 0, state, 1, Instant.ofEpochSecond(startedS));
    }

    private void announce(boolean full, Entry... entries) {
        drains.updateNodes(new NodeList(1, full, List.of(entries)));
    }

    @Test
    void unknownIdIsRefusedWithoutEffect() {
        announce(true, entry("s-1", State.READY, 5), entry("s-2", State.READY, 5));
        assertThat(protocol.answer("exclude s-9")).startsWith("400 ").contains("s-1 s-2");
        assertThat(protocol.answer("exclude s"))
                .as("no prefixes at the operator port")
                .startsWith("400 ");
        assertThat(protocol.answer("include s-9")).startsWith("400 ");
        assertThat(drains.bans()).isEmpty();
        assertThat(effectiveStates)
                .containsEntry("s-1", State.READY)
                .containsEntry("s-2", State.READY);
    }

    @Test
    void fleetAnswersWithTheViewIfOneIsKept() {
        assertThat(protocol.answer("fleet"))
                .startsWith("400 no fleet view")
                .contains("\"view\": true");
        fleet = Optional.of("{\"fleet\":\"view\"}");
        assertThat(protocol.answer("fleet")).isEqualTo("200 {\"fleet\":\"view\"}");
        assertThat(protocol.answer("fleet now")).startsWith("400 unknown call");
    }

    @Test
    void oneIncludeRemovesARepeatedExclude() {
        announce(true, entry("s-1", State.READY, 5), entry("s-2", State.READY, 5));
        assertThat(protocol.answer("exclude s-1")).isEqualTo("200 excluded s-1");
        assertThat(effectiveStates).containsEntry("s-1", State.DRAINING);
        assertThat(protocol.answer("exclude s-1")).startsWith("200 excluded s-1");
        assertThat(protocol.answer("include s-1")).isEqualTo("200 included s-1");
        assertThat(effectiveStates).containsEntry("s-1", State.READY);
        assertThat(drains.bans()).isEmpty();
    }

    @Test
    void banOutlastsTheNodesRestartAndAbsence() {
        announce(true, entry("s-1", State.READY, 5), entry("s-2", State.READY, 5));
        protocol.answer("exclude s-1");
        announce(false, entry("s-1", State.GONE, 5));
        assertThat(protocol.answer("exclude s-1"))
                .as("the second call while the node is absent")
                .startsWith("200 ");
        announce(true, entry("s-1", State.READY, 9), entry("s-2", State.READY, 5));
        assertThat(effectiveStates)
                .as("back cold with a later start, still excluded")
                .containsEntry("s-1", State.DRAINING);
        protocol.answer("include s-1");
        assertThat(effectiveStates).containsEntry("s-1", State.READY);
    }

    @Test
    void commandsAreParsedStrictly() {
        assertThat(protocol.answer("readyz")).startsWith("400 ");
        takesClients = true;
        assertThat(protocol.answer("readyz")).startsWith("200 ");
        assertThat(protocol.answer(" READYZ ")).startsWith("200 ");
        assertThat(protocol.answer("exclude")).startsWith("400 ").contains("exclude ID");
        assertThat(protocol.answer("exclude a b")).startsWith("400 ");
        assertThat(protocol.answer("reboot")).startsWith("400 unknown call");
        assertThat(protocol.answer("")).startsWith("400 ");
        assertThat(protocol.answer("evacuate")).startsWith("200 ");
        assertThat(protocol.answer("activate")).startsWith("200 ");
        assertThat(evacuations).isEqualTo(1);
        assertThat(activations).isEqualTo(1);
    }
}
