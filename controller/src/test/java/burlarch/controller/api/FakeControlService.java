package burlarch.controller.api;

import burlarch.coordination.registry.Instance;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Fake service that records its calls and returns the result that the test has set. */
final class FakeControlService implements ControlService {
    final List<String> calls = new CopyOnWriteArrayList<>();
    final List<Instance> announced = new CopyOnWriteArrayList<>();
    volatile CompletableFuture<Void> result = CompletableFuture.completedFuture(null);
    volatile CompletableFuture<byte[]> configuration =
            CompletableFuture.completedFuture("{\"config_version\":1}".getBytes(StandardCharsets.UTF_8));

    private CompletableFuture<Void> recordCall(String call) {
        calls.add(call);
        return result;
    }

    @Override
    public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
        return recordCall("put " + body.length + " on " + ifMatch);
    }

    @Override
    public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
        return recordCall("patch " + body.length + " on " + ifMatch);
    }

    @Override
    public CompletableFuture<byte[]> readConfiguration() {
        calls.add("read");
        return configuration;
    }

    @Override
    public CompletableFuture<Void> setWeightsVersion(String model, long version) {
        return recordCall("weights " + model + " " + version);
    }

    @Override
    public CompletableFuture<Void> announce(Instance instance) {
        announced.add(instance);
        return recordCall("announce " + instance.id());
    }

    @Override
    public CompletableFuture<Void> leave(String id) {
        return recordCall("leave " + id);
    }
}
