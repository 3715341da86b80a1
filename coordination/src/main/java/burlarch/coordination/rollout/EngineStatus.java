package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The status of one incarnation of an engine, as known from registrations and reports.
 *
 * <p>Invariant <em>versions only rise</em>: weights only get newer while an engine runs, so a late observation
 * changes nothing.
 */
final class EngineStatus {
    private final Map<String, Long> versions = new HashMap<>();
    private Instance instance;
    private boolean present;
    private long missingSinceNanos;
    private int runningRequests;

    EngineStatus(Instance instance) {
        onInstance(instance);
    }

    String id() {
        return instance.id();
    }

    String zone() {
        return instance.zone();
    }

    int runningRequests() {
        return runningRequests;
    }

    void onRunningRequests(int count) {
        runningRequests = count;
    }

    /** Records that the registry lists the engine. */
    void onInstance(Instance announced) {
        instance = announced;
        present = announced.state() != InstanceState.GONE;
        onModels(announced.models());
    }

    /** Records that the registry does not list the engine. */
    void onMissing(long nowNanos) {
        if (present) {
            missingSinceNanos = nowNanos;
        }
        present = false;
    }

    boolean isPresent() {
        return present;
    }

    boolean isMissingFor(long durationNanos, long nowNanos) {
        return !present && nowNanos - missingSinceNanos > durationNanos;
    }

    /** Returns whether some controller has told the routers that it loads. */
    boolean isAnnouncedLoading() {
        return present && instance.state() == InstanceState.LOADING;
    }

    void onModels(List<ServedModel> models) {
        for (ServedModel served : models) {
            onVersion(served.name(), served.version());
        }
    }

    void onVersion(String model, long version) {
        versions.merge(model, version, Math::max);
    }

    /** Returns whether that version or a newer one is loaded. */
    boolean hasLoaded(String model, long version) {
        return versions.getOrDefault(model, 0L) >= version;
    }

    /** Returns when the weights that it has were superseded. It must be behind the target. */
    long supersededAtNanos(RolloutTarget target) {
        return target.supersededAtNanos(versions.get(target.model));
    }

    /** Returns whether it accepts requests for the target's model, or will once it has loaded weights. */
    boolean serves(RolloutTarget target) {
        return present && instance.state() != InstanceState.DRAINING && versions.containsKey(target.model);
    }

    /** Returns whether it serves the target's model with older weights. */
    boolean isBehind(RolloutTarget target) {
        return serves(target) && versions.get(target.model) < target.version();
    }
}
