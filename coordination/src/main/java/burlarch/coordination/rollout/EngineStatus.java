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
 * <p>Invariant <em>a late observation changes nothing</em>: a known version is replaced by a newer one at once, but by
 * an older one only after a report that describes the engine as it was after the known version had been observed.
 */
final class EngineStatus {
    /** A version of weights that the engine was observed to have, and since when it is known. */
    private record LoadedVersion(long version, long sinceNanos) {}

    private final Map<String, LoadedVersion> versions = new HashMap<>();
    private Instance instance;
    private boolean present;
    private long missingSinceNanos;
    private int runningRequests;

    EngineStatus(Instance instance, long nowNanos) {
        onInstance(instance, nowNanos);
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
    void onInstance(Instance announced, long nowNanos) {
        instance = announced;
        present = announced.state() != InstanceState.GONE;
        onModels(announced.models(), nowNanos);
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

    /** Records observed versions; an older one than the known one may be a late observation and changes nothing. */
    void onModels(List<ServedModel> models, long nowNanos) {
        for (ServedModel served : models) {
            onVersion(served.name(), served.version(), nowNanos);
        }
    }

    void onVersion(String model, long version, long nowNanos) {
        if (version > version(model)) {
            versions.put(model, new LoadedVersion(version, nowNanos));
        }
    }

    /**
     * Records the versions of a report that describes the engine as it was at {@code describedAtNanos} or later; an
     * older version than the known one is recorded too if that one was known at that time.
     */
    void onVerifiedModels(List<ServedModel> models, long describedAtNanos, long nowNanos) {
        for (ServedModel served : models) {
            LoadedVersion known = versions.get(served.name());
            boolean isOlder = known != null && served.version() < known.version();
            if (isOlder && describedAtNanos - known.sinceNanos() >= 0) {
                versions.put(served.name(), new LoadedVersion(served.version(), nowNanos));
            }
        }
        onModels(models, nowNanos);
    }

    /** Returns whether the engine announces an older version than one that it is known to have had for that time. */
    boolean announcesOlderThanKnownFor(long durationNanos, long nowNanos) {
        if (!present) {
            return false;
        }
        for (ServedModel served : instance.models()) {
            LoadedVersion known = versions.get(served.name());
            if (served.version() < known.version() && nowNanos - known.sinceNanos() >= durationNanos) {
                return true;
            }
        }
        return false;
    }

    private long version(String model) {
        LoadedVersion known = versions.get(model);
        return known == null ? 0 : known.version();
    }

    /** Returns whether that version or a newer one is loaded. */
    boolean hasLoaded(String model, long version) {
        return version(model) >= version;
    }

    /** Returns when the weights that it has were superseded. It must be behind the target. */
    long supersededAtNanos(RolloutTarget target) {
        return target.supersededAtNanos(version(target.model));
    }

    /** Returns whether it accepts requests for the target's model, or will once it has loaded weights. */
    boolean serves(RolloutTarget target) {
        return present && instance.state() != InstanceState.DRAINING && versions.containsKey(target.model);
    }

    /** Returns whether it serves the target's model with older weights. */
    boolean isBehind(RolloutTarget target) {
        return serves(target) && version(target.model) < target.version();
    }
}
