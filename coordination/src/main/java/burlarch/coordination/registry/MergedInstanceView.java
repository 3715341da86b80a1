package burlarch.coordination.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A router's view of the instances, merged from what the registries of several controllers state.
 *
 * <p>Invariants, the first that applies decides:
 *
 * <ol>
 *   <li><em>Final leave</em>: an instance that said that it leaves is gone, whichever controller told of it and
 * whatever
 *       others state.
 *   <li><em>Permanent drain</em>: one that said that it drains is never READY again.
 *   <li><em>One observer's loss</em>: one that some controller hears is live. That another controller lost it to
 * missing
 *       heartbeats is the statement of one observer, at whatever sequence: routers aren't told of mere heartbeats, so
 *       sequences of different controllers don't tell who heard it last. The exception: the controller that lost it
 * hears
 *       another instance at its address, which has replaced it.
 *   <li>One that nobody hears is lost if some controller states so. The others are those that could not hear it
 *       ({@link InstanceState#UNHEARD}) and those that don't know it, as after a restart.
 *   <li>Else it stays as it was.
 * </ol>
 *
 * <p>Content is that of the newest announcement. Bounded by {@link #MAX_INSTANCES}; instances beyond it are ignored.
 * Not thread-safe.
 */
public final class MergedInstanceView {
    /** Most instances in the view. */
    public static final int MAX_INSTANCES = 8_192;

    /** What each connected controller states, by its name, then by the instance's id. */
    private final Map<String, Map<String, Instance>> statedByController = new HashMap<>();

    private final Map<String, Instance> merged = new HashMap<>();
    /** Ids of instances that left, in that order. They outlive the controller that told; the oldest give way. */
    private final Set<String> left = new LinkedHashSet<>();
    /** Ids of instances that drain or did, alike. */
    private final Set<String> draining = new LinkedHashSet<>();

    /** A controller states all that it knows; what is absent it knows no longer. */
    public void onSnapshot(String controller, Collection<Instance> instances) {
        Map<String, Instance> stated = statedBy(controller);
        Set<String> touched = new HashSet<>();
        touched.addAll(stated.keySet());
        stated.clear();
        apply(stated, instances, touched);
    }

    /** A controller states what changed. */
    public void onChanges(String controller, Collection<Instance> instances) {
        apply(statedBy(controller), instances, new HashSet<>());
    }

    /** A controller is disconnected: what it stated of loading ends, the instances that it announced stay. */
    public void onControllerLost(String controller) {
        Map<String, Instance> stated = statedByController.remove(controller);
        if (stated != null) {
            stated.keySet().forEach(this::merge);
        }
    }

    /** The instances that are not gone, in no order. */
    public List<Instance> instances() {
        return new ArrayList<>(merged.values());
    }

    private Map<String, Instance> statedBy(String controller) {
        return statedByController.computeIfAbsent(controller, key -> new HashMap<>());
    }

    private void apply(Map<String, Instance> stated, Collection<Instance> instances, Set<String> touched) {
        for (Instance instance : instances) {
            touched.add(instance.id());
            stated.put(instance.id(), instance);
            rememberFinalState(instance);
        }
        touched.forEach(this::merge);
    }

    private void rememberFinalState(Instance instance) {
        if (instance.sequence() == InstanceRegistry.LEFT_SEQUENCE) {
            remember(left, instance.id());
        } else if (instance.state() == InstanceState.DRAINING) {
            remember(draining, instance.id());
        }
    }

    private static void remember(Set<String> ids, String id) {
        if (ids.add(id) && ids.size() > MAX_INSTANCES) {
            Iterator<String> oldestFirst = ids.iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    private void merge(String id) {
        Instance present = merged.get(id);
        Instance heard = null;
        Instance unheard = null;
        boolean lost = false;
        for (Map<String, Instance> stated : statedByController.values()) {
            Instance instance = stated.get(id);
            if (instance == null) {
                continue;
            }
            switch (instance.state()) {
                case GONE -> lost = true;
                case UNHEARD -> unheard = newer(instance, unheard);
                default -> heard = newer(instance, heard);
            }
        }
        if (left.contains(id) || lost && (heard == null || isReplaced(id))) {
            merged.remove(id);
        } else if (heard != null) {
            put(newer(heard, present));
        } else if (present != null) {
            put(present);
        } else if (unheard != null) {
            put(unheard);
        }
    }

    /** Whether a controller that lost the instance states another live one at its address. */
    private boolean isReplaced(String id) {
        for (Map<String, Instance> stated : statedByController.values()) {
            Instance instance = stated.get(id);
            if (instance != null
                    && instance.state() == InstanceState.GONE
                    && hasOtherLiveAt(stated, instance.address())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasOtherLiveAt(Map<String, Instance> stated, String address) {
        for (Instance other : stated.values()) {
            if (other.state() != InstanceState.GONE && other.address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** The one of the higher sequence; of equal ones the first. */
    private static Instance newer(Instance one, Instance other) {
        return other == null || one.sequence() >= other.sequence() ? one : other;
    }

    private void put(Instance newest) {
        String id = newest.id();
        if (merged.containsKey(id) || merged.size() < MAX_INSTANCES) {
            merged.put(id, newest.withState(stateOf(newest)));
        }
    }

    private InstanceState stateOf(Instance newest) {
        if (draining.contains(newest.id())) {
            return InstanceState.DRAINING;
        }
        return isLoading(newest) ? InstanceState.LOADING : InstanceState.READY;
    }

    /** A controller's statement of loading counts unless another controller heard of newer weights since. */
    private boolean isLoading(Instance newest) {
        for (Map<String, Instance> stated : statedByController.values()) {
            Instance instance = stated.get(newest.id());
            if (instance != null && instance.state() == InstanceState.LOADING && !hasNewerWeights(newest, instance)) {
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
}
