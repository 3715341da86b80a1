package burlarch.emulator.server;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Emulated instance of a plain service: each request takes a fixed time and is answered with a short text. */
public final class PlainServer extends EmulatedInstance {
    private final long workMillis;
    private final Semaphore slots;
    private final AtomicInteger running = new AtomicInteger();

    /** @param workMillis time that the execution of a request takes */
    public PlainServer(InstanceIdentity identity, ExecutionListener executions, long workMillis) throws IOException {
        super(identity, executions);
        this.workMillis = workMillis;
        this.slots = new Semaphore(identity.capacity());
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
            executions().onExecuted(id, identity().id());
            Thread.sleep(workMillis);
            setSignatureHeaders(exchange);
            exchange.getResponseHeaders()
                    .set("X-Server-Load", running.get() + ",0," + identity().capacity());
            Responses.send(exchange, 200, identity().service() + " " + id);
        } finally {
            running.decrementAndGet();
            slots.release();
        }
    }
}
