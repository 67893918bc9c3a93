package cypressglade.core;

import cypressglade.core.Counters.Gauge;
import cypressglade.core.Counters.Name;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import cypressglade.storm.ClientRequest;
import cypressglade.storm.OtherProcesses;
import cypressglade.storm.RetryAdmission;
import cypressglade.storm.RetryAdmission.Speed;
import cypressglade.storm.StormDetector;
import cypressglade.storm.StormLogLines;
import cypressglade.storm.StormMemory;
import cypressglade.storm.StormSettings;
import cypressglade.storm.WriteRegister.OpenWrite;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Connects the engine to {@link RetryAdmission}, which keeps storms of client retries from the
 * scheduling policy: asks it about each request before the policy gets it and when the policy
 * refuses one, and tells it how each write ends. Only converts between the types of the two
 * packages; all decisions are made there. Owned by the engine thread.
 */
final class RetryStormFilter implements RetryAdmission.Listener {
    private static final System.Logger LOG = System.getLogger(RetryStormFilter.class.getName());
    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * Further attempts that a window always allows, besides the fraction of requests: with little
     * traffic the fraction alone would allow hardly any.
     */
    private static final double FREE_ATTEMPTS_PER_WINDOW = 5;

    /** Weight of a plan that has none; weights are above 0. */
    private static final double MIN_WEIGHT = 0.01;

    private static final Duration ATTEMPT_BUDGET_WINDOW = Duration.ofSeconds(1);

    private final Counters counters;
    private final RetryAdmission admission;
    private final Duration coldWindow;
    private Settings settings;

    /**
     * Creates the filter.
     *
     * @param coldWindow how long a request that was sent to a cold node counts against its limit
     * @param now by {@link MonotonicClock}
     */
    RetryStormFilter(
            StormSettings stormSettings,
            StormMemory memory,
            Settings settings,
            Duration coldWindow,
            Counters counters,
            Instant now) {
        this.counters = counters;
        this.coldWindow = coldWindow;
        admission =
                new RetryAdmission(
                        stormSettings, memory, new SplittableRandom(settings.seed()), this, now);
        applySettings(settings);
    }

    /** Takes new settings; earlier decisions, such as retry slots given to clients, stay valid. */
    void applySettings(Settings next) {
        settings = next;
        admission.setMaxRetryDelay(
                next.limits().mayAdviseRetry()
                        ? Micros.toDuration(next.limits().maxRetryAfterUs())
                        : Duration.ZERO);
    }

    /** Whether this instance's further attempts must keep to {@link #withAttemptBudget} now. */
    boolean isAttemptBudgetActive() {
        return admission.shouldLimitAttempts();
    }

    /** The settings with a budget of further attempts, unless they have one already. */
    static Settings withAttemptBudget(Settings base, StormSettings stormSettings) {
        return base.withAttemptBudget(
                FREE_ATTEMPTS_PER_WINDOW,
                stormSettings.retryRatio(),
                Micros.of(ATTEMPT_BUDGET_WINDOW));
    }

    /**
     * Answers a request that must not reach the scheduling policy; returns whether it did. A write
     * that may have run before is failed, any other is refused with the time of its retry slot.
     */
    boolean tryReject(RequestTask<?> task, IoRequest request, Instant now) {
        task.stormRequest = toStormRequest(request);
        RetryAdmission.Decision decision = admission.admit(task.stormRequest, now);
        switch (decision.outcome()) {
            case TURNED_AWAY -> task.signal(new RequestTask.Refuse(decision.retryAfter()));
            case IN_DOUBT -> task.signal(new RequestTask.Fail());
            default -> {
                task.receipt().write = admission.writes().enter(task.stormRequest, now);
                return false;
            }
        }
        return true;
    }

    /** Reports that an attempt of a request is sent. */
    void sent(RequestTask<?> task, Instant now) {
        task.receipt().write.ifPresent(write -> write.sent(now));
    }

