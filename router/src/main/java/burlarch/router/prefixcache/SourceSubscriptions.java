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
 * The engines and stores to which this router subscribes, as {@link SourceAssignment} decides. Runs on the
 * event loop; {@link #isShared} may be called on any thread.
 */
public final class SourceSubscriptions {
    private final String nodeName;
    private final KvEventSubscriber subscriber;
    private final PrefixIndexUpdater index;
    private Configuration configuration;
    private Collection<Instance> instances = List.of();
    /** All sources, and how many calls each of them holds at once. */
    private Map<Source, Integer> callLimits = Map.of();

    private int liveRouters = 1;
    /** Names of the other live routers. */
    private Set<String> otherRouters = Set.of();
    /** Sources that one router reads for all; replaced, never changed. */
    private volatile Set<String> sharedSources = Set.of();

    /** Subscribes to nothing until a configuration and instances are known. */
    public SourceSubscriptions(String nodeName, KvEventSubscriber subscriber, PrefixIndexUpdater index) {
        this.nodeName = nodeName;
        this.subscriber = subscriber;
        this.index = index;
    }

    /** A configuration is in force. */
    public void onConfiguration(Configuration newer) {
        configuration = newer;
        updateSources();
    }

    /** All instances that are known now. */
    public void onInstances(Collection<Instance> known) {
        instances = known;
        updateSources();
    }

    /** The number of live routers, this one included. */
    public void onRouterCount(int live) {
        if (live != liveRouters) {
            liveRouters = live;
            subscribe();
        }
    }

    /** The live members without this one. */
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
     * Another router is new, or updates on their way to others may be lost. Snapshots of the shared sources
     * make up for both.
     */
    public void onUpdatesMissedByOthers() {
        if (!sharedSources.isEmpty()) {
            subscriber.requestSnapshotsSoon();
        }
    }

    /** Whether one router reads that source for all. */
    public boolean isShared(String source) {
        return sharedSources.contains(source);
    }

    /** Subscribes anew if there are other sources; most updates of instances change none. */
    private void updateSources() {
        if (configuration == null) {
            return;
        }
        Map<Source, Integer> found = findSources();
        if (!found.equals(callLimits)) {
            callLimits = found;
            subscribe();
        }
    }

    private Map<Source, Integer> findSources() {
        Map<String, Service> services = new HashMap<>();
        Map<Source, Integer> found = new HashMap<>();
        for (Service service : configuration.services()) {
            services.put(service.name(), service);
            if (service.kvStore() != null) {
                found.put(new Source(service.name(), service.kvStore(), true), service.maxInFlight());
            }
        }
        for (Instance instance : instances) {
            Service service = services.get(instance.service());
            if (service != null && service.engine() != null) {
                found.put(
                        new Source(instance.id(), instance.address(), false),
                        service.engine().maxInFlight());
            }
        }
        return found;
    }

    private void subscribe() {
        SourceAssignment assignment = new SourceAssignment(nodeName, liveRouters, otherRouters);
        List<Source> own = new ArrayList<>();
        Set<String> shared = new HashSet<>();
        Set<String> known = new HashSet<>();
        callLimits.forEach((source, callLimit) -> {
            known.add(source.name());
            if (assignment.isShared(callLimit)) {
                shared.add(source.name());
            }
            if (assignment.isReader(source.name(), callLimit)) {
                own.add(source);
            }
        });
        sharedSources = shared;
        index.retain(known);
        subscriber.subscribe(own, index::offsetOf);
    }
}
