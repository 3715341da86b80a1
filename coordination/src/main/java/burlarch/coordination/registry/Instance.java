package burlarch.coordination.registry;

import java.util.List;
import java.util.Objects;

/**
 * A running server of a service, as it announced itself.
 *
 * @param id identifies this incarnation; every start of a server has a new id, and none is reused
 * @param service name of its service
 * @param address IP:PORT
 * @param zone the failure domain in which it runs
 * @param softwareVersion version of its software, not of weights
 * @param capacity number of requests that it processes concurrently
 * @param state lifecycle state
 * @param warmupLeftMillis remaining warm-up time in milliseconds
 * @param models the models that it serves; empty for plain services
 * @param sequence sequence number, higher with each announcement of this incarnation
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

    /** Returns a copy of this announcement with another state. */
    Instance withState(InstanceState other) {
        return withStateAndSequence(other, sequence);
    }

    /** Returns a copy of this announcement with another state and sequence. */
    Instance withStateAndSequence(InstanceState newState, long newSequence) {
        return new Instance(
                id, service, address, zone, softwareVersion, capacity, newState, warmupLeftMillis, models, newSequence);
    }

    /**
     * Returns whether two announcements are equal except for what each heartbeat changes: sequence and warm-up time.
     */
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
