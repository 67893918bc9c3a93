package cypressglade.core;

import cypressglade.core.Counters.Name;
import cypressglade.core.Scheduler.NodeView;
import cypressglade.core.Scheduler.Plan;
import cypressglade.core.Scheduler.RequestClass;
import cypressglade.core.Scheduler.Settings;
import cypressglade.storm.ClientRequest;
import cypressglade.storm.RetryAdmission;
import cypressglade.storm.RetryAdmission.Speed;
import cypressglade.storm.StormDetector;
import cypressglade.storm.StormLogLines;
import cypressglade.storm.StormSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * What the engine asks of {@link RetryAdmission}: before the module is asked about a try, when it
 * refuses one, and when a write is given up that may have run. Puts requests into the terms of that
 * package; decides nothing. The engine's thread owns it.
 */
final class Gate implements RetryAdmission.Listener {
    private static final System.Logger LOG = System.getLogger(Gate.class.getName());
    private static final double US = 1e6;
    // In a window, beside the share: a calm place needs a few.
    private static final double FREE_RESENDS = 5;
    private static final Duration BUDGET_WINDOW = Duration.ofSeconds(1);

    private final Counters counters;
    private final RetryAdmission storms;
    private final Duration coldSpan;
    private Settings settings;

    Gate(
            StormSettings terms,
            Settings settings,
            Duration coldSpan,
            Counters counters,
            Instant now) {
        this.counters = counters;
        this.coldSpan = coldSpan;
        storms = new RetryAdmission(terms, new SplittableRandom(settings.seed()), this, now);
        use(settings);
    }

    /** What was decided stands: a ledger is no setting. */
    void use(Settings next) {
        settings = next;
        storms.setMaxRetryDelay(
                next.limits().retryAfter()
                        ? Micros.span(next.limits().maxRetryAfterUs())
                        : Duration.ZERO);
    }

    /** Whether further attempts of our own are to be kept within what {@link #budget} allows. */
    boolean saving() {
        return storms.shouldLimitAttempts();
    }

    /** The settings with a budget of further attempts, where they have no smaller one. */
    static Settings budget(Settings told, StormSettings terms) {
        return told.within(FREE_RESENDS, terms.retryRatio(), Micros.of(BUDGET_WINDOW));
    }

    /** Whether the module is not asked, as the request has its answer already. */
    boolean stops(RequestLife<?> life, IoRequest request, Instant now) {
        life.asTry = of(request);
        RetryAdmission.Decision decision = storms.admit(life.asTry, now);
        switch (decision.outcome()) {
            case TURNED_AWAY -> life.signal(new RequestLife.Refuse(decision.retryAfter()));
            case IN_DOUBT -> life.signal(new RequestLife.Fail());
            default -> {
                return false;
            }
        }
        return true;
    }

    void served(RequestLife<?> life, Instant now) {
        storms.recordServed(life.asTry, now);
    }

    /** The module refuses: when to come again. */
    Duration refused(RequestLife<?> life, Duration advice, Instant now) {
        return storms.scheduleRetry(life.asTry, advice, now);
    }

    /**
     * It is over for its client without an answer that says it ran; {@code out} where an attempt
     * is.
     */
    void givenUp(RequestLife<?> life, boolean out, Instant now) {
        if (life.asTry != null && (out || life.mayHaveRun)) {
            storms.uncertainWrites().add(life.asTry, life.firstSent, now);
        }
    }

    /** What was still out when its client left has ended without running. */
    void neverRan(RequestLife<?> life) {
        if (life.asTry != null && !life.mayHaveRun) {
            storms.uncertainWrites().remove(life.asTry);
        }
    }

    /** Writes in doubt, for the next life of this instance. */
    byte[] doubts(Instant now) {
        return storms.uncertainWrites().serialize(now);
    }

    /** Takes those of the former life; where they are not known, all that could be in doubt is. */
    void doubts(Optional<byte[]> former, Instant now) {
        former.ifPresentOrElse(
                storms.uncertainWrites()::restore,
                () -> storms.uncertainWrites().assumeAllUncertain(now));
    }

    /**
     * A request as one try of its client; of a class or plan that the settings lack nothing is
     * known.
     */
    ClientRequest of(IoRequest request) {
        boolean known =
                request.requestClass() < settings.classes().size()
                        && request.plan() < settings.plans().size();
        Plan plan = known ? settings.plans().get(request.plan()) : null;
        RequestClass type = known ? settings.classes().get(request.requestClass()) : null;
        return new ClientRequest(
                request.shard(),
                request.volume(),
                plan == null ? 1 : Math.max(plan.weight(), 0.01),
                request.key(),
                request.requestClass(),
                request.units(),
                request.repeat(),
                effect(type, request),
                request.token(),
                type == null ? Duration.ZERO : Micros.span(type.keyTtlUs()),
                request.expiry());
    }

    private static ClientRequest.Effect effect(RequestClass type, IoRequest request) {
        if (type == null || type.effect() == Scheduler.Effect.SAFE) {
            return ClientRequest.Effect.NONE;
        }
        return type.effect() == Scheduler.Effect.KEYED && request.token() != 0
                ? ClientRequest.Effect.DROPPED
                : ClientRequest.Effect.TWICE;
    }

    /**
     * Takes what the module knows of the nodes, of which this instance may promise its part only.
     */
    void look(List<NodeView> views, Instant now) {
        Map<Integer, Speed> speeds = new HashMap<>();
        for (NodeView view : views) {
            if (view.ready() && !view.silent()) {
                double bears =
                        view.coldRoom() == Double.MAX_VALUE
                                ? Double.POSITIVE_INFINITY
                                : view.coldRoom() / Math.max(coldSpan.toNanos() / 1e9, 1e-3);
                speeds.put(view.shard(), new Speed(US / view.paceUs() / settings.heads(), bears));
            }
        }
        storms.setNodeSpeeds(speeds);
        storms.tick(now);
    }

    @Override
    public void stateChanged(String place, StormDetector.State state, Instant now) {
        LOG.log(System.Logger.Level.INFO, "{0}", StormLogLines.stateChanged(place, state, now));
    }

    @Override
    public void counted(RetryAdmission.Count what) {
        counters.add(Name.valueOf("STORM_" + what.name()));
    }
}
