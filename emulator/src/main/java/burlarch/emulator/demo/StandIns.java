package burlarch.emulator.demo;

import burlarch.emulator.model.EngineParameters;
import burlarch.emulator.server.ControlCalls;
import burlarch.emulator.server.EngineServer;
import burlarch.emulator.server.InstanceInfo;
import burlarch.emulator.server.PlainServer;
import burlarch.emulator.server.RunBook;
import burlarch.emulator.server.StandIn;
import burlarch.emulator.server.StoreServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The engines, the store and the plain instances of the demo. */
final class StandIns implements AutoCloseable {
    private static final int ENGINE_SLOTS = 16;
    private static final int PLAIN_SLOTS = 32;
    private static final long PLAIN_MILLIS = 15;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int STORE_TOKENS = 200_000;
    /** How much longer than agreed an instance serves that leaves. */
    private static final long LINGER_MILLIS = 500;

    private final LoopbackNetwork network;
    private final RunBook book;
    private final HttpClient http;
    private final List<String> controllers;
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<StandIn> others = new ArrayList<>();
    private int started;

    StandIns(LoopbackNetwork network, RunBook book, HttpClient http, List<String> controllers) {
        this.network = network;
        this.book = book;
        this.http = http;
        this.controllers = controllers;
    }

    private InstanceInfo next(String service, int capacity) {
        started++;
        return new InstanceInfo(
                "i-" + service + "-" + started,
                service,
                network.instance(started),
                LoopbackNetwork.INSTANCE,
                "hall",
                capacity);
    }

    private void begin(StandIn standIn) {
        standIn.start();
        standIn.register(new ControlCalls(http, controllers, started), NodeFile.HEARTBEAT_MILLIS);
    }

    synchronized EngineServer engine(long weights) throws IOException {
        InstanceInfo info = next(DemoConfiguration.ENGINES, ENGINE_SLOTS);
        EngineServer engine = new EngineServer(
                info,
                book,
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
        PlainServer plain = new PlainServer(next(service, PLAIN_SLOTS), book, PLAIN_MILLIS);
        others.add(plain);
        begin(plain);
    }

    /** Starts the store, which announces itself to nobody; returns its address. */
    synchronized String store() throws IOException {
        StoreServer store = new StoreServer(next("store", 1), book, STORE_TOKENS, MAX_IN_FLIGHT, started);
        others.add(store);
        store.start();
        return store.address();
    }

    /**
     * Starts an engine in place of the first one, which leaves; returns whether its drain was acknowledged.
     */
    boolean replaceEngine(long weights) throws IOException, InterruptedException {
        EngineServer leaving;
        synchronized (this) {
            leaving = engines.get(0);
        }
        engine(weights);
        boolean acknowledged = leaving.leave(NodeFile.DRAIN_MILLIS, LINGER_MILLIS);
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
        engines.forEach(StandIn::close);
        others.forEach(StandIn::close);
    }
}
