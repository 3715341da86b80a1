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
import java.util.stream.Stream;

/** Emulated engines, KV store and plain instances of the demo. Its methods may be called on any thread. */
final class DemoInstances implements AutoCloseable {
    private static final int ENGINE_SLOTS = 16;
    private static final int PLAIN_SLOTS = 32;
    private static final long PLAIN_WORK_MILLIS = 15;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int STORE_TOKENS = 200_000;
    /** How long an instance that shuts down keeps serving after the drain timeout. */
    private static final long LINGER_MILLIS = 500;

    private final LoopbackNetwork network;
    private final ExecutionListener executions;
    private final HttpClient http;
    private final List<String> controllers;
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<EmulatedInstance> otherInstances = new ArrayList<>();
    private int instanceCount;

    DemoInstances(LoopbackNetwork network, ExecutionListener executions, HttpClient http, List<String> controllers) {
        this.network = network;
        this.executions = executions;
        this.http = http;
        this.controllers = controllers;
    }

    private InstanceIdentity nextIdentity(String service, int capacity) {
        instanceCount++;
        return new InstanceIdentity(
                "i-" + service + "-" + instanceCount,
                service,
                network.instance(instanceCount),
                LoopbackNetwork.INSTANCE_PORT,
                "hall",
                capacity);
    }

    private void startAndRegister(EmulatedInstance instance) {
        instance.start();
        instance.register(
                new ControllerClient(http, controllers, instanceCount), NodeSettingsFile.HEARTBEAT_INTERVAL_MILLIS);
    }

    synchronized EngineServer startEngine(long weightsVersion) throws IOException {
        InstanceIdentity identity = nextIdentity(DemoConfiguration.ENGINES, ENGINE_SLOTS);
        EngineServer engine = new EngineServer(
                identity,
                executions,
                EngineParameters.small(),
                Map.of(DemoConfiguration.MODEL, weightsVersion),
                MAX_IN_FLIGHT,
                instanceCount,
                http);
        engines.add(engine);
        startAndRegister(engine);
        return engine;
    }

    synchronized PlainServer startPlainInstance(String service) throws IOException {
        PlainServer plain = new PlainServer(nextIdentity(service, PLAIN_SLOTS), executions, PLAIN_WORK_MILLIS);
        otherInstances.add(plain);
        startAndRegister(plain);
        return plain;
    }

    /** Removes the oldest instance of a service from those that {@link #close} stops, and returns it. */
    synchronized EmulatedInstance takeOldest(String service) {
        EmulatedInstance oldest = Stream.concat(engines.stream(), otherInstances.stream())
                .filter(instance -> instance.identity().service().equals(service))
                .findFirst()
                .orElseThrow();
        engines.remove(oldest);
        otherInstances.remove(oldest);
        return oldest;
    }

    /** Starts the KV store, which is not announced to controllers; returns its address. */
    synchronized String startStore() throws IOException {
        StoreServer store =
                new StoreServer(nextIdentity("store", 1), executions, STORE_TOKENS, MAX_IN_FLIGHT, instanceCount);
        otherInstances.add(store);
        store.start();
        return store.address();
    }

    /**
     * Starts an engine to replace the oldest one, and drains that; returns whether a controller acknowledged the drain.
     */
    boolean replaceEngine(long weightsVersion) throws IOException, InterruptedException {
        EngineServer drainingEngine;
        synchronized (this) {
            drainingEngine = engines.get(0);
        }
        startEngine(weightsVersion);
        boolean acknowledged = drainingEngine.shutDown(NodeSettingsFile.DRAIN_TIMEOUT_MILLIS, LINGER_MILLIS);
        synchronized (this) {
            engines.remove(drainingEngine);
        }
        return acknowledged;
    }

    /** Returns the version of the weights by engine. */
    synchronized Map<String, Long> weightsVersions() {
        Map<String, Long> versions = new LinkedHashMap<>();
        for (EngineServer engine : engines) {
            versions.put(engine.identity().id(), engine.versions().get(DemoConfiguration.MODEL));
        }
        return versions;
    }

    @Override
    public synchronized void close() {
        engines.forEach(EmulatedInstance::close);
        otherInstances.forEach(EmulatedInstance::close);
    }
}