    /** Reports that a request is over and none of its attempts is in flight. */
    void ended(RequestTask<?> task, Instant now) {
        AnswerReceipt receipt = task.receipt();
        if (receipt.hasEnded) {
            return;
        }
        receipt.hasEnded = true;
        receipt.write.ifPresent(write -> end(task, write, now));
        if (!task.isServed || receipt.isRead) {
            receipt.write = Optional.empty();
        }
    }

    private void end(RequestTask<?> task, OpenWrite write, Instant now) {
        if (!task.mayHaveRun) {
            admission.writes().endUnrun(write);
        } else if (task.isServed && task.receipt().isRead) {
            admission.writes().endConfirmed(write);
        } else {
            admission.writes().endUncertain(write, now);
        }
    }

    /** Reports that the client of a request that was served has read the answer. */
    void answerRead(AnswerReceipt receipt) {
        receipt.isRead = true;
        if (receipt.hasEnded) {
            receipt.write.ifPresent(admission.writes()::confirm);
            receipt.write = Optional.empty();
        }
    }

    void served(RequestTask<?> task, Instant now) {
        admission.recordServed(task.stormRequest, now);
    }

    /** Reports that the policy refuses a request; returns when its client is to send it again. */
    Duration refused(RequestTask<?> task, Duration advice, Instant now) {
        return admission.scheduleRetry(task.stormRequest, advice, now);
    }

    /** The writes that could come again, serialized for another process of this instance. */
    byte[] writes(Instant now) {
        return admission.writes().serialize(now);
    }

    void countHeld() {
        counters.set(Gauge.WRITES_REMEMBERED, admission.writes().size());
        counters.set(Gauge.SLOTS_BOOKED, admission.bookedSlots());
    }

    /** Shares the writes with the other processes of this instance. */
    void shareWrites(OtherProcesses others) {
        admission.writes().share(others);
    }

    /** The storm detector's form of a request. */
    static ClientRequest toStormRequest(IoRequest request) {
        RequestClass type = request.rules().requestClass();
        return new ClientRequest(
                request.shard(),
                request.volume(),
                Math.max(request.rules().plan().weight(), MIN_WEIGHT),
                request.key(),
                type.name(),
                request.units(),
                request.isRetry(),
                effect(type, request),
                request.idempotencyToken(),
                Micros.toDuration(type.keyTtlUs()),
                request.expiry(),
                request.receivedAt());
    }

    private static ClientRequest.Effect effect(RequestClass type, IoRequest request) {
        // Where a front knows no retries, nothing comes again.
        if (type.effect() == Scheduler.Effect.SAFE || request.receivedAt().isEmpty()) {
            return ClientRequest.Effect.NONE;
        }
        return type.effect() == Scheduler.Effect.KEYED && request.idempotencyToken() != 0
                ? ClientRequest.Effect.DROPPED
                : ClientRequest.Effect.TWICE;
    }

    /**
     * Passes on the speed of each shard as the scheduling policy sees it, and looks at the other
     * processes of this instance. Each instance counts only an even share of a shard's speed as its
     * own, because all of them send to it.
     */
    void update(List<NodeView> views, Instant now) {
        Map<Integer, Speed> speeds = new HashMap<>();
        for (NodeView view : views) {
            if (view.ready() && !view.silent()) {
                double maxUnitsPerSecond =
                        view.coldCapacityUnits() == Double.MAX_VALUE
                                ? Double.POSITIVE_INFINITY
                                : view.coldCapacityUnits()
                                        / Math.max(coldWindow.toNanos() / 1e9, 1e-3);
                speeds.put(
                        view.shard(),
                        new Speed(
                                MICROS_PER_SECOND
                                        / view.serviceTimePerUnitUs()
                                        / settings.instances(),
                                maxUnitsPerSecond));
            }
        }
        admission.setNodeSpeeds(speeds);
        admission.tick(now);
        admission.writes().learnOfOthers(now);
    }

    @Override
    public void stateChanged(String scope, StormDetector.State state, Instant now) {
        LOG.log(System.Logger.Level.INFO, "{0}", StormLogLines.stateChanged(scope, state, now));
    }

    @Override
    public void counted(RetryAdmission.Count count) {
        counters.add(Name.valueOf("STORM_" + count.name()));
    }
}
