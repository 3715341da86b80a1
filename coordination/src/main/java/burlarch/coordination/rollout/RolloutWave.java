package burlarch.coordination.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One decision on which engines of one model start to load now. Each instance is used once. */
final class RolloutWave {
    /** The number of engines of one zone that serve the model, and of those that load. */
    private static final class ZoneCount {
        private int loading;
        private int serving;
    }

    private final Collection<EngineRollout> engines;
    private final RolloutTarget target;
    private final RolloutSettings settings;
    private final long nowNanos;
    private final List<EngineRollout> startable = new ArrayList<>();
    /** The loading engines, without those that have taken longer than a whole rollout should. */
    private final List<EngineRollout> loading = new ArrayList<>();

    private final Map<String, ZoneCount> zones = new HashMap<>();
    /** Number of engines without an order that still need one. */
    private int behind;

    private int serving;

    RolloutWave(Collection<EngineRollout> engines, RolloutTarget target, RolloutSettings settings, long nowNanos) {
        this.engines = engines;
        this.target = target;
        this.settings = settings;
        this.nowNanos = nowNanos;
    }

    /**
     * Starts loads until as many engines load as may load at once.
     *
     * @return whether more engines are to be started later
     */
    boolean startLoads() {
        for (EngineRollout engine : engines) {
            if (engine.status().serves(target)) {
                count(engine);
            }
        }
        if (behind == 0) {
            return false;
        }
        int freeSlots = maxConcurrentLoads() - loading.size();
        while (freeSlots > 0 && !startable.isEmpty()) {
            start(nextToStart());
            freeSlots--;
        }
        return behind > 0;
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
        } else if (engine.isIdle() && engine.status().isBehind(target)) {
            behind++;
            if (engine.isStartable(nowNanos)) {
                startable.add(engine);
            }
        }
    }

    private void start(EngineRollout engine) {
        startable.remove(engine);
        zones.get(engine.status().zone()).loading++;
        engine.begin(target, nowNanos);
        behind--;
    }

    /**
     * Returns the time in which a rollout should be done: half of the deadline. An engine whose load takes longer no
     * longer occupies a slot.
     */
    private long targetDurationNanos() {
        return settings.versionDeadlineNanos() / 2;
    }

    private int maxConcurrentLoads() {
        long[] agesNanos = new long[loading.size()];
        for (int i = 0; i < agesNanos.length; i++) {
            agesNanos[i] = loading.get(i).ageNanos(nowNanos);
        }
        long elapsedNanos = nowNanos - target.raisedAtNanos;
        return target.concurrency.maxConcurrentLoads(
                serving,
                behind,
                agesNanos,
                targetDurationNanos() - elapsedNanos,
                settings.versionDeadlineNanos() - elapsedNanos);
    }

    private EngineRollout nextToStart() {
        EngineRollout next = startable.get(0);
        for (EngineRollout engine : startable) {
            if (startsBefore(engine.status(), next.status())) {
                next = engine;
            }
        }
        return next;
    }

    /**
     * Orders by the fraction of the zone that is loading, the smaller first, then by the number of running requests.
     */
    private boolean startsBefore(EngineStatus first, EngineStatus second) {
        ZoneCount firstZone = zones.get(first.zone());
        ZoneCount secondZone = zones.get(second.zone());
        int byZone = Integer.compare(firstZone.loading * secondZone.serving, secondZone.loading * firstZone.serving);
        return byZone < 0 || byZone == 0 && first.runningRequests() < second.runningRequests();
    }
}
