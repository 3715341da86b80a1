package burlarch.router.prefixcache;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.registry.Instance;
import burlarch.engine.KvEventSubscriber;
import burlarch.engine.KvEventSubscriber.Source;
import burlarch.node.NodeRoles;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Subscriptions of this router to engines and stores, as decided by {@link SourceAssignment}. Runs on the event loop;
 * {@link #isShared} may be called on any thread.
 */
public final class SourceSubscriptions {
    private final String nodeName;
    private final KvEventSubscriber subscriber;
    private final PrefixIndexUpdater index;
    private Configuration configuration;
    private Collection<Instance> instances = List.of();
    /** All sources, with the maximum number of concurrent calls of each. */
    private Map<Source, Integer> callLimits = Map.of();

    private int liveRouters = 1;
    /** Names of the other live routers. */
    private Set<String> otherRouters = Set.of();
    /** Sources that one router reads for all routers; the set is replaced, never modified. */
    private volatile Set<String> sharedSources = Set.of();

    /** Creates an empty set of subscriptions; sources are added when a configuration and instances are known. */
    public SourceSubscriptions(String nodeName, KvEventSubscriber subscriber, PrefixIndexUpdater index) {
        this.nodeName = nodeName;
        this.subscriber = subscriber;
        this.index = index;
    }

    /** Called when a configuration is in force. */
    public void onConfiguration(Configuration newer) {
        configuration = newer;
        updateSources();
    }

    /** Called with all known instances. */
    public void onInstances(Collection<Instance> knownInstances) {
        instances = knownInstances;
        updateSources();
    }

    /** Called with the number of live routers, including this one. */
    public void onRouterCount(int newCount) {
        if (newCount != liveRouters) {
            liveRouters = newCount;
            subscribe();
        }
    }

    /** Called with the live members except this one. */
    public void onMembers(Collection<MemberInfo> members) {
        Set<String> routers = new HashSet<>();
        for (MemberInfo member : members) {
            if (member.role().equals(NodeRoles.ROUTER)) {
                routers.add(member.name());
            }
        }
        if (!routers.equals(otherRouters)) {
            boolean anyNew = !otherRouters.containsAll(routers);
            otherRouters = routers;
            subscribe();
            if (anyNew) {
                onUpdatesMissedByOthers();
            }
        }
    }

    /**
     * Called when another router is new or updates sent to other routers may be lost. In both cases snapshots of the
     * shared sources are requested, which contain the missing state.
     */
    public void onUpdatesMissedByOthers() {
        if (!sharedSources.isEmpty()) {
            subscriber.requestSnapshotsSoon();
        }
    }

    /** Whether a single router reads the source for all routers. */
    public boolean isShared(String source) {
        return sharedSources.contains(source);
    }

    /** Renews the subscriptions if the sources have changed; most updates of instances do not change them. */
    private void updateSources() {
        if (configuration == null) {
            return;
        }
        Map<Source, Integer> sourceLimits = findSources();
        if (!sourceLimits.equals(callLimits)) {
            callLimits = sourceLimits;
            subscribe();
        }
    }

    private Map<Source, Integer> findSources() {
        Map<String, Service> services = new HashMap<>();
        Map<Source, Integer> sourceLimits = new HashMap<>();
        for (Service service : configuration.services()) {
            services.put(service.name(), service);
            if (service.kvStore() != null) {
                sourceLimits.put(new Source(service.name(), service.kvStore(), true), service.maxInFlight());
            }
        }
        for (Instance instance : instances) {
            Service service = services.get(instance.service());
            if (service != null && service.engine() != null) {
                sourceLimits.put(
                        new Source(instance.id(), instance.address(), false),
                        service.engine().maxInFlight());
            }
        }
        return sourceLimits;
    }

    private void subscribe() {
        SourceAssignment assignment = new SourceAssignment(nodeName, liveRouters, otherRouters);
        List<Source> ownSources = new ArrayList<>();
        Set<String> newSharedSources = new HashSet<>();
        Set<String> knownSources = new HashSet<>();
        callLimits.forEach((source, callLimit) -> {
            knownSources.add(source.name());
            if (assignment.isShared(callLimit)) {
                newSharedSources.add(source.name());
            }
            if (assignment.isReader(source.name(), callLimit)) {
                ownSources.add(source);
            }
        });
        sharedSources = newSharedSources;
        index.retain(knownSources);
        subscriber.subscribe(ownSources, index::offsetOf);
    }
}
