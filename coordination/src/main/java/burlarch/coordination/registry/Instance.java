package burlarch.coordination.registry;

import java.util.List;
import java.util.Objects;

/**
 * One running server of a service, as it announced itself.
 *
 * @param id of this incarnation; every start of a server has a new one, and none is used again
 * @param service name of its service
 * @param address IP:PORT
 * @param zone the failure domain in which it runs
 * @param softwareVersion version of its software, not of weights
 * @param capacity requests that it processes at the same time
 * @param state its lifecycle state
 * @param warmupLeftMillis how much longer it is warming up
 * @param models the models that it serves; empty for plain services
 * @param sequence rises with each announcement of this incarnation
 */
public record Instance(
        String id,
        String service,
        String address,
        String zone,
        String softwareVersion,
        int capacity,
        InstanceState state,
        long warmupLeftMillis,
        List<ServedModel> models,
        long sequence) {

    /**
     * A model that an instance serves.
     *
     * @param name of the model
     * @param version of the weights that are loaded
     */
    public record ServedModel(String name, long version) {}

    /** This announcement with another state. */
    Instance withState(InstanceState other) {
        return withStateAndSequence(other, sequence);
    }

    /** This announcement with another state and sequence. */
    Instance withStateAndSequence(InstanceState otherState, long otherSequence) {
        return new Instance(
                id,
                service,
                address,
                zone,
                softwareVersion,
                capacity,
                otherState,
                warmupLeftMillis,
                models,
                otherSequence);
    }

    /** Whether two announcements are equal in all but what each heartbeat changes: sequence and warm-up time. */
    boolean hasSameContent(Instance other) {
        return state == other.state
                && capacity == other.capacity
                && Objects.equals(service, other.service)
                && Objects.equals(address, other.address)
                && Objects.equals(zone, other.zone)
                && Objects.equals(softwareVersion, other.softwareVersion)
                && Objects.equals(models, other.models);
    }
}
