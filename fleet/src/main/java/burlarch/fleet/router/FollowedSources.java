package burlarch.fleet.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.ownership.ShardOwners;
import burlarch.coordination.registry.Instance;
import burlarch.fleet.engine.EventFollower;
import burlarch.fleet.engine.EventFollower.Source;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which engines and stores this router follows. Each of them holds few calls at once: where there are more
 * routers than it may hold calls, each router follows a part, chosen so that every source has about as many
 * followers as it bears. Lives on the loop.
 */
final class FollowedSources {
    /**
     * Places at a source that are left to others, and to calls that have not ended yet when the next one
     * begins.
     */
    private static final int PLACES_LEFT = 2;

    private final String nodeName;
    private final EventFollower follower;
    private Configuration configuration;
    private Collection<Instance> instances = List.of();
    private int routers = 1;

    FollowedSources(String nodeName, EventFollower follower) {
        this.nodeName = nodeName;
        this.follower = follower;
    }

    void onConfiguration(Configuration newer) {
        configuration = newer;
        follow();
    }

    void onInstances(Collection<Instance> known) {
        instances = known;
        follow();
    }

    void onRouters(int live) {
        if (live != routers) {
            routers = live;
            follow();
        }
    }

    private void follow() {
        if (configuration == null) {
            return;
        }
        Map<String, Service> services = new HashMap<>();
        List<Source> sources = new ArrayList<>();
        for (Service service : configuration.services()) {
            services.put(service.name(), service);
            if (service.kvStore() != null && mayFollow(service.name(), service.maxInFlight())) {
                sources.add(new Source(service.name(), service.kvStore(), true));
            }
        }
        for (Instance instance : instances) {
            Service service = services.get(instance.service());
            if (service != null && service.engine() != null
                    && mayFollow(instance.id(), service.engine().maxInFlight())) {
                sources.add(new Source(instance.id(), instance.address(), false));
            }
        }
        follower.follow(sources);
    }

    private boolean mayFollow(String source, int places) {
        int followers = Math.max(1, places - PLACES_LEFT);
        if (routers <= followers) {
            return true;
        }
        double part = (double) followers / routers;
        return ShardOwners.unit(nodeName, source) < part;
    }
}
