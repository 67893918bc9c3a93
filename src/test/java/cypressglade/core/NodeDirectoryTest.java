package cypressglade.core;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Request;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The state that is kept for nodes that are replaced again and again. */
class NodeDirectoryTest {
    private static NodeList list(boolean full, String id, State state) {
        return new NodeList(
                1,
                full,
                List.of(
                        new NodeList.Entry(
                                id,
                                new InetSocketAddress("127.0.0.1", 1),
                                0,
                                0,
                                0,
                                state,
                                1,
                                Instant.EPOCH)));
    }

    /** Guards against tables that grow with every replaced node. No number is given twice. */
    @Test
    void replacedNodesLeaveNoStateBehind() {
        NodeDirectory directory = new NodeDirectory();
        long last = 0;
        for (int i = 0; i < 1000; i++) {
            long number = directory.update(list(i % 2 == 0, "s-" + i, State.READY)).get(0).node();
            assertThat(number).isGreaterThan(last);
            last = number;
            directory.update(list(false, "s-" + i, State.GONE));
        }
        assertThat(directory.size()).isZero();
    }

    /** Guards against the scheduling policy keeping a node that left the list while it was down. */
    @Test
    void policyRemovesANodeThatLeftTheListWhileItWasDown() throws Exception {
        AtomicInteger sends = new AtomicInteger();
        Scheduler.Settings settings =
                cypressglade.config.Config.read(java.nio.file.Path.of("deploy/config.example.json"))
                        .settings();
        SchedulingPolicy policy = new SchedulingPolicy(1, settings, new Orders(sends));
        for (int i = 0; i < 10; i++) {
            long now = 1_000_000L * (i + 1);
            policy.updateNodes(
                    now, ListKind.FULL, List.of(new NodeEntry(i, 0, State.READY, 0, 1, 0, 0)));
            policy.handleRequest(
                    now,
                    new Request(i, 0, settings.rules(0, 1), 1, false, false, 7, i + 1, 1, 900_000));
            policy.handleProbe(now, i, Status.OK, 1000, Scheduler.LoadFigures.NONE);
            policy.handleOutcome(
                    now, new Outcome(i, 0, i, Status.CONNECT_FAILED, 1000, false, 0, 0));
        }
        assertThat(sends).hasPositiveValue();
        policy.updateNodes(20_000_000, ListKind.FULL, List.of());
        assertThat(policy.nodeViews(0)).isEmpty();
    }

    /** Counts the orders to send and ignores all others. */
    private record Orders(AtomicInteger sends) implements Scheduler.Actions {
        @Override
        public void send(long requestId, long node, long timeoutUs) {
            sends.incrementAndGet();
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {}

        @Override
        public void fail(long requestId) {}

        @Override
        public void cancel(long requestId, int attempt) {}

        @Override
        public void probe(long node) {}

        @Override
        public void startTimer(long delayUs, long token) {}

        @Override
        public void sendToPeer(long toRank, byte[] text) {}

        @Override
        public void watchNodeList(boolean on) {}
    }
}
