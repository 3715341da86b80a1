package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What registrations and reports have told of one incarnation of an engine. */
class EngineStatus {
    private final Map<String, Long> versions = new HashMap<>();
    private Instance instance;
    private boolean present;
    private long missingSince;
    private int running;

    EngineStatus(Instance instance) {
        onInstance(instance);
    }

    final String id() {
        return instance.id();
    }

    final String zone() {
        return instance.zone();
    }

    final int running() {
        return running;
    }

    final boolean present() {
        return present;
    }

    final void onRunning(int count) {
        running = count;
    }

    final void onInstance(Instance told) {
        instance = told;
        present = told.state() != InstanceState.GONE;
        onModels(told.models());
    }

    final void onMissing(long now) {
        if (present) {
            missingSince = now;
        }
        present = false;
    }

    final boolean missingFor(long duration, long now) {
        return !present && now - missingSince > duration;
    }

    /** Whether routers were told, by whomever, to send nothing. */
    final boolean announcedLoading() {
        return present && instance.state() == InstanceState.LOADING;
    }

    /** Weights only get newer while an engine runs, so news that comes late changes nothing. */
    final void onModels(List<ServedModel> models) {
        for (ServedModel served : models) {
            onVersion(served.name(), served.version());
        }
    }

    final void onVersion(String model, long version) {
        versions.merge(model, version, Math::max);
    }

    final boolean holds(String model, long version) {
        return versions.getOrDefault(model, 0L) >= version;
    }

    final boolean serves(RolloutTarget wanted) {
        return present && instance.state() != InstanceState.DRAINING && versions.containsKey(wanted.model);
    }

    final boolean behind(RolloutTarget wanted) {
        return serves(wanted) && versions.get(wanted.model) < wanted.version;
    }
}
