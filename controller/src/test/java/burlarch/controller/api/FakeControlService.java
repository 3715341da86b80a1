package burlarch.controller.api;

import burlarch.coordination.registry.Instance;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Writes its calls down and answers each with what the test has set. */
final class FakeControlService implements ControlService {
    final List<String> calls = new CopyOnWriteArrayList<>();
    final List<Instance> announced = new CopyOnWriteArrayList<>();
    volatile CompletableFuture<Void> next = CompletableFuture.completedFuture(null);
    volatile CompletableFuture<byte[]> document =
            CompletableFuture.completedFuture("{\"config_version\":1}".getBytes(StandardCharsets.UTF_8));

    private CompletableFuture<Void> called(String call) {
        calls.add(call);
        return next;
    }

    @Override
    public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
        return called("put " + body.length + " on " + ifMatch);
    }

    @Override
    public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
        return called("patch " + body.length + " on " + ifMatch);
    }

    @Override
    public CompletableFuture<byte[]> readConfiguration() {
        calls.add("read");
        return document;
    }

    @Override
    public CompletableFuture<Void> nameWeights(String model, long version) {
        return called("weights " + model + " " + version);
    }

    @Override
    public CompletableFuture<Void> announce(Instance instance) {
        announced.add(instance);
        return called("announce " + instance.id());
    }

    @Override
    public CompletableFuture<Void> leave(String id) {
        return called("leave " + id);
    }
}
