package burlarch.router.lifecycle;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Whether each service has instances: after a start of all controllers they register one by one. */
final class ServiceAvailability {
    private ServiceAvailability() {}

    /** Whether each service that takes requests has an instance; stores of KV caches take none. */
    static boolean hasInstanceOfEachService(Configuration configuration, Collection<Instance> instances) {
        Set<String> available = new HashSet<>();
        instances.forEach(instance -> available.add(instance.service()));
        for (Service service : configuration.services()) {
            if (service.kvStore() == null && !available.contains(service.name())) {
                return false;
            }
        }
        return true;
    }
}
