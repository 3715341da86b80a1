package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.registry.Instance;
import burlarch.engine.KvEventSubscriber;
import burlarch.engine.KvEventSubscriber.Source;
import burlarch.node.NodeRoles;
import burlarch.router.prefixcache.SourceAssignment;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which engines and stores this router follows, as {@link SourceAssignment} says. Lives on the loop. */
final class SourceSubscriptions {
    private final String nodeName;
    private final KvEventSubscriber follower;
    private final PrefixIndexUpdater feed;
    private Configuration configuration;
    private Collection<Instance> instances = List.of();
    /** How many calls each source holds at once. */
    private Map<Source, Integer> places = Map.of();

    private int routers = 1;
    private Set<String> others = Set.of();
    private volatile Set<String> shared = Set.of();

    SourceSubscriptions(String nodeName, KvEventSubscriber follower, PrefixIndexUpdater feed) {
        this.nodeName = nodeName;
        this.follower = follower;
        this.feed = feed;
    }

    void onConfiguration(Configuration newer) {
        configuration = newer;
        findSources();
    }

    void onInstances(Collection<Instance> known) {
        instances = known;
        findSources();
    }

    void onRouters(int live) {
        if (live != routers) {
            routers = live;
            follow();
        }
    }

    /** The live members without this one. */
    void onMembers(Collection<MemberInfo> members) {
        Set<String> names = new HashSet<>();
        for (MemberInfo member : members) {
            if (member.role().equals(NodeRoles.ROUTER)) {
                names.add(member.name());
            }
        }
        if (!names.equals(others)) {
            boolean more = !others.containsAll(names);
            others = names;
            follow();
            if (more) {
                onOthersBehind();
            }
        }
    }

    /** Another router is new, or news that was under way to others may be lost: lists make up for it. */
    void onOthersBehind() {
        if (!shared.isEmpty()) {
            follower.requestSnapshotsSoon();
        }
    }

    /** Whether one router reads that source for all; from any thread. */
    boolean isShared(String source) {
        return shared.contains(source);
    }

    /** Which sources there are; most news of instances changes nothing here. */
    private void findSources() {
        if (configuration == null) {
            return;
        }
        Map<Source, Integer> found = sources();
        if (!found.equals(places)) {
            places = found;
            follow();
        }
    }

    private Map<Source, Integer> sources() {
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

    private void follow() {
        SourceAssignment owners = new SourceAssignment(nodeName, routers, others);
        List<Source> own = new ArrayList<>();
        Set<String> sharedNow = new HashSet<>();
        Set<String> known = new HashSet<>();
        places.forEach((source, held) -> {
            known.add(source.name());
            if (owners.isShared(held)) {
                sharedNow.add(source.name());
            }
            if (owners.isReader(source.name(), held)) {
                own.add(source);
            }
        });
        shared = sharedNow;
        feed.retain(known);
        follower.subscribe(own, feed::position);
    }
}
