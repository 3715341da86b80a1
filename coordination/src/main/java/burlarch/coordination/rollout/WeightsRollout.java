package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.rollout.RolloutAction.OwnershipLost;
import burlarch.coordination.rollout.RolloutAction.Timer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Brings engines to the newest named weights, a few at a time, while this process holds the ownership. No
 * I/O, no clock, not thread-safe: times are nanoseconds of one monotonic clock, and each call returns what is
 * to be done. An engine gets an order for the same weights again only after a report that shows that the one
 * before was not taken, and then with the report's sequence, so that a late first order can't make it two.
 */
public final class WeightsRollout {
    private static final long MISSING_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final RolloutSettings settings;
    private final Map<String, EngineRollout> engines = new TreeMap<>();
    private final Map<String, RolloutTarget> targets = new TreeMap<>();
    private final List<RolloutAction> actions = new ArrayList<>();
    private boolean owner;
    private boolean tokenSeen;
    private boolean fenced;
    private long fencingToken;

    public WeightsRollout(RolloutSettings settings) {
        this.settings = settings;
    }

    /** The newest version of each model, as the register has it; lower ones than before change nothing. */
    public List<RolloutAction> onTargets(Map<String, Long> versions, long now) {
        versions.forEach((model, version) ->
                targets.computeIfAbsent(model, RolloutTarget::new).raise(version, now));
        return proceed(now);
    }

    /** All instances that are known, whole; those without models are passed over. */
    public List<RolloutAction> onInstances(Collection<Instance> instances, long now) {
        for (EngineRollout engine : engines.values()) {
            engine.onMissing(now);
        }
        for (Instance instance : instances) {
            if (!instance.models().isEmpty()) {
                engines.computeIfAbsent(instance.id(), id -> new EngineRollout(settings, actions, instance, now))
                        .onInstance(instance);
            }
        }
        forgetMissing(now);
        observe(now);
        return proceed(now);
    }

    /** How many requests run at an engine, where it is known without a report. */
    public void onRunning(String instance, int running) {
        EngineRollout engine = engines.get(instance);
        if (engine != null) {
            engine.onRunning(running);
        }
    }

    /**
     * This process holds the ownership under that token. Tokens rise; the same one may be taken up again
     * after a pause, unless an engine has shown that a higher one is out.
     */
    public List<RolloutAction> onOwnership(long token, long now) {
        boolean resumed = tokenSeen && token == fencingToken && !owner && !fenced;
        if (!tokenSeen || token > fencingToken || resumed) {
            owner = true;
            tokenSeen = true;
            fenced = false;
            fencingToken = token;
            for (EngineRollout engine : engines.values()) {
                engine.onOwnership(now);
            }
            observe(now);
        }
        return proceed(now);
    }

    /** The ownership has ended. What was ordered stays remembered as uncertain. */
    public List<RolloutAction> onOwnershipLost(long now) {
        loseOwnership(now);
        return proceed(now);
    }

    /** How the order to that engine ended. */
    public List<RolloutAction> onOrderResult(String instance, OrderResult result, long now) {
        EngineRollout engine = engines.get(instance);
        if (engine != null && engine.onResult(result, fencingToken, owner, now) && owner) {
            fenced = true;
            actions.add(new OwnershipLost(fencingToken));
            loseOwnership(now);
        }
        return proceed(now);
    }

    /** The report that was asked for, null where none came. */
    public List<RolloutAction> onReport(String instance, EngineReport report, long now) {
        EngineRollout engine = engines.get(instance);
        if (engine != null) {
            engine.onReport(report, owner, now);
        }
        return proceed(now);
    }

    /** The time that a {@link Timer} named has come. */
    public List<RolloutAction> onTimer(long now) {
        return proceed(now);
    }

    /** Whether all engines that are known have the newest weights that are named. */
    public boolean isComplete() {
        for (EngineRollout engine : engines.values()) {
            if (firstTargetBehind(engine) != null) {
                return false;
            }
        }
        return true;
    }

    private void loseOwnership(long now) {
        owner = false;
        for (EngineRollout engine : engines.values()) {
            engine.onOwnershipLost(now);
        }
    }

    private void forgetMissing(long now) {
        for (Iterator<EngineRollout> all = engines.values().iterator(); all.hasNext(); ) {
            EngineRollout engine = all.next();
            if (engine.missingFor(MISSING_RETENTION_NANOS, now)) {
                engine.unmark(now);
                all.remove();
            }
        }
    }

    private void observe(long now) {
        for (EngineRollout engine : engines.values()) {
            engine.observe(owner, now);
            if (owner && engine.adoptable(now)) {
                engine.adopt(firstTargetBehind(engine), now);
            }
        }
    }

    /** A target that the engine has yet to reach, or null. */
    private RolloutTarget firstTargetBehind(EngineRollout engine) {
        for (RolloutTarget target : targets.values()) {
            if (engine.behind(target)) {
                return target;
            }
        }
        return null;
    }

    private List<RolloutAction> proceed(long now) {
        boolean more = false;
        if (owner) {
            for (RolloutTarget target : targets.values()) {
                more |= new RolloutWave(engines.values(), target, settings, now).startLoads();
            }
        }
        long next = more ? now + settings.reportIntervalNanos() : Long.MAX_VALUE;
        boolean due = more;
        for (EngineRollout engine : engines.values()) {
            engine.proceed(fencingToken, owner, now);
            long at = engine.nextDue(owner, Long.MAX_VALUE);
            if (at != Long.MAX_VALUE && (!due || at - next < 0)) {
                next = at;
                due = true;
            }
        }
        if (due) {
            actions.add(new Timer(next));
        }
        List<RolloutAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }
}
