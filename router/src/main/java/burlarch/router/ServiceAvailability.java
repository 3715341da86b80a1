package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Whether each service has been heard of. After a start of all controllers instances come in one by one. */
final class ServiceAvailability {
    private ServiceAvailability() {}

    /** Whether there is an instance of each service that takes requests. */
    static boolean isWhole(Configuration configuration, Collection<Instance> instances) {
        Set<String> heardOf = new HashSet<>();
        instances.forEach(instance -> heardOf.add(instance.service()));
        for (Service service : configuration.services()) {
            if (service.kvStore() == null && !heardOf.contains(service.name())) {
                return false;
            }
        }
        return true;
    }
}
