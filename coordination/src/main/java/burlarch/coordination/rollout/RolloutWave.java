package burlarch.coordination.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One decision on which engines of one model start to load now. Each instance is used once.
 *
 * <p>Invariant <em>longest superseded first</em>: no engine starts to load before one that could start as well and
 * whose weights were superseded earlier. So each engine gets its turn, however quickly new versions are named.
 */
final class RolloutWave {
    /** The number of engines of one zone that serve the model, and of those that load. */
    private static final class ZoneCount {
        private int loading;
        private int serving;
    }

    /** An engine without an order that still needs one, and when its weights were superseded. */
    private record OutdatedEngine(EngineRollout engine, long supersededAtNanos) {}

    private final Collection<EngineRollout> engines;
    private final RolloutTarget target;
    private final RolloutSettings settings;
    private final long nowNanos;
    /** The longest superseded first. */
    private final List<OutdatedEngine> outdated = new ArrayList<>();

    private final List<OutdatedEngine> startable = new ArrayList<>();
    /** The loading engines, without those that have taken longer than a whole rollout should. */
    private final List<EngineRollout> loading = new ArrayList<>();

    private final Map<String, ZoneCount> zones = new HashMap<>();

    private int serving;

    RolloutWave(Collection<EngineRollout> engines, RolloutTarget target, RolloutSettings settings, long nowNanos) {
        this.engines = engines;
        this.target = target;
        this.settings = settings;
        this.nowNanos = nowNanos;
    }

    /**
     * Starts loads until as many engines load as are needed to be done in time. An engine that is still withdrawn after
     * a load may go on beyond that, as it has no requests.
     *
     * @return whether more engines are to be started later
     */
    boolean startLoads() {
        for (EngineRollout engine : engines) {
            if (engine.status().serves(target)) {
                count(engine);
            }
        }
        if (outdated.isEmpty()) {
            return false;
        }
        outdated.sort(Comparator.comparingLong(engine -> engine.supersededAtNanos() - nowNanos));
        int maxConcurrent = maxConcurrentLoads();
        int started = 0;
        while (!startable.isEmpty()) {
            OutdatedEngine next = nextToStart();
            if (!mayStart(next, loading.size() + started, maxConcurrent)) {
                break;
            }
            start(next);
            started++;
        }
        return started < outdated.size();
    }

    private boolean mayStart(OutdatedEngine next, int concurrent, int maxConcurrent) {
        boolean mayLoadAgain = next.engine().mayLoadAgain() && concurrent < LoadConcurrency.half(serving);
        return concurrent < maxConcurrent || mayLoadAgain;
    }

    private void count(EngineRollout engine) {
        serving++;
        ZoneCount zone = zones.computeIfAbsent(engine.status().zone(), name -> new ZoneCount());
        zone.serving++;
        if (engine.isLoading(target)) {
            zone.loading++;
            if (engine.ageNanos(nowNanos) < targetDurationNanos()) {
                loading.add(engine);
            }
        } else if (engine.awaitsOrder(target)) {
            OutdatedEngine outdatedEngine =
                    new OutdatedEngine(engine, engine.status().supersededAtNanos(target));
            outdated.add(outdatedEngine);
            if (engine.isStartable(nowNanos)) {
                startable.add(outdatedEngine);
            }
        }
    }

    private void start(OutdatedEngine next) {
        startable.remove(next);
        zones.get(next.engine().status().zone()).loading++;
        next.engine().begin(target, nowNanos);
    }

    /**
     * Returns the time in which an engine should have newer weights: half of the deadline. An engine whose load takes
     * longer no longer occupies a slot.
     */
    private long targetDurationNanos() {
        return settings.versionDeadlineNanos() / 2;
    }

    private int maxConcurrentLoads() {
        long[] agesNanos = new long[loading.size()];
        for (int i = 0; i < agesNanos.length; i++) {
            agesNanos[i] = loading.get(i).ageNanos(nowNanos);
        }
        long[] untilTargetNanos = new long[outdated.size()];
        int overdue = 0;
        for (int i = 0; i < untilTargetNanos.length; i++) {
            long elapsedNanos = nowNanos - outdated.get(i).supersededAtNanos();
            untilTargetNanos[i] = targetDurationNanos() - elapsedNanos;
            overdue += elapsedNanos >= settings.versionDeadlineNanos() ? 1 : 0;
        }
        return target.concurrency.maxConcurrentLoads(serving, overdue, untilTargetNanos, agesNanos);
    }

    private OutdatedEngine nextToStart() {
        OutdatedEngine next = startable.get(0);
        for (OutdatedEngine candidate : startable) {
            if (startsBefore(candidate, next)) {
                next = candidate;
            }
        }
        return next;
    }

    /**
     * Orders by the time at which the weights were superseded, then engines that are still withdrawn after a load, then
     * by the fraction of the zone that is loading, the smaller first, then by the number of running requests.
     */
    private boolean startsBefore(OutdatedEngine first, OutdatedEngine second) {
        long bySupersededNanos = first.supersededAtNanos() - second.supersededAtNanos();
        if (bySupersededNanos != 0) {
            return bySupersededNanos < 0;
        }
        if (first.engine().isIdle() != second.engine().isIdle()) {
            return second.engine().isIdle();
        }
        EngineStatus firstStatus = first.engine().status();
        EngineStatus secondStatus = second.engine().status();
        int byZone = compareZones(zones.get(firstStatus.zone()), zones.get(secondStatus.zone()));
        return byZone < 0 || byZone == 0 && firstStatus.runningRequests() < secondStatus.runningRequests();
    }

    /** Compares by the fraction of the engines that are loading. */
    private static int compareZones(ZoneCount first, ZoneCount second) {
        return Integer.compare(first.loading * second.serving, second.loading * first.serving);
    }
}
