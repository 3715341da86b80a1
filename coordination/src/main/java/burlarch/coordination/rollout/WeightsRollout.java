package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.rollout.RolloutAction.OwnershipLost;
import burlarch.coordination.rollout.RolloutAction.Timer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The rollout of the newest named weights to engines, a few at a time, while this process holds the ownership. Each
 * call returns the actions to perform, in order.
 *
 * <p>Invariants: <em>orders by the owner only</em> ({@link RolloutOwnership}); <em>withdrawn while ordered</em> and
 * <em>no duplicate order</em> ({@link EngineRollout}); <em>half keeps serving</em> ({@link LoadConcurrency}).
 *
 * <p>No I/O and no clock: times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class WeightsRollout {
    private static final long MISSING_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final RolloutSettings settings;
    private final RolloutOwnership ownership = new RolloutOwnership();
    private final Map<String, EngineRollout> engines = new TreeMap<>();
    private final Map<String, RolloutTarget> targets = new TreeMap<>();
    private final List<RolloutAction> actions = new ArrayList<>();

    /** Creates a rollout without engines, targets or ownership. */
    public WeightsRollout(RolloutSettings settings) {
        this.settings = settings;
    }

    /**
     * Updates the target version of each model from the register; a version lower than the present one changes
     * nothing.
     */
    public List<RolloutAction> onTargets(Map<String, Long> versions, long nowNanos) {
        versions.forEach((model, version) ->
                targets.computeIfAbsent(model, RolloutTarget::new).raise(version, nowNanos));
        return proceed(nowNanos);
    }

    /** Updates the engines from the complete list of known instances; instances without models are ignored. */
    public List<RolloutAction> onInstances(Collection<Instance> instances, long nowNanos) {
        for (EngineRollout engine : engines.values()) {
            engine.status().onMissing(nowNanos);
        }
        for (Instance instance : instances) {
            if (!instance.models().isEmpty()) {
                engineOf(instance, nowNanos).status().onInstance(instance, nowNanos);
            }
        }
        forgetMissing(nowNanos);
        applyStatus(nowNanos);
        return proceed(nowNanos);
    }

    /** Updates the number of requests that run at an engine, if it is known without a report. */
    public void onRunningRequests(String instanceId, int count) {
        EngineRollout engine = engines.get(instanceId);
        if (engine != null) {
            engine.status().onRunningRequests(count);
        }
    }

    /**
     * Handles the acquisition of the ownership under a token. Tokens rise; the same token may be acquired again after
     * a pause, unless an engine has shown that a higher one exists.
     */
    public List<RolloutAction> onOwnership(long token, long nowNanos) {
        if (ownership.onAcquired(token)) {
            for (EngineRollout engine : engines.values()) {
                engine.onOwnershipAcquired(nowNanos);
            }
            applyStatus(nowNanos);
        }
        return proceed(nowNanos);
    }

    /** Handles the loss of the ownership. Whether pending orders were accepted is uncertain from now on. */
    public List<RolloutAction> onOwnershipLost(long nowNanos) {
        ownership.onEnded();
        notifyOwnershipLost(nowNanos);
        return proceed(nowNanos);
    }

    /** Handles the result of the order to that engine. */
    public List<RolloutAction> onOrderResult(String instanceId, OrderResult result, long nowNanos) {
        EngineRollout engine = engines.get(instanceId);
        if (engine != null && engine.onResult(result, nowNanos) && ownership.isHeld()) {
            actions.add(new OwnershipLost(ownership.fencingToken()));
            ownership.onFenced();
            notifyOwnershipLost(nowNanos);
        }
        return proceed(nowNanos);
    }

    /** Handles the response to a report request; the report is empty if none was received. */
    public List<RolloutAction> onReport(String instanceId, Optional<EngineReport> report, long nowNanos) {
        EngineRollout engine = engines.get(instanceId);
        if (engine != null) {
            engine.onReport(report, nowNanos);
        }
        return proceed(nowNanos);
    }

    /** Handles a timer. Call it at the time of the latest {@link Timer}. */
    public List<RolloutAction> onTimer(long nowNanos) {
        return proceed(nowNanos);
    }

    /** Returns whether all known engines have the newest named weights, and none announces older ones than it had. */
    public boolean isComplete() {
        for (EngineRollout engine : engines.values()) {
            if (engine.awaitsVerification() || firstTargetBehind(engine).isPresent()) {
                return false;
            }
        }
        return true;
    }

    private EngineRollout engineOf(Instance instance, long nowNanos) {
        return engines.computeIfAbsent(
                instance.id(), id -> new EngineRollout(settings, ownership, actions, instance, nowNanos));
    }

    private void notifyOwnershipLost(long nowNanos) {
        for (EngineRollout engine : engines.values()) {
            engine.onOwnershipLost(nowNanos);
        }
    }

    private void forgetMissing(long nowNanos) {
        Iterator<EngineRollout> remaining = engines.values().iterator();
        while (remaining.hasNext()) {
            EngineRollout engine = remaining.next();
            if (engine.status().isMissingFor(MISSING_RETENTION_NANOS, nowNanos)) {
                engine.onForgotten(nowNanos);
                remaining.remove();
            }
        }
    }

    private void applyStatus(long nowNanos) {
        for (EngineRollout engine : engines.values()) {
            engine.onStatusChanged(nowNanos);
            if (ownership.isHeld() && engine.isAdoptable(nowNanos)) {
                engine.adopt(firstTargetBehind(engine), nowNanos);
            }
        }
    }

    /** Returns the first target whose version the engine has not loaded yet. */
    private Optional<RolloutTarget> firstTargetBehind(EngineRollout engine) {
        for (RolloutTarget target : targets.values()) {
            if (engine.status().isBehind(target)) {
                return Optional.of(target);
            }
        }
        return Optional.empty();
    }

    private List<RolloutAction> proceed(long nowNanos) {
        boolean moreToStart = ownership.isHeld() && startLoads(nowNanos);
        for (EngineRollout engine : engines.values()) {
            engine.releaseIfLoaded(nowNanos);
            engine.proceed(nowNanos);
        }
        OptionalLong next = nextTimerNanos(moreToStart, nowNanos);
        if (next.isPresent()) {
            actions.add(new Timer(next.getAsLong()));
        }
        List<RolloutAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    /** Starts the loads that are possible now. Returns whether more engines are to start later. */
    private boolean startLoads(long nowNanos) {
        boolean more = false;
        for (RolloutTarget target : targets.values()) {
            more |= new RolloutWave(engines.values(), target, settings, nowNanos).startLoads();
        }
        return more;
    }

    private OptionalLong nextTimerNanos(boolean moreToStart, long nowNanos) {
        OptionalLong next =
                moreToStart ? OptionalLong.of(nowNanos + settings.reportIntervalNanos()) : OptionalLong.empty();
        for (EngineRollout engine : engines.values()) {
            OptionalLong due = engine.nextDueAtNanos();
            if (due.isPresent() && (next.isEmpty() || due.getAsLong() - next.getAsLong() < 0)) {
                next = due;
            }
        }
        return next;
    }
}
