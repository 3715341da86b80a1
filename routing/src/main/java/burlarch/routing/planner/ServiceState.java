package burlarch.routing.planner;

import burlarch.configuration.Configuration.Service;
import burlarch.coordination.rollout.VersionTimeline;
import burlarch.routing.admission.CacheMissAdmission;
import burlarch.routing.admission.PriorityShedding;
import burlarch.routing.admission.RetryBudget;
import burlarch.routing.instance.InstanceSpeed;
import burlarch.routing.instance.TrackedInstance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * State of one service: its configuration, its instances, the newest known weights versions, and averages over its
 * requests. {@link FleetState} owns it and sets its instances.
 */
final class ServiceState {
    private static final double MEAN_GAIN = 0.02;
    private static final double MISS_GAIN = 0.1;

    private final InstanceSpeed speed = new InstanceSpeed();
    private final List<TrackedInstance> instances = new ArrayList<>();
    private final RetryBudget budget;
    private final CacheMissAdmission admission;
    private final PriorityShedding priorityShedding = new PriorityShedding();
    /** The weights versions of each model by when an instance was first seen to have them. */
    private final Map<String, VersionTimeline> observedVersions = new HashMap<>(2);

    private Service service;
    private double meanPrefillTokens = 1_000;
    private double meanMissTokens = 2_000;
    private double meanMemoryTokens = 2_000;

    ServiceState(Service service, RetryBudget budget, CacheMissAdmission admission) {
        this.service = service;
        this.budget = budget;
        this.admission = admission;
    }

    void update(Service configured) {
        service = configured;
    }

    /** Returns the average speed of its instances. */
    InstanceSpeed speed() {
        return speed;
    }

    /** Returns its instances in any state. This is the list itself, which {@link FleetState} changes. */
    List<TrackedInstance> instances() {
        return instances;
    }

    RetryBudget budget() {
        return budget;
    }

    CacheMissAdmission admission() {
        return admission;
    }

    /** Returns the shedding of less urgent requests in favour of urgent cache misses. */
    PriorityShedding priorityShedding() {
        return priorityShedding;
    }

    /** Whether its instances are model engines, with a prefix cache. */
    boolean isModelService() {
        return service.engine() != null;
    }

    /** Returns the KV cache of each engine in tokens, 0 if not configured. */
    long kvCapacity() {
        return service.engine() == null ? 0 : service.engine().kvCapacity();
    }

    /** Returns the bytes of KV cache for each token. Only for model services. */
    long tokenBytes() {
        return service.engine().kvTokenBytes();
    }

    /** Returns the nominal link speed of its engines in Mbit/s. Only for model services. */
    double linkMbps() {
        return service.engine().linkMbps();
    }

    /** Returns the mean number of tokens to prefill for a request. */
    double meanPrefillTokens() {
        return meanPrefillTokens;
    }

    /** Returns the mean KV cache that a request uses, in tokens. */
    double meanMemoryTokens() {
        return meanMemoryTokens;
    }

    /** Returns the cache misses that all ready engines together can prefill in a second. */
    double sustainableMissesPerSecond() {
        double tokensPerSecond = 0;
        for (int i = 0; i < instances.size(); i++) {
            TrackedInstance instance = instances.get(i);
            tokensPerSecond += instance.isReady() ? instance.speed().tokensPerNano() * 1e9 : 0;
        }
        return tokensPerSecond / Math.max(1, meanMissTokens);
    }

    /** Records that an attempt of a request to this service was sent. */
    void onSent(InFlightAttempt attempt) {
        if (attempt.isCacheMiss()) {
            meanMissTokens += (attempt.tokensToPrefill() - meanMissTokens) * MISS_GAIN;
        }
        meanPrefillTokens += (attempt.tokensToPrefill() - meanPrefillTokens) * MEAN_GAIN;
        meanMemoryTokens += (attempt.memoryTokens() - meanMemoryTokens) * MEAN_GAIN;
    }

    /** Records that an instance has that weights version. */
    void onVersion(String model, long version, long nowNanos) {
        observedVersions.computeIfAbsent(model, name -> new VersionTimeline()).add(version, nowNanos);
    }

    /**
     * Returns the newest weights version that has been known for {@code graceNanos}, so that all instances can have it
     * or a newer one; 0 if there is none.
     */
    long minVersion(String model, long graceNanos, long nowNanos) {
        VersionTimeline observed = observedVersions.get(model);
        return observed == null ? 0 : observed.newestKnownFor(graceNanos, nowNanos);
    }

    /**
     * Returns the newest weights version that is being replaced by a newer one, 0 if none is known to be replaced. All
     * versions up to it are superseded. A version is being replaced if a newer one was seen, or if an instance with
     * that version was recently seen to load another.
     */
    long newestSupersededVersion(String model, long nowNanos) {
        VersionTimeline observed = observedVersions.get(model);
        long supersededVersion = observed == null ? 0 : observed.newest() - 1;
        for (int i = 0; i < instances.size(); i++) {
            supersededVersion = Math.max(supersededVersion, instances.get(i).versionBeforeLoading(model, nowNanos));
        }
        return supersededVersion;
    }

    /** Whether there are certainly free slots: fewer than half of them in use, and no instance with a known queue. */
    boolean hasSpareSlots(long nowNanos) {
        double requests = 0;
        double slots = 0;
        for (int i = 0; i < instances.size(); i++) {
            TrackedInstance instance = instances.get(i);
            if (instance.isReady()) {
                if (instance.load().hasQueue(nowNanos)) {
                    return false;
                }
                requests += instance.load().requests(nowNanos);
                slots += instance.load().slots();
            }
        }
        return requests < slots / 2;
    }
}
