package burlarch.routing.instance;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.RendezvousHash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One incarnation of an instance, a model engine or a plain server, as this router sees it: what it last
 * announced, and the estimates that the router has made of it.
 *
 * <p>Invariant <em>clean source</em>: an engine that was seen to load other weights is no source of KV transfers until
 * its newer version is known ({@link #holdsCleanCache}). Requests that it retained while it loaded have computed a
 * part of their prompts under the new weights, but cached it under the old salt.
 *
 * <p>Invariant <em>versions only rise</em>: the weights version of a model never decreases by what responses
 * say, which may arrive late; only {@link #distrustVersion} returns to what the instance announced.
 */
public final class Engine {
    private static final double FREE_PREFILL_LOAD = 0.5;
    /**
     * The mark of loading ends so much later than the new version is announced, at most: by then it says nothing of a
     * further load.
     */
    private static final long MARK_LAG_NANOS = 1_000_000_000L;

    /** Heartbeats and responses tell the version that was loaded well within this time after the load. */
    private static final long LOADING_MEMORY_NANOS = 3_000_000_000L;

    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

    private final String id;
    private final long idHash;
    private final InstanceHealth health = new InstanceHealth();
    private final EngineSpeed speed;
    private final EngineLoad load;
    private final PrefillLoadEstimate prefillLoad = new PrefillLoadEstimate();
    private final KvTransferSpeed transferSpeed = new KvTransferSpeed();
    private final Map<String, Long> versions = new HashMap<>(2);
    /** The version of each model that the engine had when it was last seen to load others. */
    private final Map<String, Long> versionsWhenLoading = new HashMap<>(2);

    private long versionRoseNanos = NEVER_NANOS;
    private long lastLoadingNanos = NEVER_NANOS;
    private Instance instance;
    private int subsetDistance;

    /** @param serviceAverage speed of the instances of its service, used until its own is known */
    public Engine(Instance instance, EngineSpeed serviceAverage) {
        this.speed = new EngineSpeed(serviceAverage);
        this.id = instance.id();
        this.idHash = RendezvousHash.hash(id);
        this.load = new EngineLoad(instance.capacity());
        this.instance = instance;
    }

    /** The instance's id. */
    public String id() {
        return id;
    }

    /** The {@link RendezvousHash#hash} of the id. */
    public long idHash() {
        return idHash;
    }

    /** Whether it may receive requests, by how attempts there ended. */
    public InstanceHealth health() {
        return health;
    }

    /** How fast it prefills and responds. */
    public EngineSpeed speed() {
        return speed;
    }

    /** Its running and waiting requests. */
    public EngineLoad load() {
        return load;
    }

    /** How busy it is with prefilling, by its prefix-cache events. */
    public PrefillLoadEstimate prefillLoad() {
        return prefillLoad;
    }

    /** How fast KV transfers to it are. */
    public KvTransferSpeed transferSpeed() {
        return transferSpeed;
    }

    /** Its last announcement. */
    public Instance instance() {
        return instance;
    }

    /** Applies a new announcement of the same instance. */
    public void update(Instance announced, long nowNanos) {
        if (isLoading() || announced.state() == InstanceState.LOADING) {
            lastLoadingNanos = nowNanos;
        }
        instance = announced;
        if (announced.capacity() > 0) {
            load.setSlots(announced.capacity());
        }
        if (isLoading() && nowNanos - versionRoseNanos >= MARK_LAG_NANOS && announced.models() != null) {
            for (ServedModel model : announced.models()) {
                long known = version(model.name());
                versionsWhenLoading.put(model.name(), known > 0 ? known : model.version());
            }
        }
    }

    private boolean isLoading() {
        return instance.state() == InstanceState.LOADING;
    }

    /**
     * The version of the model's weights that it had when it was seen to load others; 0 if it was not seen to, or so
     * long ago that the newer version would be known by now: then the mark of loading led to nothing, or it was the
     * new version already that was seen with it.
     */
    public long versionWhenLoading(String model, long nowNanos) {
        boolean recent = isLoading() || nowNanos - lastLoadingNanos < LOADING_MEMORY_NANOS;
        return recent ? versionsWhenLoading.getOrDefault(model, 0L) : 0;
    }

    /** Whether all that it caches of the model under its known version's salt was computed under that version. */
    public boolean holdsCleanCache(String model, long nowNanos) {
        return !isLoading() && version(model) > versionWhenLoading(model, nowNanos);
    }

    /** How many subsets lie between the own one of this router and that of the engine; 0 for the own subset. */
    public int subsetDistance() {
        return subsetDistance;
    }

    /** Sets the {@link #subsetDistance()}. */
    public void setSubsetDistance(int subsets) {
        subsetDistance = subsets;
    }

    /** Whether it announced that it accepts requests. */
    public boolean isReady() {
        return instance.state() == InstanceState.READY;
    }

    /** Whether it is ready but still slower than usual. */
    public boolean isWarmingUp() {
        return instance.warmupLeftMillis() > 0;
    }

    /** Whether under half of its slots are in use, no queue is known, and it has prefilled little lately. */
    public boolean isFree(long nowNanos) {
        return load.requests(nowNanos) < load.slots() / 2.0
                && !load.hasQueue(nowNanos)
                && prefillLoad.load(nowNanos) < FREE_PREFILL_LOAD;
    }

    /** Whether it may serve the model: it does unless it announces models and this is not one of them. */
    public boolean serves(String model) {
        List<ServedModel> models = instance.models();
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

    /** Weights version of a model, 0 if unknown or if {@code model} is null. */
    public long version(String model) {
        return model == null ? 0 : versions.getOrDefault(model, 0L);
    }

    /**
     * Applies a reported weights version.
     *
     * @return the version before, 0 if there was none; -1 if the reported one is not newer and was ignored
     */
    public long onVersion(String model, long version, long nowNanos) {
        long before = version(model);
        if (version <= before) {
            return -1;
        }
        if (before > 0) {
            versionRoseNanos = nowNanos;
        }
        versions.put(model, version);
        return before;
    }

    /** The known version of the model proved wrong: returns to the one that the instance announced, if any. */
    public void distrustVersion(String model) {
        versions.remove(model);
        List<ServedModel> models = instance.models();
        for (int i = 0; models != null && i < models.size(); i++) {
            if (models.get(i).name().equals(model)) {
                versions.put(model, models.get(i).version());
            }
        }
    }
}
