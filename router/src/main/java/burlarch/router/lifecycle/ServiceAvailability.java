package burlarch.router.lifecycle;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Check whether each service has an instance. After all controllers start, instances register one by one. */
final class ServiceAvailability {
    private ServiceAvailability() {}

    /** Whether each service that accepts requests has an instance; KV-cache stores accept none. */
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
