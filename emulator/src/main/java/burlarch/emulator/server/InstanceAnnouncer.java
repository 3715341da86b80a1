package burlarch.emulator.server;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;

/** Announces an instance to the controllers: by heartbeats on a thread of its own, as draining, and as gone. */
final class InstanceAnnouncer implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(4);

    private final InstanceIdentity info;
    private final Supplier<Map<String, Long>> versions;
    private final ControllerClient calls;
    private final long heartbeatMillis;
    private final Thread heartbeatThread;
    private volatile boolean draining;
    private volatile boolean ended;
    private long sequence;

    /** @param versions of weights by model, empty for a plain service */
    InstanceAnnouncer(
            InstanceIdentity info, Supplier<Map<String, Long>> versions, ControllerClient calls, long heartbeatMillis) {
        this.info = info;
        this.versions = versions;
        this.calls = calls;
        this.heartbeatMillis = heartbeatMillis;
        this.heartbeatThread = new Thread(this::sendHeartbeats, "heartbeat-" + info.id());
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
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean announce(Duration limit) throws InterruptedException {
        return !ended
                && calls.call("PUT", path(), body(++sequence), null, limit).ok();
    }

    /** Announces that the instance drains; returns whether a controller acknowledged it. */
    boolean drain() throws InterruptedException {
        draining = true;
        return announce(LEAVE_TIMEOUT);
    }

    /** Announces that the instance is gone, and nothing more; returns whether a controller acknowledged it. */
    synchronized boolean leave() throws InterruptedException {
        ended = true;
        return calls.call("DELETE", path(), null, null, LEAVE_TIMEOUT).ok();
    }

    private String path() {
        return "/burlarch/instances/" + info.id();
    }

    private String body(long number) {
        ObjectNode json = MAPPER.createObjectNode()
                .put("service", info.service())
                .put("address", info.address())
                .put("zone", info.zone())
                .put("config_version", "v1")
                .put("capacity", info.capacity())
                .put("state", draining ? "draining" : "ready")
                .put("warmup_left_ms", 0)
                .put("stage", "hybrid")
                .put("sequence", number);
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
