package burlarch.coordination.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which engines of one model begin to load now. */
final class RolloutWave {
    private final Collection<EngineRollout> engines;
    private final RolloutTarget target;
    private final RolloutSettings settings;
    private final long now;
    private final List<EngineRollout> startable = new ArrayList<>();
    private final List<EngineRollout> loading = new ArrayList<>();
    /** Engines of a zone: those that load, and all. */
    private final Map<String, int[]> zones = new HashMap<>();

    private int behind;
    private int serving;

    RolloutWave(Collection<EngineRollout> engines, RolloutTarget target, RolloutSettings settings, long now) {
        this.engines = engines;
        this.target = target;
        this.settings = settings;
        this.now = now;
    }

    /** Begins as many as are to load at once, and tells whether more are to follow. */
    boolean startLoads() {
        for (EngineRollout engine : engines) {
            count(engine);
        }
        if (behind == 0) {
            return false;
        }
        int places = maxConcurrentLoads() - loading.size();
        while (places > 0 && !startable.isEmpty()) {
            EngineRollout next = nextToStart();
            startable.remove(next);
            zones.get(next.zone())[0]++;
            next.begin(target, now);
            places--;
            behind--;
        }
        return behind > 0;
    }

    private void count(EngineRollout engine) {
        if (!engine.serves(target)) {
            return;
        }
        serving++;
        int[] zone = zones.computeIfAbsent(engine.zone(), name -> new int[2]);
        zone[1]++;
        if (engine.underway(target)) {
            zone[0]++;
            if (engine.age(now) < targetDurationNanos()) {
                loading.add(engine);
            }
        } else if (engine.idle() && engine.behind(target)) {
            behind++;
            if (engine.startable(now)) {
                startable.add(engine);
            }
        }
    }

    /** Half of the time that there is; an engine that takes longer for one load keeps no place. */
    private long targetDurationNanos() {
        return settings.versionDeadlineNanos() / 2;
    }

    private int maxConcurrentLoads() {
        long[] ages = new long[loading.size()];
        for (int i = 0; i < ages.length; i++) {
            ages[i] = loading.get(i).age(now);
        }
        long passed = now - target.raisedAtNanos;
        return target.concurrency.maxConcurrentLoads(
                serving, behind, ages, targetDurationNanos() - passed, settings.versionDeadlineNanos() - passed);
    }

    private EngineRollout nextToStart() {
        EngineRollout best = startable.get(0);
        for (EngineRollout engine : startable) {
            if (startsBefore(engine, best)) {
                best = engine;
            }
        }
        return best;
    }

    /** Zones of which less is loading first, then those with less at work. */
    private boolean startsBefore(EngineRollout one, EngineRollout other) {
        int[] zone = zones.get(one.zone());
        int[] otherZone = zones.get(other.zone());
        int byZone = Integer.compare(zone[0] * otherZone[1], otherZone[0] * zone[1]);
        return byZone < 0 || byZone == 0 && one.running() < other.running();
    }
}
