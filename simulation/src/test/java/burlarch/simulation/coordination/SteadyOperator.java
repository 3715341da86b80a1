package burlarch.simulation.coordination;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.simulation.coordination.node.ControlAction;
import burlarch.simulation.coordination.node.ControlClient;
import burlarch.simulation.transport.SimulatedEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/** Simulated operator that puts a large configuration and then changes one route after another. */
final class SteadyOperator implements SimulatedNode {
    private static final long CALL_TIMEOUT_NANOS = 5 * Simulation.SECOND;
    private static final int LETTERS_IN_GROUP = 8;
    private static final int LETTERS = 26;
    private static final int NOTE_GROUPS = 36;

    private final SimulatedEventLoop loop;
    private final ControlClient client;
    private final int routes;
    private final long pauseNanos;
    private long version;
    private long readVersion;
    private long targetVersion;

    /**
     * @param routes number of routes in the configuration, some 600 bytes each
     * @param pauseNanos time in nanoseconds between an acknowledgement and the next change
     */
    SteadyOperator(NodeContext context, List<String> controllers, int routes, long pauseNanos) {
        loop = new SimulatedEventLoop(context);
        client = new ControlClient(context, loop, () -> controllers);
        this.routes = routes;
        this.pauseNanos = pauseNanos;
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }

    /** Sends one change after another until the configuration has this version. */
    void changeTo(long newVersion, long now) {
        loop.beginEvent(now);
        targetVersion = newVersion;
        sendNextChange();
        loop.endEvent();
    }

    /** Reads the configuration and records its version. */
    void read(long now) {
        loop.beginEvent(now);
        client.call(new ControlAction.Read(), CALL_TIMEOUT_NANOS, response -> {
            try {
                readVersion = ConfigurationDocument.parseTrusted(
                                response.orElseThrow().body())
                        .version();
            } catch (InvalidConfigurationException unreadable) {
                throw new IllegalStateException(unreadable);
            }
        });
        loop.endEvent();
    }

    /** Returns the version of the last successful read, or 0 before the first. */
    long readVersion() {
        return readVersion;
    }

    /** Returns the last acknowledged version. */
    long version() {
        return version;
    }

    private void sendNextChange() {
        if (version >= targetVersion) {
            return;
        }
        client.clearPreference();
        client.call(nextAction(), CALL_TIMEOUT_NANOS, response -> {
            if (response.filter(ControlResponse::succeeded).isPresent()) {
                version++;
            }
            loop.schedule(pauseNanos, this::sendNextChange);
        });
    }

    private ControlAction nextAction() {
        if (version == 0) {
            return new ControlAction.Put(configuration(), 0);
        }
        int route = (int) (version * 37 % routes);
        String patch = "{\"config_version\":%d,\"upsert\":{\"routes\":[%s]}}"
                .formatted(version + 1, route(route, 1_000 + version));
        return new ControlAction.Patch(patch.getBytes(StandardCharsets.UTF_8), version);
    }

    private byte[] configuration() {
        StringBuilder text = new StringBuilder("{\"config_version\":1,\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",").append(route(i, 1_000));
        }
        return text.append(
                        """
                ],"services":[{"name":"service-1","health_check":"/healthz","max_connections":100,
                "protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,
                "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""")
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private String route(int number, long timeout) {
        Random random = new Random(number);
        String notes = letterGroups(random, NOTE_GROUPS);
        return """
                {"name":"route-%s-%d","hostname":"%s.example","path_prefix":"/%s/%d/",
                "route_type":"idempotent","timeout_ms":%d,"target_latency_ms":100,"priority":0,
                "service":"service-1","retries":1,"public":true,"owner":"%s-team","notes":"%s"}"""
                .formatted(
                        letterGroups(random, 1),
                        number,
                        letterGroups(random, 1),
                        letterGroups(random, 1),
                        number,
                        timeout,
                        letterGroups(random, 1),
                        notes);
    }

    /** Random letters, which compress badly. */
    private static String letterGroups(Random random, int count) {
        StringBuilder words = new StringBuilder();
        for (int i = 0; i < count; i++) {
            words.append(i == 0 ? "" : " ").append(letters(random));
        }
        return words.toString();
    }

    private static String letters(Random random) {
        StringBuilder word = new StringBuilder(LETTERS_IN_GROUP);
        for (int i = 0; i < LETTERS_IN_GROUP; i++) {
            word.append((char) ('a' + random.nextInt(LETTERS)));
        }
        return word.toString();
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ControlResponse response) {
            client.onResponse(response);
        }
        loop.endEvent();
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }
}
