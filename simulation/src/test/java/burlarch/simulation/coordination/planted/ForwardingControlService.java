package burlarch.simulation.coordination.planted;

import burlarch.controller.api.ControlService;
import burlarch.coordination.registry.Instance;
import java.util.concurrent.CompletableFuture;

/** Control service that forwards all calls to another service; planted faults override some methods. */
class ForwardingControlService implements ControlService {
    private final ControlService real;

    ForwardingControlService(ControlService real) {
        this.real = real;
    }

    @Override
    public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
        return real.putConfiguration(body, ifMatch);
    }

    @Override
    public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
        return real.patchConfiguration(body, ifMatch);
    }

    @Override
    public CompletableFuture<byte[]> readConfiguration() {
        return real.readConfiguration();
    }

    @Override
    public CompletableFuture<Void> setWeightsVersion(String model, long version) {
        return real.setWeightsVersion(model, version);
    }

    @Override
    public CompletableFuture<Void> announce(Instance instance) {
        return real.announce(instance);
    }

    @Override
    public CompletableFuture<Void> leave(String id) {
        return real.leave(id);
    }
}
