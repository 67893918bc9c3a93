package cypressglade.core;

import cypressglade.core.Scheduler.Effect;
import cypressglade.core.Scheduler.Limits;
import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.LoadFigures;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.Request;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Scope;
import cypressglade.core.Scheduler.Settings;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import java.util.ArrayList;
import java.util.List;

/**
 * One instance under test: feeds events to its policy and logs the ordered actions as short lines.
 */
final class PolicyHarness implements Scheduler.Actions {
    static final int READ = 0;
    static final int WRITE = 1;
    static final int BULK = 2;
    static final int KEYED = 3;
    static final int ORDERED = 4;
    static final int PLAIN = 0;
    static final int LIMITED = 1;
    static final long MS = 1000;

    final List<String> log = new ArrayList<>();
    long now = 1_000_000_000L;
    private final List<long[]> timers = new ArrayList<>();
    private SchedulingPolicy policy;
    private final List<Long> probedNodes = new ArrayList<>();

    /** Settings of the instance; to be changed before {@link #start}. */
    int instances = 4;

    Scope scope = Scope.CELL;
    boolean listOnRequest;
    boolean mayProbe = true;
    boolean mayHedge = true;
    boolean mayCancel = true;
    boolean hasAttemptBudget;
    double freeFurtherAttempts;
    double coldNodeUnits = 40;

    /** Whether healthy nodes answer probes by themselves; such probes are not logged. */
    boolean answersProbes = true;

    int rank;
    int maxAttempts = 4;
    double limitRate = 10;

    /** Name of a class that the settings lack. */
    String removedClass = "";

    List<String> loadNames = List.of();
    double probeCost;

    PolicyHarness start(int nodes) {
        policy = new SchedulingPolicy(now, settings(), this);
        NodeEntry[] entries = new NodeEntry[nodes];
        for (int i = 0; i < nodes; i++) {
            entries[i] = entry(i, State.READY, 0);
        }
        updateNodes(ListKind.CACHED, entries);
        return this;
    }

    static NodeEntry entry(int shard, State state, long startedUs) {
        return new NodeEntry(100 + shard, 0, state, shard, 1, startedUs, 0);
    }

    void updateNodes(ListKind kind, NodeEntry... entries) {
        policy.updateNodes(now, kind, List.of(entries));
    }

    void submit(long id, int shard, int type, int plan, double units, long leftMs, long key) {
        submit(id, shard, type, plan, units, leftMs, key, 7);
    }

    void submit(
            long id,
            int shard,
            int type,
            int plan,
            double units,
            long leftMs,
            long key,
            long volume) {
        submit(
                new Request(
                        id,
                        shard,
                        settings().rules(type, plan),
                        instances,
                        false,
                        type == WRITE,
                        volume,
                        key,
                        (float) units,
                        leftMs * MS));
    }

    void submit(Request request) {
        policy.handleRequest(now, request);
        answerProbes();
    }

    private void answerProbes() {
        while (!probedNodes.isEmpty()) {
            policy.handleProbe(now, probedNodes.remove(0), Status.OK, MS, LoadFigures.NONE);
        }
    }

    SchedulingPolicy policy() {
        return policy;
    }

    void submitRead(long id, int shard) {
        submit(id, shard, READ, PLAIN, 2, 1500, id);
    }

    void endAttempt(long id, int attempt, int shard, Status status, long latencyMs) {
        policy.handleOutcome(
                now,
                new Outcome(
                        id,
                        attempt,
                        100 + shard,
                        status,
                        latencyMs * MS,
                        status == Status.OK,
                        0,
                        0));
    }

    void reportSilence(long id, int attempt, boolean isSilent) {
        policy.handleAnswerSilence(now, id, attempt, isSilent);
    }

    void withdraw(long id) {
        policy.handleWithdrawal(now, id);
    }

    void endProbe(int shard, Status status) {
        endProbe(shard, status, LoadFigures.NONE);
    }

    void endProbe(int shard, Status status, LoadFigures load) {
        policy.handleProbe(now, 100 + shard, status, MS, load);
    }

