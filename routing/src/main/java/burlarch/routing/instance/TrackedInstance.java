package burlarch.routing.instance;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.RendezvousHash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One router's view of an instance: its last announcement, and the estimates that the router has made of it. The
 * instance is a model engine or a plain server. A restarted instance has a new id and thus a new object.
 *
 * <p>Invariant <em>consistent source</em>: a model engine that was seen to load other weights is no source of KV
 * transfers until its newer version is known ({@link #hasConsistentCache}). Requests that it retained while it loaded
 * have computed a part of their prompts under the new weights, but cached it under the old salt.
 *
 * <p>Invariant <em>versions only rise</em>: reported weights versions of a model never decrease the known one, because
 * responses may arrive late. Only {@link #resetToAnnouncedVersion} returns to what the instance announced.
 */
public final class TrackedInstance {
    private static final double MAX_LIGHT_PREFILL_LOAD = 0.5;
    /**
     * Maximum delay from the announcement of a new version to the end of the LOADING state. Within this time, the
     * state does not indicate a further load.
     */
    private static final long LOADING_STATE_LAG_NANOS = 1_000_000_000L;

    /** Time after a load within which heartbeats and responses have surely reported the version that was loaded. */
    private static final long LOADING_RECENT_NANOS = 3_000_000_000L;

    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final String id;
    private final long idHash;
    private final InstanceHealth health = new InstanceHealth();
    private final InstanceSpeed speed;
    private final InstanceLoad load;
    private final PrefillLoadEstimate prefillLoad = new PrefillLoadEstimate();
    private final KvTransferSpeed transferSpeed = new KvTransferSpeed();
    private final Map<String, Long> versions = new HashMap<>(2);
    /** Version of each model that the instance had when it was last seen to load others. */
    private final Map<String, Long> versionsBeforeLoading = new HashMap<>(2);

    private long versionIncreasedNanos = NEVER_NANOS;
    private long lastLoadingNanos = NEVER_NANOS;
    private Instance announcement;
    private int subsetDistance;

    /** @param serviceAverage speed of the instances of its service, used until the speed of this one is known */
    public TrackedInstance(Instance announcement, InstanceSpeed serviceAverage) {
        this.speed = new InstanceSpeed(serviceAverage);
        this.id = announcement.id();
        this.idHash = RendezvousHash.hash(id);
        this.load = new InstanceLoad(announcement.capacity());
        this.announcement = announcement;
    }

    /** Returns the instance's id. */
    public String id() {
        return id;
    }

    /** Returns the {@link RendezvousHash#hash} of the id. */
    public long idHash() {
        return idHash;
    }

    /** Returns its health, which tells whether it may receive requests. */
    public InstanceHealth health() {
        return health;
    }

    /** Returns the estimate of its prefill and response speed. */
    public InstanceSpeed speed() {
        return speed;
    }

    /** Returns the estimate of its running and waiting requests. */
    public InstanceLoad load() {
        return load;
    }

    /** Returns the estimate of its prefill utilization by prefix-cache events. */
    public PrefillLoadEstimate prefillLoad() {
        return prefillLoad;
    }

    /** Returns the estimate of the speed of KV transfers to it. */
    public KvTransferSpeed transferSpeed() {
        return transferSpeed;
    }

    /** Returns its last announcement. */
    public Instance announcement() {
        return announcement;
    }

    /** Applies a new announcement of the instance. */
    public void update(Instance announced, long nowNanos) {
        if (isLoading() || announced.state() == InstanceState.LOADING) {
            lastLoadingNanos = nowNanos;
        }
        announcement = announced;
        if (announced.capacity() > 0) {
            load.setSlots(announced.capacity());
        }
        if (isLoading() && nowNanos - versionIncreasedNanos >= LOADING_STATE_LAG_NANOS && announced.models() != null) {
            for (ServedModel model : announced.models()) {
                long known = version(model.name());
                versionsBeforeLoading.put(model.name(), known > 0 ? known : model.version());
            }
        }
    }

    private boolean isLoading() {
        return announcement.state() == InstanceState.LOADING;
    }

    /**
     * Returns the version of the model's weights that the instance had when it was seen to load others, or 0. It is 0
     * if no load was seen, or if the load is so long ago that the newer version would be known by now: then either the
     * LOADING state led to no new version, or the recorded version was already the new one.
     */
    public long versionBeforeLoading(String model, long nowNanos) {
        boolean recent = isLoading() || nowNanos - lastLoadingNanos < LOADING_RECENT_NANOS;
        return recent ? versionsBeforeLoading.getOrDefault(model, 0L) : 0;
    }

    /**
     * Whether all entries that it caches of the model under the salt of its known version were computed with that
     * version.
     */
    public boolean hasConsistentCache(String model, long nowNanos) {
        return !isLoading() && version(model) > versionBeforeLoading(model, nowNanos);
    }

    /**
     * Returns the number of subsets between this router's own subset and that of the instance; 0 for the own subset.
     */
    public int subsetDistance() {
        return subsetDistance;
    }

    /** Sets the {@link #subsetDistance()}. */
    public void setSubsetDistance(int subsets) {
        subsetDistance = subsets;
    }

    /** Whether it is announced as ready to accept requests. */
    public boolean isReady() {
        return announcement.state() == InstanceState.READY;
    }

    /** Whether it is warming up, that is ready but still slower than usual. */
    public boolean isWarmingUp() {
        return announcement.warmupLeftMillis() > 0;
    }

    /** Whether fewer than half of its slots are in use, no queue is known, and it has prefilled little recently. */
    public boolean isLightlyLoaded(long nowNanos) {
        return load.requests(nowNanos) < load.slots() / 2.0
                && !load.hasQueue(nowNanos)
                && prefillLoad.load(nowNanos) < MAX_LIGHT_PREFILL_LOAD;
    }

    /** Whether it may serve the model: true unless it announces models and this is not one of them. */
    public boolean serves(String model) {
        List<ServedModel> models = announcement.models();
        if (model == null || models == null || models.isEmpty()) {
            return true;
        }
        for (int i = 0; i < models.size(); i++) {
            if (models.get(i).name().equals(model)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the weights version of a model, 0 if it is unknown or {@code model} is null. */
    public long version(String model) {
        return model == null ? 0 : versions.getOrDefault(model, 0L);
    }

    /**
     * Applies a reported weights version, if it is newer than the known one.
     *
     * @return the previous version, 0 if there was none; -1 if the reported one is not newer and was ignored
     */
    public long onVersion(String model, long version, long nowNanos) {
        long before = version(model);
        if (version <= before) {
            return -1;
        }
        if (before > 0) {
            versionIncreasedNanos = nowNanos;
        }
        versions.put(model, version);
        return before;
    }

    /**
     * Returns to the version that the instance announced, if any, because the known version of the model proved wrong.
     */
    public void resetToAnnouncedVersion(String model) {
        versions.remove(model);
        List<ServedModel> models = announcement.models();
        for (int i = 0; models != null && i < models.size(); i++) {
            if (models.get(i).name().equals(model)) {
                versions.put(model, models.get(i).version());
            }
        }
    }
}
