package burlarch.emulator.demo;

import burlarch.emulator.model.EngineParameters;
import burlarch.emulator.server.ControllerClient;
import burlarch.emulator.server.EmulatedInstance;
import burlarch.emulator.server.EngineServer;
import burlarch.emulator.server.ExecutionListener;
import burlarch.emulator.server.InstanceIdentity;
import burlarch.emulator.server.PlainServer;
import burlarch.emulator.server.StoreServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The emulated engines, store and plain instances of the demo. */
final class DemoInstances implements AutoCloseable {
    private static final int ENGINE_SLOTS = 16;
    private static final int PLAIN_SLOTS = 32;
    private static final long PLAIN_MILLIS = 15;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int STORE_TOKENS = 200_000;
    /** How long an instance that shuts down serves beyond the drain timeout. */
    private static final long LINGER_MILLIS = 500;

    private final LoopbackNetwork network;
    private final ExecutionListener executions;
    private final HttpClient http;
    private final List<String> controllers;
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<EmulatedInstance> others = new ArrayList<>();
    private int started;

    DemoInstances(LoopbackNetwork network, ExecutionListener executions, HttpClient http, List<String> controllers) {
        this.network = network;
        this.executions = executions;
        this.http = http;
        this.controllers = controllers;
    }

    private InstanceIdentity next(String service, int capacity) {
        started++;
        return new InstanceIdentity(
                "i-" + service + "-" + started,
                service,
                network.instance(started),
                LoopbackNetwork.INSTANCE,
                "hall",
                capacity);
    }

    private void begin(EmulatedInstance instance) {
        instance.start();
        instance.register(new ControllerClient(http, controllers, started), NodeSettingsFile.HEARTBEAT_MILLIS);
    }

    synchronized EngineServer engine(long weights) throws IOException {
        InstanceIdentity info = next(DemoConfiguration.ENGINES, ENGINE_SLOTS);
        EngineServer engine = new EngineServer(
                info,
                executions,
                EngineParameters.small(),
                Map.of(DemoConfiguration.MODEL, weights),
                MAX_IN_FLIGHT,
                started,
                http);
        engines.add(engine);
        begin(engine);
        return engine;
    }

    synchronized void plain(String service) throws IOException {
        PlainServer plain = new PlainServer(next(service, PLAIN_SLOTS), executions, PLAIN_MILLIS);
        others.add(plain);
        begin(plain);
    }

    /** Starts the store, which is not announced to controllers; returns its address. */
    synchronized String store() throws IOException {
        StoreServer store = new StoreServer(next("store", 1), executions, STORE_TOKENS, MAX_IN_FLIGHT, started);
        others.add(store);
        store.start();
        return store.address();
    }

    /**
     * Starts an engine as a replacement of the first one, which is drained; returns whether that was acknowledged.
     */
    boolean replaceEngine(long weights) throws IOException, InterruptedException {
        EngineServer leaving;
        synchronized (this) {
            leaving = engines.get(0);
        }
        engine(weights);
        boolean acknowledged = leaving.shutDown(NodeSettingsFile.DRAIN_MILLIS, LINGER_MILLIS);
        synchronized (this) {
            engines.remove(leaving);
        }
        return acknowledged;
    }

    /** Versions of the weights by engine. */
    synchronized Map<String, Long> weights() {
        Map<String, Long> versions = new LinkedHashMap<>();
        for (EngineServer engine : engines) {
            versions.put(engine.info().id(), engine.versions().get(DemoConfiguration.MODEL));
        }
        return versions;
    }

    @Override
    public synchronized void close() {
        engines.forEach(EmulatedInstance::close);
        others.forEach(EmulatedInstance::close);
    }
}
