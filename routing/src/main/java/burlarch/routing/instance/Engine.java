package burlarch.routing.instance;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.RendezvousHash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One incarnation of an instance of any service, with all that is known of it. */
public final class Engine {
    private static final double FREE_LOAD = 0.5;

    public final String id;
    public final long idHash;
    public final InstanceHealth health = new InstanceHealth();
    public final EngineSpeed speed;
    public final PrefillLoadEstimate prefillLoad = new PrefillLoadEstimate();
    public final KvTransferSpeed transferSpeed = new KvTransferSpeed();
    public final EngineLoad load;
    private final Map<String, Long> versions = new HashMap<>(2);
    private Instance instance;

    /** @param usual how fast instances of the service are */
    public Engine(Instance instance, EngineSpeed usual) {
        this.speed = new EngineSpeed(usual);
        this.id = instance.id();
        this.idHash = RendezvousHash.hash(id);
        this.load = new EngineLoad(instance.capacity());
        this.instance = instance;
    }

    public Instance instance() {
        return instance;
    }

    public void update(Instance announced) {
        instance = announced;
        if (announced.capacity() > 0) {
            load.setSlots(announced.capacity());
        }
    }

    public boolean isReady() {
        return instance.state() == InstanceState.READY;
    }

    public boolean isWarmingUp() {
        return instance.warmupLeftMillis() > 0;
    }

    /** Whether under half of its places are taken, nothing is known to wait and it has read little. */
    public boolean isFree(long nowNanos) {
        return load.requests(nowNanos) < load.slots() / 2.0
                && !load.hasQueue(nowNanos)
                && prefillLoad.load(nowNanos) < FREE_LOAD;
    }

    /** Whether it may serve the model: unless it names others only. */
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

    /** Weights version of a model, 0 if unknown. */
    public long version(String model) {
        return model == null ? 0 : versions.getOrDefault(model, 0L);
    }

    /** Takes a version in; versions only rise. Returns the one before if this is newer, else -1. */
    public long onVersion(String model, long version) {
        long before = version(model);
        if (version <= before) {
            return -1;
        }
        versions.put(model, version);
        return before;
    }

    /** What was believed of the weights was wrong: back to what the instance announced. */
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
