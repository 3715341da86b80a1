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
 * What a router holds of the instances, combined from what the registries of several controllers state.
 *
 * <ol>
 * <li>An instance that said that it leaves has left, whoever told so and whatever others state.</li>
 * <li>One that said that it drains never takes requests again.</li>
 * <li>One that some controller hears is live. That another lost it to silence is the statement of one
 * observer, at whatever sequence: mere heartbeats are not told to routers, so that sequences of different
 * controllers don't tell who heard it last. Not so where the one that lost it hears another instance at its
 * address: that one has taken its place.</li>
 * <li>One that nobody hears is lost where some controller states so; the others are those that couldn't hear
 * it ({@link InstanceState#UNHEARD}) and those that don't know it, as after a restart.</li>
 * <li>Else it stays as it was.</li>
 * </ol>
 *
 * <p>Content comes from the newest announcement. Bounded by {@link #MAX_INSTANCES}. Not safe for use by
 * threads at the same time.
 */
public final class MergedInstanceView {
    /** Instances beyond this number are passed over. */
    public static final int MAX_INSTANCES = 8_192;

    private final Map<String, Map<String, Instance>> viewsByController = new HashMap<>();
    private final Map<String, Instance> merged = new HashMap<>();
    /** Ids that never come back, in the order in which they left; the oldest give way to further ones. */
    private final Set<String> left = new LinkedHashSet<>();
    /** Ids that never take requests again, in the order in which they began to drain; bounded alike. */
    private final Set<String> draining = new LinkedHashSet<>();

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

    /** A controller is no longer connected: its marks of loading end, what it announced stays. */
    public void onControllerLost(String controller) {
        Map<String, Instance> view = viewsByController.remove(controller);
        if (view != null) {
            view.keySet().forEach(this::merge);
        }
    }

    private void merge(String id) {
        Instance held = merged.get(id);
        Instance heard = null;
        Instance unheard = null;
        boolean lost = false;
        for (Map<String, Instance> view : viewsByController.values()) {
            Instance stated = view.get(id);
            if (stated == null) {
                continue;
            }
            switch (stated.state()) {
                case GONE -> lost = true;
                case UNHEARD -> unheard = newer(stated, unheard);
                default -> heard = newer(stated, heard);
            }
        }
        if (left.contains(id) || lost && (heard == null || isReplaced(id))) {
            merged.remove(id);
        } else if (heard != null) {
            put(newer(heard, held));
        } else if (held != null || unheard != null) {
            put(held != null ? held : unheard);
        }
    }

    /** Whether a controller that lost the instance holds another live at its address. */
    private boolean isReplaced(String id) {
        for (Map<String, Instance> view : viewsByController.values()) {
            Instance stated = view.get(id);
            if (stated != null
                    && stated.state() == InstanceState.GONE
                    && view.values().stream()
                            .anyMatch(other -> other.state() != InstanceState.GONE
                                    && other.address().equals(stated.address()))) {
                return true;
            }
        }
        return false;
    }

    /** Of equal announcements the first. */
    private static Instance newer(Instance one, Instance other) {
        return other == null || one.sequence() >= other.sequence() ? one : other;
    }

    private void put(Instance newest) {
        String id = newest.id();
        if (merged.containsKey(id) || merged.size() < MAX_INSTANCES) {
            merged.put(id, withState(newest, state(newest)));
        }
    }

    private InstanceState state(Instance newest) {
        if (draining.contains(newest.id())) {
            return InstanceState.DRAINING;
        }
        return isLoading(newest) ? InstanceState.LOADING : InstanceState.READY;
    }

    /** A mark by a controller that has not heard of weights that another heard of is over. */
    private boolean isLoading(Instance newest) {
        for (Map<String, Instance> view : viewsByController.values()) {
            Instance instance = view.get(newest.id());
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

    private static Instance withState(Instance instance, InstanceState state) {
        return new Instance(
                instance.id(),
                instance.service(),
                instance.address(),
                instance.zone(),
                instance.softwareVersion(),
                instance.capacity(),
                state,
                instance.warmupLeftMillis(),
                instance.models(),
                instance.sequence());
    }

    /** All that are not gone. */
    public List<Instance> instances() {
        return new ArrayList<>(merged.values());
    }
}
