package burlarch.emulator.server;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Emulates an instance of a plain service: each request takes a fixed time and gets a short text. */
public final class PlainServer extends EmulatedInstance {
    private final long workMillis;
    private final Semaphore slots;
    private final AtomicInteger running = new AtomicInteger();

    /** @param workMillis that a request takes */
    public PlainServer(InstanceIdentity info, ExecutionListener executions, long workMillis) throws IOException {
        super(info, executions);
        this.workMillis = workMillis;
        this.slots = new Semaphore(info.capacity());
    }

    @Override
    Map<String, Long> versions() {
        return Map.of();
    }

    @Override
    void serve(HttpExchange exchange) throws IOException, InterruptedException {
        if (!slots.tryAcquire()) {
            Responses.rejectUnexecuted(exchange, 503);
            return;
        }
        running.incrementAndGet();
        try {
            String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
            executions().onExecuted(id, info().id());
            Thread.sleep(workMillis);
            sign(exchange);
            exchange.getResponseHeaders().set("X-Server-Load", running.get() + ",0," + info().capacity());
            Responses.send(exchange, 200, info().service() + " " + id);
        } finally {
            running.decrementAndGet();
            slots.release();
        }
    }
}
