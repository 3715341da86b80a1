package burlarch.coordination.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a router holds of the instances, from the registries of several controllers. The newest announcement
 * of an id wins. A controller that knows nothing of an instance, as after its restart, takes nothing away;
 * one that counts an instance as lost to silence is believed once no other connected controller holds it
 * live. Bounded by {@link #MOST_INSTANCES}.
 */
public final class InstanceViews {
    /** Instances beyond this number are passed over. */
    public static final int MOST_INSTANCES = 8_192;

    private final Map<String, Map<String, Instance>> viewsByController = new HashMap<>();
    private final Map<String, Instance> combined = new HashMap<>();

    /**
     * Takes an update of one controller.
     *
     * @param whole whether it replaces all that this controller told before
     */
    public void onUpdate(String controller, boolean whole, Collection<Instance> instances) {
        Map<String, Instance> view = viewsByController.computeIfAbsent(controller, key -> new HashMap<>());
        Set<String> touched = new HashSet<>();
        if (whole) {
            touched.addAll(view.keySet());
            view.clear();
        }
        for (Instance instance : instances) {
            touched.add(instance.id());
            view.put(instance.id(), instance);
        }
        touched.forEach(this::combine);
    }

    /** A controller is no longer connected: its marks of loading end, what it announced stays. */
    public void onControllerLost(String controller) {
        Map<String, Instance> view = viewsByController.remove(controller);
        if (view != null) {
            view.keySet().forEach(this::combine);
        }
    }

    private void combine(String id) {
        Instance newest = null;
        boolean live = false;
        for (Map<String, Instance> view : viewsByController.values()) {
            Instance instance = view.get(id);
            if (instance == null) {
                continue;
            }
            live |= instance.state() != InstanceState.GONE;
            if (newest == null || isNewer(instance, newest)) {
                newest = instance;
            }
        }
        if (newest != null) {
            put(newest, isLoading(newest), live);
        } else if (combined.containsKey(id) && combined.get(id).state() == InstanceState.LOADING) {
            combined.put(id, withState(combined.get(id), InstanceState.READY));
        }
    }

    /** A mark by a controller that has not heard of weights that another heard of is over. */
    private boolean isLoading(Instance newest) {
        for (Map<String, Instance> view : viewsByController.values()) {
            Instance instance = view.get(newest.id());
            if (instance != null && instance.state() == InstanceState.LOADING
                    && !hasNewerWeights(newest, instance)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasNewerWeights(Instance instance, Instance than) {
        for (Instance.ServedModel served : instance.models()) {
            for (Instance.ServedModel before : than.models()) {
                if (served.name().equals(before.name()) && served.version() > before.version()) {
                    return true;
                }
            }
        }
        return false;
    }

    private void put(Instance newest, boolean loading, boolean live) {
        boolean left = newest.sequence() == InstanceRegistry.LEFT;
        if (newest.state() == InstanceState.GONE && (left || !live)) {
            combined.remove(newest.id());
            return;
        }
        if (!combined.containsKey(newest.id()) && combined.size() >= MOST_INSTANCES) {
            return;
        }
        boolean draining = newest.state() == InstanceState.DRAINING;
        combined.put(newest.id(), loading && !draining ? withState(newest, InstanceState.LOADING) : newest);
    }

    /** Of equal announcements one that is live goes before one that was lost to silence. */
    private static boolean isNewer(Instance instance, Instance than) {
        if (instance.sequence() != than.sequence()) {
            return instance.sequence() > than.sequence();
        }
        return than.state() == InstanceState.GONE && instance.state() != InstanceState.GONE;
    }

    private static Instance withState(Instance instance, InstanceState state) {
        return new Instance(instance.id(), instance.service(), instance.address(), instance.zone(),
                instance.softwareVersion(), instance.capacity(), state, instance.warmupLeftMillis(),
                instance.models(), instance.sequence());
    }

    /** All that are not gone. */
    public List<Instance> instances() {
        return new ArrayList<>(combined.values());
    }
}