    /** Advances the clock and fires the timers that are due by then. */
    void advance(long ms) {
        long until = now + ms * MS;
        while (true) {
            long[] next = null;
            for (long[] timer : timers) {
                if (timer[0] <= until && (next == null || timer[0] < next[0])) {
                    next = timer;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = next[0];
            policy.handleTimer(now, next[1]);
            answerProbes();
        }
        now = until;
    }

    /** Advances the clock at once, as if the process had not run: timers fire late, by its end. */
    void holdUp(long ms) {
        now += ms * MS;
        List<long[]> due = timers.stream().filter(timer -> timer[0] <= now).toList();
        timers.removeAll(due);
        due.forEach(timer -> policy.handleTimer(now, timer[1]));
    }

    long count(String prefix) {
        return log.stream().filter(line -> line.startsWith(prefix)).count();
    }

    /** Returns the number of final answers that the instance itself gave to a request. */
    long finalAnswers(long id) {
        return log.stream()
                .filter(line -> line.equals("refuse " + id) || line.equals("fail " + id))
                .count();
    }

    Settings settings() {
        Limits limits =
                new Limits(
                        maxAttempts,
                        mayCancel,
                        mayProbe,
                        false,
                        mayHedge,
                        true,
                        500 * MS,
                        1000 * MS,
                        0,
                        hasAttemptBudget,
                        freeFurtherAttempts,
                        0,
                        5_000_000,
                        0.25,
                        10_000_000,
                        3,
                        3_000_000,
                        coldNodeUnits,
                        200 * MS,
                        1);
        List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                "a",
                                300 * MS,
                                0,
                                1500 * MS,
                                2,
                                0.2,
                                Effect.SAFE,
                                Scope.ALL,
                                0,
                                false,
                                false,
                                false),
                        new RequestClass(
                                "b",
                                600 * MS,
                                0,
                                3000 * MS,
                                3,
                                0.1,
                                Effect.UNSAFE,
                                Scope.ALL,
                                0,
                                false,
                                false,
                                true),
                        new RequestClass(
                                "c",
                                2000 * MS,
                                0,
                                6000 * MS,
                                1,
                                0.2,
                                Effect.SAFE,
                                Scope.ALL,
                                0,
                                false,
                                false,
                                false),
                        new RequestClass(
                                "d",
                                600 * MS,
                                0,
                                3000 * MS,
                                2,
                                0.1,
                                Effect.KEYED,
                                scope,
                                2000 * MS,
                                false,
                                false,
                                true),
                        new RequestClass(
                                "e",
                                600 * MS,
                                0,
                                3000 * MS,
                                2,
                                0.1,
                                Effect.SAFE,
                                Scope.ALL,
                                0,
                                true,
                                false,
                                false));
        List<Plan> plans =
                List.of(
                        new Plan("p", 1000, 1000, 1, 1, 0, 0, 0),
                        new Plan("q", 2, 0, 1, 1, limitRate, 32, 8));
        return new Settings(
                42,
                rank,
                instances,
                0,
                listOnRequest,
                2 * MS,
                classes.stream().filter(type -> !type.name().equals(removedClass)).toList(),
                plans,
                loadNames,
                limits,
                2,
                8,
                0.3,
                0.05,
                0,
                false,
                probeCost);
    }

    @Override
    public void send(long requestId, long node, long timeoutUs) {
        log.add("send " + requestId + " " + (node - 100));
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        log.add("refuse " + requestId);
    }

    @Override
    public void fail(long requestId) {
        log.add("fail " + requestId);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        log.add("cancel " + requestId);
    }

    @Override
    public void probe(long node) {
        if (answersProbes) {
            probedNodes.add(node);
        } else {
            log.add("probe " + (node - 100));
        }
    }

    @Override
    public void startTimer(long delayUs, long token) {
        timers.add(new long[] {now + delayUs, token});
    }

    @Override
    public void sendToPeer(long toRank, byte[] text) {
        log.add("tell " + toRank);
    }

    @Override
    public void watchNodeList(boolean on) {
        log.add("watch " + on);
    }
}
