package burlarch.emulator.server;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;

/** Announcer of an instance to the controllers: sends heartbeats on its own thread, and announces drain and end. */
final class InstanceAnnouncer implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(4);

    private final InstanceIdentity identity;
    private final Supplier<Map<String, Long>> versions;
    private final ControllerClient controllerClient;
    private final long heartbeatMillis;
    private final Thread heartbeatThread;
    private volatile boolean draining;
    private volatile boolean ended;
    private long sequence;

    /** @param versions returns the versions of the weights by model, empty for a plain service */
    InstanceAnnouncer(
            InstanceIdentity identity,
            Supplier<Map<String, Long>> versions,
            ControllerClient controllerClient,
            long heartbeatMillis) {
        this.identity = identity;
        this.versions = versions;
        this.controllerClient = controllerClient;
        this.heartbeatMillis = heartbeatMillis;
        this.heartbeatThread = new Thread(this::sendHeartbeats, "heartbeat-" + identity.id());
        heartbeatThread.setDaemon(true);
    }

    void start() {
        heartbeatThread.start();
    }

    private void sendHeartbeats() {
        try {
            while (!ended) {
                announce(HEARTBEAT_TIMEOUT);
                Thread.sleep(heartbeatMillis);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean announce(Duration timeout) throws InterruptedException {
        return !ended
                && controllerClient
                        .call("PUT", path(), body(++sequence), null, timeout)
                        .ok();
    }

    /** Announces that the instance drains; returns whether a controller acknowledged it. */
    boolean drain() throws InterruptedException {
        draining = true;
        return announce(LEAVE_TIMEOUT);
    }

    /** Announces that the instance is gone, and ends all heartbeats; returns whether a controller acknowledged it. */
    synchronized boolean leave() throws InterruptedException {
        ended = true;
        return controllerClient
                .call("DELETE", path(), null, null, LEAVE_TIMEOUT)
                .ok();
    }

    /** Returns the body of the next heartbeat, which its caller sends later than those that follow it. */
    synchronized String takeHeartbeat() {
        return body(++sequence);
    }

    String path() {
        return "/burlarch/instances/" + identity.id();
    }

    private String body(long sequenceNumber) {
        ObjectNode json = MAPPER.createObjectNode()
                .put("service", identity.service())
                .put("address", identity.address())
                .put("zone", identity.zone())
                .put("config_version", "v1")
                .put("capacity", identity.capacity())
                .put("state", draining ? "draining" : "ready")
                .put("warmup_left_ms", 0)
                .put("stage", "hybrid")
                .put("sequence", sequenceNumber);
        ArrayNode models = json.putArray("models");
        versions.get().forEach((model, version) -> models.addObject()
                .put("name", model)
                .put("config_version", version)
                .putArray("adapters"));
        return json.toString();
    }

    @Override
    public void close() {
        ended = true;
        heartbeatThread.interrupt();
    }
}
