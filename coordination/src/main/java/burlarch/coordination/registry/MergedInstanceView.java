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
 * A router's view of the instances, merged from what the registries of several controllers publish.
 *
 * <p>Invariants, of which the first that applies decides:
 *
 * <ol>
 *   <li><em>Final leave</em>: an instance that announced that it leaves is gone, whichever controller published that
 *       and whatever others publish.
 *   <li><em>Permanent drain</em>: an instance that announced that it drains is never READY again.
 *   <li><em>One observer's loss</em>: an instance that some controller hears is live. That another controller lost it
 *       to missing heartbeats is the view of one observer, at whatever sequence: mere heartbeats are not published,
 *       so sequences of different controllers do not show which one heard it last. Exception: the controller that
 *       lost it hears another instance at its address, which has replaced it.
 *   <li>An instance that no controller hears is lost if some controller publishes it as lost. The other controllers
 *       are those that could not hear it ({@link InstanceState#UNHEARD}) and those that do not know it, as after a
 *       restart.
 *   <li>Otherwise it stays as it was.
 * </ol>
 *
 * <p>The content of an instance is that of its newest announcement. Bounded by {@link #MAX_INSTANCES}; instances
 * beyond it are ignored. Not thread-safe.
 */
public final class MergedInstanceView {
    /** Largest number of instances in the view. */
    public static final int MAX_INSTANCES = 8_192;

    /** What each connected controller publishes, by the controller's name, then by the instance's id. */
    private final Map<String, Map<String, Instance>> publishedByController = new HashMap<>();

    private final Map<String, Instance> merged = new HashMap<>();
    /**
     * Ids of instances that left, in that order. They are kept when the controller that published them disconnects;
     * at the bound the oldest is evicted.
     */
    private final Set<String> left = new LinkedHashSet<>();
    /** Ids of instances that drain or drained, kept and bounded in the same way. */
    private final Set<String> draining = new LinkedHashSet<>();

    /** Applies a snapshot of a controller; what is absent from it the controller no longer knows. */
    public void onSnapshot(String controller, Collection<Instance> instances) {
        Map<String, Instance> published = publishedBy(controller);
        Set<String> affectedIds = new HashSet<>();
        affectedIds.addAll(published.keySet());
        published.clear();
        apply(published, instances, affectedIds);
    }

    /** Applies the changes that a controller published. */
    public void onChanges(String controller, Collection<Instance> instances) {
        apply(publishedBy(controller), instances, new HashSet<>());
    }

    /** Removes what a disconnected controller published: its loading states end, its instances stay. */
    public void onControllerLost(String controller) {
        Map<String, Instance> published = publishedByController.remove(controller);
        if (published != null) {
            published.keySet().forEach(this::merge);
        }
    }

    /** Returns the instances that are not gone, in no order. */
    public List<Instance> instances() {
        return new ArrayList<>(merged.values());
    }

    private Map<String, Instance> publishedBy(String controller) {
        return publishedByController.computeIfAbsent(controller, key -> new HashMap<>());
    }

    private void apply(Map<String, Instance> published, Collection<Instance> instances, Set<String> affectedIds) {
        for (Instance instance : instances) {
            affectedIds.add(instance.id());
            published.put(instance.id(), instance);
            rememberFinalState(instance);
        }
        affectedIds.forEach(this::merge);
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
        Instance current = merged.get(id);
        Instance heard = null;
        Instance unheard = null;
        boolean lost = false;
        for (Map<String, Instance> published : publishedByController.values()) {
            Instance instance = published.get(id);
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
            put(newer(heard, current));
        } else if (current != null) {
            put(current);
        } else if (unheard != null) {
            put(unheard);
        }
    }

    /** Returns whether a controller that lost the instance publishes another live one at its address. */
    private boolean isReplaced(String id) {
        for (Map<String, Instance> published : publishedByController.values()) {
            Instance instance = published.get(id);
            if (instance != null
                    && instance.state() == InstanceState.GONE
                    && hasOtherLiveAt(published, instance.address())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasOtherLiveAt(Map<String, Instance> published, String address) {
        for (Instance other : published.values()) {
            if (other.state() != InstanceState.GONE && other.address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the instance with the higher sequence; the first one if both are equal. */
    private static Instance newer(Instance first, Instance other) {
        return other == null || first.sequence() >= other.sequence() ? first : other;
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

    /**
     * Returns whether a controller publishes the instance as loading and no other controller has heard of newer
     * weights since.
     */
    private boolean isLoading(Instance newest) {
        for (Map<String, Instance> published : publishedByController.values()) {
            Instance instance = published.get(newest.id());
            if (instance != null && instance.state() == InstanceState.LOADING && !hasNewerWeights(newest, instance)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasNewerWeights(Instance instance, Instance reference) {
        for (Instance.ServedModel served : instance.models()) {
            for (Instance.ServedModel before : reference.models()) {
                if (served.name().equals(before.name()) && served.version() > before.version()) {
                    return true;
                }
            }
        }
        return false;
    }
}
