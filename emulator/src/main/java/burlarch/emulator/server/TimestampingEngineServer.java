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

/** An engine without a model: the events of its streams are evenly spaced, and each carries its send time. */
public final class TimestampingEngineServer extends EmulatedInstance {
    private static final int BLOCK_TOKENS = 16;
    private static final int BLOCKS = 4_096;
    private static final int MAX_IN_FLIGHT = 8;

    private final String model;
    private final int slots;
    private volatile long gapNanos;
    private final KvCacheEndpoints kvEndpoints;
    private final AtomicInteger running = new AtomicInteger();

    /**
     * @param model of which it has version 1
     * @param gapNanos interval between two events of a stream
     */
    public TimestampingEngineServer(InstanceIdentity info, ExecutionListener executions, String model, long gapNanos)
            throws IOException {
        super(info, executions);
        this.model = model;
        this.slots = info.capacity();
        this.gapNanos = gapNanos;
        this.kvEndpoints = new KvCacheEndpoints(
                new KvCache(BLOCK_TOKENS, BLOCKS, new KvEventLog(1, EngineServer.EVENTS)), MAX_IN_FLIGHT);
    }

    /** Sets the interval between two events of a stream, also of open ones. */
    public void setGap(long nanos) {
        gapNanos = nanos;
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
        String usage = exchange.getRequestHeaders().getFirst("X-Token-Usage");
        int events = Integer.parseInt(usage.substring(usage.indexOf(',') + 1).trim());
        executions().onExecuted(exchange.getRequestHeaders().getFirst("X-Request-Id"), info().id());
        sign(exchange);
        Headers head = exchange.getResponseHeaders();
        head.set("Content-Type", "text/event-stream");
        head.set("Versions", "1");
        head.set("X-Server-Load", running.incrementAndGet() + ",0," + slots);
        try {
            exchange.sendResponseHeaders(200, 0);
            stream(exchange.getResponseBody(), events);
        } finally {
            running.decrementAndGet();
        }
    }

    private void stream(OutputStream out, int events) throws IOException, InterruptedException {
        long due = System.nanoTime();
        for (int number = 1; number <= events; number++) {
            String event = "id: " + number + "\ndata: " + System.nanoTime() + (number == events ? " end" : "") + "\n\n";
            out.write(event.getBytes(StandardCharsets.UTF_8));
            out.flush();
            due += gapNanos;
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
        }
        out.close();
    }
}
