package burlarch.coordination.registry;

import java.util.List;

/**
 * One running server of a service as it announced itself.
 *
 * @param id of this incarnation; every start has a new one
 * @param service name of its service
 * @param address IP:PORT
 * @param zone where it runs
 * @param softwareVersion of its software, not of weights
 * @param capacity requests that it works on at once
 * @param state where it stands in its life
 * @param warmupLeftMillis how much longer it is slow from its start
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

    /** A model and the version of the weights that are loaded. */
    public record ServedModel(String name, long version) {}
}
