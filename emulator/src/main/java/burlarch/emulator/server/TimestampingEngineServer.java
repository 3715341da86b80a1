package burlarch.emulator.server;

import burlarch.emulator.model.KvCache;
import burlarch.emulator.model.KvEventLog;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Emulated engine without a batch model: stream events are evenly spaced, and each carries its send time. */
public final class TimestampingEngineServer extends EmulatedInstance {
    private static final int BLOCK_TOKENS = 16;
    private static final int BLOCKS = 4_096;
    private static final int MAX_IN_FLIGHT = 8;

    private final String model;
    private final int slots;
    private volatile long eventIntervalNanos;
    private final KvCacheEndpoints kvEndpoints;
    private final AtomicInteger running = new AtomicInteger();

    /**
     * @param model name of the model, of which it has version 1
     * @param eventIntervalNanos interval between two events of a stream
     */
    public TimestampingEngineServer(
            InstanceIdentity identity, ExecutionListener executions, String model, long eventIntervalNanos)
            throws IOException {
        super(identity, executions);
        this.model = model;
        this.slots = identity.capacity();
        this.eventIntervalNanos = eventIntervalNanos;
        this.kvEndpoints = new KvCacheEndpoints(
                new KvCache(BLOCK_TOKENS, BLOCKS, new KvEventLog(1, EngineServer.MAX_RETAINED_EVENTS)), MAX_IN_FLIGHT);
    }

    /** Sets the interval between two events of a stream, also for open streams. */
    public void setEventInterval(long nanos) {
        eventIntervalNanos = nanos;
    }

    @Override
    Map<String, Long> versions() {
        return Map.of(model, 1L);
    }

    @Override
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        if (path.equals("/burlarch/report")) {
            Responses.sendJson(
                    exchange,
                    200,
                    "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"" + model
                            + "\",\"config_version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,"
                            + "\"running\":" + running.get() + ",\"kv_used\":0,\"kv_total\":" + BLOCK_TOKENS * BLOCKS
                            + ",\"handles\":0}");
            return true;
        }
        return kvEndpoints.serve(exchange, path);
    }

    @Override
    void serve(HttpExchange exchange) throws IOException, InterruptedException {
        String tokenUsage = exchange.getRequestHeaders().getFirst("X-Token-Usage");
        int eventCount = Integer.parseInt(
                tokenUsage.substring(tokenUsage.indexOf(',') + 1).trim());
        executions()
                .onExecuted(
                        exchange.getRequestHeaders().getFirst("X-Request-Id"),
                        identity().id());
        setSignatureHeaders(exchange);
        Headers responseHeaders = exchange.getResponseHeaders();
        responseHeaders.set("Content-Type", "text/event-stream");
        responseHeaders.set("Versions", "1");
        responseHeaders.set("X-Server-Load", running.incrementAndGet() + ",0," + slots);
        try {
            exchange.sendResponseHeaders(200, 0);
            writeStream(exchange.getResponseBody(), eventCount);
        } finally {
            running.decrementAndGet();
        }
    }

    private void writeStream(OutputStream output, int eventCount) throws IOException, InterruptedException {
        long nextEventNanos = System.nanoTime();
        for (int number = 1; number <= eventCount; number++) {
            String event =
                    "id: " + number + "\ndata: " + System.nanoTime() + (number == eventCount ? " end" : "") + "\n\n";
            output.write(event.getBytes(StandardCharsets.UTF_8));
            output.flush();
            nextEventNanos += eventIntervalNanos;
            TimeUnit.NANOSECONDS.sleep(nextEventNanos - System.nanoTime());
        }
        output.close();
    }
}
