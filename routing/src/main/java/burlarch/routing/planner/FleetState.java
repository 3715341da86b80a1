package burlarch.routing.planner;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.routing.CacheSalt;
import burlarch.routing.KvEvents;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouterPosition;
import burlarch.routing.admission.CacheMissAdmission;
import burlarch.routing.admission.RetryBudget;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.TrackedInstance;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The services and instances that a planner knows, by configuration, announcements and responses. The sources of the
 * prefix-cache index are always the known engines and stores.
 *
 * <p>Invariant <em>one object per instance</em>: a {@link TrackedInstance} exists as long as its instance id is known,
 * across configurations and announcements, so that attempts in flight and their estimates refer to one object.
 */
final class FleetState {
    /** Cache misses that one engine is assumed to prefill in a second, until a rate has been learned. */
    private static final double INITIAL_MISSES_PER_ENGINE_SECOND = 10;

    private final PlannerSettings settings;
    private final PrefixCacheIndex index;
    private final KvTransferPlanner transfers;
    private final InstanceSubsets subsets;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, TrackedInstance> trackedInstances = new HashMap<>();
    private Collection<Instance> announcedInstances = List.of();
    private int liveRouters = 1;

    FleetState(PlannerSettings settings, PrefixCacheIndex index, KvTransferPlanner transfers) {
        this.settings = settings;
        this.index = index;
        this.transfers = transfers;
        this.subsets = new InstanceSubsets(settings);
    }

    /** Returns the service of that name, null if it is not configured or is a store. */
    ServiceState service(String name) {
        return services.get(name);
    }

    /** Returns the number of live routers, at least 1. */
    int liveRouters() {
        return liveRouters;
    }

    void onConfiguration(Configuration configuration, long nowNanos) {
        Set<String> configuredNames = new HashSet<>();
        for (Service service : configuration.services()) {
            if (service.kvStore() == null) {
                configuredNames.add(service.name());
                configure(service, configuration, nowNanos);
            }
        }
        services.keySet().retainAll(configuredNames);
        transfers.configure(configuration.services());
        onInstances(announcedInstances, nowNanos);
    }

    private void configure(Service service, Configuration configuration, long nowNanos) {
        ServiceState state = services.get(service.name());
        if (state == null) {
            state = new ServiceState(service, newBudget(nowNanos), new CacheMissAdmission());
            services.put(service.name(), state);
        }
        state.update(service);
        double initialPerSecond =
                INITIAL_MISSES_PER_ENGINE_SECOND * Math.max(1, state.instances().size());
        state.admission().configure(configuration.tenants(), initialPerSecond, liveRouters);
    }

    private RetryBudget newBudget(long nowNanos) {
        RetryBudget budget =
                new RetryBudget(settings.retryBudget(), settings.budgetWindowSeconds(), settings.budgetSlack());
        budget.onLiveRouters(liveRouters, nowNanos);
        return budget;
    }

    void onInstances(Collection<Instance> known, long nowNanos) {
        announcedInstances = List.copyOf(known);
        for (ServiceState service : services.values()) {
            service.instances().clear();
        }
        Set<String> sources = new HashSet<>();
        for (Instance instance : announcedInstances) {
            sources.add(instance.id());
            onInstance(instance, nowNanos);
        }
        assignSubsets();
        trackedInstances.keySet().retainAll(sources);
        sources.addAll(transfers.storeNames());
        index.retainSources(sources);
    }

    private void onInstance(Instance instance, long nowNanos) {
        ServiceState service = services.get(instance.service());
        TrackedInstance trackedInstance = trackedInstances.computeIfAbsent(
                instance.id(), id -> new TrackedInstance(instance, service == null ? null : service.speed()));
        trackedInstance.update(instance, nowNanos);
        if (service != null) {
            service.instances().add(trackedInstance);
            if (service.isModelService()) {
                index.addSource(trackedInstance.id(), service.kvCapacity());
            }
        }
        for (ServedModel model : instance.models() == null ? List.<ServedModel>of() : instance.models()) {
            onVersion(trackedInstance, model.name(), model.version(), nowNanos);
        }
    }

    void onRouterPosition(RouterPosition position) {
        subsets.onPosition(position);
        assignSubsets();
    }

    private void assignSubsets() {
        for (ServiceState service : services.values()) {
            subsets.assign(service.instances());
        }
    }

    void onLiveRouters(int live, long nowNanos) {
        liveRouters = Math.max(1, live);
        for (ServiceState service : services.values()) {
            service.budget().onLiveRouters(liveRouters, nowNanos);
            service.admission().onLiveRouters(liveRouters);
        }
    }

    void onKvEvents(KvEvents events, long nowNanos) {
        transfers.onEventsReceived(events.source());
        long prefilledTokens = index.onEvents(events, nowNanos);
        TrackedInstance trackedInstance = trackedInstances.get(events.source());
        if (trackedInstance != null && prefilledTokens > 0) {
            trackedInstance.prefillLoad().onPrefilled(trackedInstance.speed().prefillNanos(prefilledTokens), nowNanos);
        }
    }

    void onKvList(KvEvents list, long nowNanos) {
        transfers.onEventsReceived(list.source());
        index.onFullList(list, nowNanos);
    }

    void onWeightsVersion(String instance, String model, long version, long nowNanos) {
        TrackedInstance trackedInstance = trackedInstances.get(instance);
        if (trackedInstance != null && model != null) {
            onVersion(trackedInstance, model, version, nowNanos);
        }
    }

    private void onVersion(TrackedInstance trackedInstance, String model, long version, long nowNanos) {
        long previousVersion = trackedInstance.onVersion(model, version, nowNanos);
        if (previousVersion > 0) {
            // An engine that loads new weights discards its cache entries of the old ones.
            index.forgetVersion(trackedInstance.id(), CacheSalt.of(model, previousVersion, null, trackedInstance.id()));
        }
        ServiceState service = services.get(trackedInstance.announcement().service());
        if (service != null) {
            service.onVersion(model, version, nowNanos);
        }
    }
}
