package burlarch.coordination.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One decision which engines of one model start to load now. Used once. */
final class RolloutWave {
    /** Engines of one zone that serve the model. */
    private static final class ZoneCount {
        private int loading;
        private int serving;
    }

    private final Collection<EngineRollout> engines;
    private final RolloutTarget target;
    private final RolloutSettings settings;
    private final long nowNanos;
    private final List<EngineRollout> startable = new ArrayList<>();
    /** The engines that load, without those that take longer than a rollout should. */
    private final List<EngineRollout> loading = new ArrayList<>();

    private final Map<String, ZoneCount> zones = new HashMap<>();
    /** Engines without an order that are still to get one. */
    private int behind;

    private int serving;

    RolloutWave(Collection<EngineRollout> engines, RolloutTarget target, RolloutSettings settings, long nowNanos) {
        this.engines = engines;
        this.target = target;
        this.settings = settings;
        this.nowNanos = nowNanos;
    }

    /**
     * Starts as many engines as may load at once.
     *
     * @return whether more are to follow
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
        int slots = maxConcurrentLoads() - loading.size();
        while (slots > 0 && !startable.isEmpty()) {
            start(nextToStart());
            slots--;
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

    /** Half of the deadline. An engine that takes longer for one load no longer takes a slot. */
    private long targetDurationNanos() {
        return settings.versionDeadlineNanos() / 2;
    }

    private int maxConcurrentLoads() {
        long[] agesNanos = new long[loading.size()];
        for (int i = 0; i < agesNanos.length; i++) {
            agesNanos[i] = loading.get(i).ageNanos(nowNanos);
        }
        long passedNanos = nowNanos - target.raisedAtNanos;
        return target.concurrency.maxConcurrentLoads(
                serving,
                behind,
                agesNanos,
                targetDurationNanos() - passedNanos,
                settings.versionDeadlineNanos() - passedNanos);
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

    /** First the zone of which the smaller part is loading, then the engine with fewer running requests. */
    private boolean startsBefore(EngineStatus one, EngineStatus other) {
        ZoneCount zone = zones.get(one.zone());
        ZoneCount otherZone = zones.get(other.zone());
        int byZone = Integer.compare(zone.loading * otherZone.serving, otherZone.loading * zone.serving);
        return byZone < 0 || byZone == 0 && one.runningRequests() < other.runningRequests();
    }
}
